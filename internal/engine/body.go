package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// promptBody is the JSON encoding of a GenerateRequest. It is immutable, so
// several readers may read it concurrently.
type promptBody struct {
	prefix []byte // up to and including the prompt's opening quote
	prompt string
	suffix []byte // from the prompt's closing quote to the end
	size   int64
}

var emptyPromptField = []byte(`"prompt":""`)

func newPromptBody(req engineapi.GenerateRequest) (*promptBody, error) {
	prompt := req.Prompt
	req.Prompt = ""
	encoded, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	// Quotes inside JSON strings are escaped, so this sequence occurs only once.
	promptIndex := bytes.Index(encoded, emptyPromptField)
	if promptIndex < 0 {
		return nil, errors.New("request has no prompt field")
	}
	split := promptIndex + len(emptyPromptField) - 1
	b := &promptBody{prefix: encoded[:split], prompt: prompt, suffix: encoded[split:]}
	b.size = int64(len(encoded)) + escapedSize(prompt)
	return b, nil
}

// reader returns a reader of the whole body. It escapes the prompt directly into
// the caller's buffer as it is read, so that the memory an attempt allocates does
// not grow with the prompt.
func (b *promptBody) reader() io.ReadCloser {
	return &bodyReader{body: b, pending: b.prefix}
}

type bodyReader struct {
	body         *promptBody
	promptPos    int    // index of the next byte of the prompt
	pending      []byte // bytes to return before the rest of the prompt
	suffixQueued bool   // the suffix has been moved to pending
	escapeBuf    [unicodeEscapeLen]byte
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
		case r.promptPos < len(r.body.prompt):
			n += r.readPrompt(p[n:])
		case !r.suffixQueued:
			r.suffixQueued, r.pending = true, r.body.suffix
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
	return n, nil
}

// readPrompt copies the prompt up to the next byte that needs escaping. It puts the
// escape sequence of that byte into pending.
func (r *bodyReader) readPrompt(p []byte) int {
	rest := r.body.prompt[r.promptPos:]
	limit := min(len(p), len(rest))
	n := 0
	for n < limit && escapeLen[rest[n]] == 0 {
		n++
	}
	copy(p, rest[:n])
	r.promptPos += n
	if n < limit {
		r.pending = appendEscape(r.escapeBuf[:0], rest[n])
		r.promptPos++
	}
	return n
}

const (
	shortEscapeLen   = 2 // a backslash and one character
	unicodeEscapeLen = 6 // a backslash, 'u' and four hexadecimal digits
)

// escapeLen maps each byte to the length of its JSON escape sequence, or to 0 if
// the byte needs no escape.
var escapeLen = func() (table [256]uint8) {
	for c := range 0x20 {
		table[c] = unicodeEscapeLen
	}
	for _, c := range []byte("\"\\\n\r\t") {
		table[c] = shortEscapeLen
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
		if e := escapeLen[s[i]]; e > 0 {
			size += int64(e) - 1
		}
	}
	return size
}
