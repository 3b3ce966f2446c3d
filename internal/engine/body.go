package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// promptBody is the JSON form of a GenerateRequest. It never changes, so any
// number of readers may read it at the same time.
type promptBody struct {
	head   []byte // up to the prompt's opening quote
	prompt string
	tail   []byte // from the prompt's closing quote on
	size   int64
}

var emptyPrompt = []byte(`"prompt":""`)

func newPromptBody(req engineapi.GenerateRequest) (*promptBody, error) {
	prompt := req.Prompt
	req.Prompt = ""
	frame, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	// Quotes inside JSON strings are escaped, so the sequence stands only once.
	at := bytes.Index(frame, emptyPrompt)
	if at < 0 {
		return nil, errors.New("request has no prompt field")
	}
	split := at + len(emptyPrompt) - 1
	b := &promptBody{head: frame[:split], prompt: prompt, tail: frame[split:]}
	b.size = int64(len(frame)) + escapedSize(prompt)
	return b, nil
}

// reader returns a reader of the whole body. The prompt is escaped while it is
// read, straight into the caller's buffer, so that an attempt allocates nothing
// that grows with the prompt.
func (b *promptBody) reader() io.ReadCloser {
	return &bodyReader{body: b, pending: b.head}
}

type bodyReader struct {
	body    *promptBody
	pos     int    // next byte of the prompt
	pending []byte // goes before it
	tail    bool   // the tail was put into pending
	escape  [longEscape]byte
}

// Close implements io.Closer.
func (r *bodyReader) Close() error { return nil }

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		switch {
		case len(r.pending) > 0:
			c := copy(p[n:], r.pending)
			r.pending = r.pending[c:]
			n += c
		case r.pos < len(r.body.prompt):
			n += r.readPrompt(p[n:])
		case !r.tail:
			r.tail, r.pending = true, r.body.tail
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
	return n, nil
}

// readPrompt copies the prompt up to the next byte that needs an escape, which
// it leaves in pending.
func (r *bodyReader) readPrompt(p []byte) int {
	rest := r.body.prompt[r.pos:]
	limit := min(len(p), len(rest))
	n := 0
	for n < limit && escapes[rest[n]] == 0 {
		n++
	}
	copy(p, rest[:n])
	r.pos += n
	if n < limit {
		r.pending = appendEscape(r.escape[:0], rest[n])
		r.pos++
	}
	return n
}

const (
	shortEscape = 2 // a backslash and one character
	longEscape  = 6 // a backslash, u and four digits
)

// escapes holds the length of each byte's escape, 0 for a byte that needs none.
var escapes = func() (table [256]uint8) {
	for c := range 0x20 {
		table[c] = longEscape
	}
	for _, c := range []byte("\"\\\n\r\t") {
		table[c] = shortEscape
	}
	return table
}()

func appendEscape(dst []byte, c byte) []byte {
	const digits = "0123456789abcdef"
	switch c {
	case '"', '\\':
		return append(dst, '\\', c)
	case '\n':
		return append(dst, '\\', 'n')
	case '\r':
		return append(dst, '\\', 'r')
	case '\t':
		return append(dst, '\\', 't')
	}
	return append(dst, '\\', 'u', '0', '0', digits[c>>4], digits[c&0xf])
}

func escapedSize(s string) int64 {
	size := int64(len(s))
	for i := range len(s) {
		if e := escapes[s[i]]; e > 0 {
			size += int64(e) - 1
		}
	}
	return size
}
