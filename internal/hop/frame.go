// Package hop carries requests between daemons. Each daemon opens one TCP
// connection to every other daemon, and the hop protocol multiplexes its requests
// as frames on it; large frames are sent in parts. If nothing arrives while a request
// is pending, a second connection is opened, which replaces the first if the peer
// answers on it first; the requests are resumed on it. If it cannot be opened, the peer
// counts as silent within half a second on a fast network, or within about two seconds
// on a slow one, and the connection as dead silenceLimit later, even if no reset arrives.
package hop

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/shaping"
)

// MaxFrame is the largest frame in bytes. It exceeds the largest answer, whose
// body is limited to 64 MiB, with its headers.
const MaxFrame = 80 << 20

// largeAllocation is the frame size in bytes up to which memory is allocated before
// the data has arrived.
const largeAllocation = 256 << 10

// errFrameTooLarge is returned for a frame above MaxFrame. On receipt it ends the
// connection: the frame's content is left unread, so the next frame cannot be
// located.
var errFrameTooLarge = errors.New("frame exceeds the size limit")

// encode returns a frame prefixed with its length as a varint. It returns
// errFrameTooLarge if the frame exceeds MaxFrame.
func encode(frame *hopv1.Frame) ([]byte, error) {
	size := proto.Size(frame)
	if size > MaxFrame {
		return nil, errFrameTooLarge
	}
	buffer := make([]byte, 0, size+binary.MaxVarintLen32)
	buffer = binary.AppendUvarint(buffer, uint64(size))
	buffer, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, frame)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	return buffer, nil
}

// readFrame reads and decodes the next frame, and returns it with its encoded size. It
// returns errFrameTooLarge if the frame exceeds MaxFrame.
func readFrame(r *bufio.Reader) (frame *hopv1.Frame, size int, err error) {
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, 0, err
	}
	if length > MaxFrame {
		return nil, 0, errFrameTooLarge
	}
	buffer, err := readBytes(r, int(length))
	if err != nil {
		return nil, 0, err
	}
	frame, err = decode(buffer)
	return frame, len(buffer), err
}

// readBytes reads size bytes. It allocates memory for a large frame as its data
// arrives, so that a wrong length does not exhaust the memory.
func readBytes(r io.Reader, size int) ([]byte, error) {
	if size <= largeAllocation {
		buffer := make([]byte, size)
		_, err := io.ReadFull(r, buffer)
		return buffer, err
	}
	buffer, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err == nil && len(buffer) < size {
		err = io.ErrUnexpectedEOF
	}
	return buffer, err
}

// decode decodes a frame without its length.
func decode(buffer []byte) (*hopv1.Frame, error) {
	frame := &hopv1.Frame{}
	if err := proto.Unmarshal(buffer, frame); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	return frame, nil
}

// withState returns a copy of hello with the sender's current state, its record of the
// receiver's draining upstream, which may be nil, and the rate of its network link.
func withState(hello *hopv1.Hello, state *hopv1.State, drainRecord *hopv1.Left, link *shaping.Link) *hopv1.Hello {
	return &hopv1.Hello{
		Instance:   hello.Instance,
		DataCentre: hello.DataCentre,
		Address:    hello.Address,
		Service:    hello.Service,
		State:      state,
		Left:       drainRecord,
		TakesParts: true,
		LinkKbps:   link.Kbps(),
	}
}
