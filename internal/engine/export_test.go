package engine

import (
	"io"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// RequestBody exposes the encoded body of a request and its content length to tests.
func RequestBody(req engineapi.GenerateRequest) (io.Reader, int64, error) {
	b, err := newPromptBody(req)
	if err != nil {
		return nil, 0, err
	}
	return b.reader(), b.size, nil
}
