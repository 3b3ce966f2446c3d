package knowledge

import (
	"errors"
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/plantainrun/plantainrun/coord/dissemination"
	"github.com/plantainrun/plantainrun/internal/confservice"
	"github.com/plantainrun/plantainrun/internal/knowledge/knowledgepb"
)

const (
	// dictionaryID marks frames that were compressed with another value as the dictionary.
	dictionaryID = 1
	// windowBytes lets a whole value refer to a whole dictionary.
	windowBytes = 2 << 20
	// maxDecodedBytes bounds a decompressed body and its window.
	maxDecodedBytes = 2 * windowBytes
	// maxReasons bounds the reasons that a refusal passes on.
	maxReasons = 20
)

// errNoBase tells that the value which a message builds on is not at hand.
var errNoBase = errors.New("the value that the message builds on is not known here; ask the sender again")

// encoder compresses values. It keeps the last result, since the same change
// goes to several peers. It is safe for concurrent use.
type encoder struct {
	mu   sync.Mutex
	last map[string]*knowledgepb.Value
}

func newEncoder() *encoder { return &encoder{last: make(map[string]*knowledgepb.Value)} }

// encode returns the message for an update.
func (e *encoder) encode(u dissemination.Update) (*knowledgepb.Value, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	msg := &knowledgepb.Value{
		Key: u.Value.Key, Revision: u.Value.Revision, Checksum: u.Value.Checksum,
		BaseRevision: u.Base.Revision, BaseChecksum: u.Base.Checksum,
	}
	if last := e.last[msg.Key]; last != nil && sameContent(last, msg) {
		return last, nil
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), // lower levels miss most of a long dictionary
	}
	if u.Base.Revision > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, u.Base.Body))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	msg.Body = w.EncodeAll(u.Value.Body, nil)
	e.last[msg.Key] = msg
	return msg, w.Close()
}

func sameContent(a, b *knowledgepb.Value) bool {
	return a.GetRevision() == b.GetRevision() && a.GetChecksum() == b.GetChecksum() &&
		a.GetBaseRevision() == b.GetBaseRevision() && a.GetBaseChecksum() == b.GetBaseChecksum()
}

// decode returns the value of a message. recent finds the value that it builds on.
func decode(msg *knowledgepb.Value, recent func(string, dissemination.Version) (dissemination.Value, bool)) (dissemination.Value, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecodedBytes)}
	if msg.GetBaseRevision() > 0 {
		version := dissemination.Version{Revision: msg.GetBaseRevision(), Checksum: msg.GetBaseChecksum()}
		base, ok := recent(msg.GetKey(), version)
		if !ok {
			return dissemination.Value{}, errNoBase
		}
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base.Body))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return dissemination.Value{}, err
	}
	defer r.Close()
	body, err := r.DecodeAll(msg.GetBody(), nil)
	if err != nil {
		return dissemination.Value{}, err
	}
	if len(body) > confservice.MaxValueBytes {
		return dissemination.Value{}, errors.New("the value is larger than the configuration service allows")
	}
	return dissemination.Value{Key: msg.GetKey(), Revision: msg.GetRevision(), Checksum: msg.GetChecksum(), Body: body}, nil
}

func digestOf(msg *knowledgepb.Digest) dissemination.Digest {
	digest := make(dissemination.Digest, 0, len(msg.GetEntries()))
	for _, e := range msg.GetEntries() {
		version := dissemination.Version{Revision: e.GetRevision(), Checksum: e.GetChecksum()}
		digest = append(digest, dissemination.Entry{Key: e.GetKey(), Version: version})
	}
	return digest
}
