package peers

import (
	"bytes"
	"compress/flate"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/plantainrun/plantainrun/internal/follow"
	"github.com/plantainrun/plantainrun/internal/membudget"
	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
)

const (
	// minDeflateBytes is the size in bytes from which a value is compressed.
	minDeflateBytes = 1 << 10
	// maxInflatedBytes is the maximum decompressed size of a value from a peer, in
	// bytes.
	maxInflatedBytes = 16 << 20
	// maxAgeMillis caps an age on the wire, so that it fits its 32-bit field.
	maxAgeMillis = 1 << 31
)

// deflater compresses the values that this host sends to peers. It caches the
// newest compressed value of each key, so that each value is compressed once for
// all peers. It is safe for concurrent use.
type deflater struct {
	mu     sync.Mutex
	cache  map[string]*peerspb.Entry // by key
	writer *flate.Writer
}

// encodeEntry returns the message for a change, compressed if its value is large.
func (d *deflater) encodeEntry(e follow.Entry) (*peerspb.Entry, error) {
	out := &peerspb.Entry{Key: e.Key, Value: e.Value, Revision: int64(e.Revision), Removed: e.Removed}
	if len(e.Value) < minDeflateBytes {
		return out, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if cached := d.cache[e.Key]; cached != nil && cached.GetRevision() == int64(e.Revision) {
		return cached, nil
	}
	value, err := d.deflate(e.Value)
	if err != nil {
		return nil, err
	}
	out.Value = value
	out.Deflated = true
	d.cache[e.Key] = out
	return out, nil
}

func (d *deflater) deflate(value []byte) ([]byte, error) {
	var out bytes.Buffer
	if d.writer == nil {
		w, err := flate.NewWriter(&out, flate.BestSpeed)
		if err != nil {
			return nil, err
		}
		d.writer = w
	}
	d.writer.Reset(&out)
	if _, err := d.writer.Write(value); err != nil {
		return nil, err
	}
	if err := d.writer.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// inflate decompresses a value into memory that held accounts for. It rejects one larger than
// maxInflatedBytes.
func inflate(value []byte, held *membudget.Holding) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(value))
	defer reader.Close()
	out, err := held.ReadAll(reader, maxInflatedBytes+1)
	if err != nil {
		return nil, eris.Wrap(err, "cannot decompress a value from a peer, ask another peer")
	}
	if len(out) > maxInflatedBytes {
		return nil, eris.Errorf("a value from a peer is larger than %d bytes when decompressed, read the store", maxInflatedBytes)
	}
	return out, nil
}

func (d *deflater) encodeDelta(nonce uint64, delta follow.Delta) (*peerspb.Passed, error) {
	out := &peerspb.Passed{Nonce: nonce, Known: true, Revision: int64(delta.Revision), Era: int64(delta.Era), AgeMs: uint32(min(delta.AgeMillis, maxAgeMillis))}
	for _, e := range delta.Entries {
		entry, err := d.encodeEntry(e)
		if err != nil {
			return nil, err
		}
		out.Entries = append(out.Entries, entry)
	}
	return out, nil
}

// decodePassed decodes a response of a peer. memory accounts for its values while they are
// decompressed.
func decodePassed(passed *peerspb.Passed, memory *membudget.Budget) (follow.Delta, error) {
	out := follow.Delta{Revision: follow.Revision(passed.GetRevision()), Era: follow.Era(passed.GetEra()), AgeMillis: int64(passed.GetAgeMs())}
	for _, e := range passed.GetEntries() {
		value := e.GetValue()
		if e.GetDeflated() {
			held := memory.Hold(membudget.HostMessage)
			defer held.Release()
			inflated, err := inflate(value, &held)
			if err != nil {
				return follow.Delta{}, err
			}
			value = inflated
		}
		out.Entries = append(out.Entries, follow.Entry{Key: e.GetKey(), Value: value, Revision: follow.Revision(e.GetRevision()), Removed: e.GetRemoved()})
	}
	return out, nil
}
