// Package hop carries requests between daemons: frames of the hop protocol on
// one TCP connection for each pair, many requests at once. A connection that
// falls silent while a request waits on it is given up within a fraction of a
// second, also where no reset arrives.
package hop

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// MaxFrame is the largest frame in bytes: the largest answer and its headers.
const MaxFrame = 80 << 20

// errFrameTooLarge ends a connection, since its frames cannot be told apart
// any more.
var errFrameTooLarge = errors.New("frame exceeds the limit")

// encode returns a frame with its length in front.
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

// readFrame reads the next frame.
func readFrame(r *bufio.Reader) (*hopv1.Frame, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > MaxFrame {
		return nil, errFrameTooLarge
	}
	buffer := make([]byte, size)
	if _, err := io.ReadFull(r, buffer); err != nil {
		return nil, err
	}
	frame := &hopv1.Frame{}
	if err := proto.Unmarshal(buffer, frame); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	return frame, nil
}

// withState returns a hello with a state of now and what is remembered of the
// receiver.
func withState(hello *hopv1.Hello, state *hopv1.State, left *hopv1.Left) *hopv1.Hello {
	return &hopv1.Hello{
		Instance:   hello.Instance,
		DataCentre: hello.DataCentre,
		Address:    hello.Address,
		Service:    hello.Service,
		State:      state,
		Left:       left,
	}
}
