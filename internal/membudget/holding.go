package membudget

import (
	"errors"
	"io"
)

// minBufferBytes is the smallest buffer of Append and ReadAll.
const minBufferBytes = 512

// Holding is what is held for one item, such as a body. It belongs to one goroutine at a time.
// The zero Holding has no limit and counts nothing.
type Holding struct {
	budget *Budget
	kind   Kind
	bytes  int64
}

// Bytes returns the size of the holding.
func (h *Holding) Bytes() int64 { return h.bytes }

// Set changes the size of the holding to a number of bytes. It returns ErrExhausted, and
// changes nothing, if a larger size does not fit.
func (h *Holding) Set(bytes int) error {
	if h.budget == nil {
		return nil
	}
	size := int64(bytes)
	if size <= h.bytes {
		h.budget.giveBack(h.kind, h.bytes-size)
		h.bytes = size
		return nil
	}
	if err := h.budget.take(h.kind, size-h.bytes, size); err != nil {
		return err
	}
	h.bytes = size
	return nil
}

// Grow adds a number of bytes to the holding, or returns ErrExhausted.
func (h *Holding) Grow(bytes int) error { return h.Set(int(h.bytes) + bytes) }

// Release gives everything back. It may be called more than once.
func (h *Holding) Release() { _ = h.Set(0) }

// Append appends part to buf, whose memory the holding accounts for. The error is
// ErrExhausted.
func (h *Holding) Append(buf, part []byte) ([]byte, error) {
	buf, err := h.reserve(buf, len(part))
	if err != nil {
		return buf, err
	}
	return append(buf, part...), nil
}

// ReadAll reads up to a limit of bytes, or to the end if limit is 0, into memory that the
// holding accounts for. It returns what was read also with an error, which is ErrExhausted if
// more would not fit.
func (h *Holding) ReadAll(r io.Reader, limit int) ([]byte, error) {
	if limit > 0 {
		r = io.LimitReader(r, int64(limit))
	}
	var buf []byte
	for {
		var err error
		if buf, err = h.reserve(buf, 1); err != nil {
			return buf, err
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

// reserve returns buf with room for a number of bytes more.
func (h *Holding) reserve(buf []byte, more int) ([]byte, error) {
	need := len(buf) + more
	if need <= cap(buf) {
		return buf, nil
	}
	size := max(need, 2*cap(buf), minBufferBytes)
	if err := h.Grow(size - cap(buf)); err != nil {
		return buf, err
	}
	if h.budget != nil {
		h.budget.uncollected.Add(int64(cap(buf))) // the old buffer
	}
	grown := make([]byte, len(buf), size)
	copy(grown, buf)
	return grown, nil
}
