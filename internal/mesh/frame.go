package mesh

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/plantainrun/plantainrun/internal/membudget"
)

const (
	frameHeaderBytes = 4
	// endOfMessages is sent in place of a length after the sender's last message.
	endOfMessages = ^uint32(0)
	// maxControlMessageBytes is the size limit of messages that set up connections and streams.
	maxControlMessageBytes = 4 << 10
)

// encodeFrame encodes msg with a length prefix.
func encodeFrame(msg proto.Message, limit int) ([]byte, error) {
	size := proto.Size(msg)
	if size > limit {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, size, limit)
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+size)
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, msg)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeaderBytes))
	return frame, nil
}

// endFrame returns the frame that follows the last message.
func endFrame() []byte {
	return binary.BigEndian.AppendUint32(nil, endOfMessages)
}

// readControlFrame reads a message that sets up a connection or stream.
func readControlFrame(r io.Reader, msg proto.Message) error {
	var held membudget.Holding // without a budget: these messages are small
	return readFrame(r, msg, maxControlMessageBytes, &held)
}

// readFrame reads one message. It returns io.EOF for the end frame, and
// ErrAborted when the stream ends without one. The buffer grows with the bytes
// received; it is not allocated from the length that the peer declares. held
// accounts for it, also after the return: the message takes about as much.
func readFrame(r io.Reader, msg proto.Message, limit int, held *membudget.Holding) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return eofToAborted(err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == endOfMessages {
		return io.EOF
	}
	if uint64(size) > uint64(limit) {
		return fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, size, limit)
	}
	if size == 0 {
		return unmarshal(nil, msg)
	}
	body, err := held.ReadAll(r, int(size))
	switch {
	case errors.Is(err, membudget.ErrExhausted):
		return errors.Join(err, discard(r, int64(size)-int64(len(body))))
	case err != nil:
		return eofToAborted(err)
	case len(body) < int(size):
		return ErrAborted
	}
	return unmarshal(body, msg)
}

// discard reads the rest of a message that is not kept, so that the peer can finish sending
// and read the answer.
func discard(r io.Reader, bytes int64) error {
	_, err := io.CopyN(io.Discard, r, bytes)
	return err
}

func unmarshal(body []byte, msg proto.Message) error {
	if err := proto.Unmarshal(body, msg); err != nil {
		return fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	return nil
}

// eofToAborted maps an end of the stream without an end frame to ErrAborted.
func eofToAborted(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrAborted
	}
	return err
}

// writeFrame writes a message that sets up a connection or stream, of at most
// maxControlMessageBytes.
func writeFrame(w io.Writer, msg proto.Message) error {
	frame, err := encodeFrame(msg, maxControlMessageBytes)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}
