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
	// dictionaryID is the dictionary id of frames that use another value as the dictionary.
	dictionaryID = 1
	// windowBytes is large enough for any part of a value to refer to any part of its
	// dictionary.
	windowBytes = 2 << 20
	// maxDecodedBytes bounds the memory for a decompressed body and its window.
	maxDecodedBytes = 2 * windowBytes
	// maxReasons bounds the number of reasons in a refusal.
	maxReasons = 20
)

// errUnknownBase means that the base version of a delta-compressed value is not in the store.
var errUnknownBase = errors.New("the base version of the compressed value is not known here; exchange digests with the sender")

// encoder compresses values. It caches the last result for each key, since the same change
// goes to several peers. It is safe for concurrent use.
type encoder struct {
	mu     sync.Mutex
	cached map[string]*knowledgepb.Value
}

func newEncoder() *encoder { return &encoder{cached: make(map[string]*knowledgepb.Value)} }

// encode returns the message for an update, with the body compressed against the base if
// there is one.
func (e *encoder) encode(u dissemination.Update) (*knowledgepb.Value, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	msg := &knowledgepb.Value{
		Key: u.Value.Key, Revision: u.Value.Revision, Checksum: u.Value.Checksum,
		BaseRevision: u.Base.Revision, BaseChecksum: u.Base.Checksum,
	}
	if previous := e.cached[msg.Key]; previous != nil && sameVersions(previous, msg) {
		return previous, nil
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), // lower levels miss most matches in a long dictionary
	}
	if u.Base.Revision > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, u.Base.Body))
	}
	writer, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	msg.Body = writer.EncodeAll(u.Value.Body, nil)
	e.cached[msg.Key] = msg
	return msg, writer.Close()
}

func sameVersions(a, b *knowledgepb.Value) bool {
	return a.GetRevision() == b.GetRevision() && a.GetChecksum() == b.GetChecksum() &&
		a.GetBaseRevision() == b.GetBaseRevision() && a.GetBaseChecksum() == b.GetBaseChecksum()
}

// decode returns the value of a message. lookup returns the value of the base version.
func decode(msg *knowledgepb.Value, lookup func(string, dissemination.Version) (dissemination.Value, bool)) (dissemination.Value, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecodedBytes)}
	if msg.GetBaseRevision() > 0 {
		version := dissemination.Version{Revision: msg.GetBaseRevision(), Checksum: msg.GetBaseChecksum()}
		base, ok := lookup(msg.GetKey(), version)
		if !ok {
			return dissemination.Value{}, errUnknownBase
		}
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base.Body))
	}
	reader, err := zstd.NewReader(nil, options...)
	if err != nil {
		return dissemination.Value{}, err
	}
	defer reader.Close()
	body, err := reader.DecodeAll(msg.GetBody(), nil)
	if err != nil {
		return dissemination.Value{}, err
	}
	if len(body) > confservice.MaxValueBytes {
		return dissemination.Value{}, errors.New("the value is larger than the configuration service allows")
	}
	return dissemination.Value{Key: msg.GetKey(), Revision: msg.GetRevision(), Checksum: msg.GetChecksum(), Body: body}, nil
}

func digestFromProto(msg *knowledgepb.Digest) dissemination.Digest {
	digest := make(dissemination.Digest, 0, len(msg.GetEntries()))
	for _, e := range msg.GetEntries() {
		version := dissemination.Version{Revision: e.GetRevision(), Checksum: e.GetChecksum()}
		digest = append(digest, dissemination.Entry{Key: e.GetKey(), Version: version})
	}
	return digest
}
