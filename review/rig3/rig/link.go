package rig

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// Network forwards the connections between daemons, and can cut pairs of them: no byte passes
// then in either direction, nothing is reset, and what was on its way passes after the cut.
type Network struct {
	mu   sync.Mutex
	cuts map[string]bool
	// group holds the nodes that are cut off from all others, and not from each other.
	group map[string]bool
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network { return &Network{cuts: map[string]bool{}} }

// Isolate cuts a node off from all other nodes, or ends that.
func (n *Network) Isolate(node string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[node] = cut
}

// IsolateGroup cuts nodes off from all others, but not from each other. Without nodes it ends that.
func (n *Network) IsolateGroup(nodes ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group = map[string]bool{}
	for _, node := range nodes {
		n.group[node] = true
	}
}

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[a] || n.cuts[b] || n.group[a] != n.group[b]
}

// cutPoll is how often a cut direction looks whether the cut is over.
const cutPoll = 5 * time.Millisecond

func (n *Network) await(a, b string) {
	for n.isCut(a, b) {
		time.Sleep(cutPoll)
	}
}

// Forward forwards connections from address to target, where the daemon of a node listens.
func (n *Network) Forward(address, target, node string) (io.Closer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go n.forward(from, target, node)
		}
	}()
	return listener, nil
}

func (n *Network) forward(from net.Conn, target, node string) {
	reader := bufio.NewReader(from)
	first, sender, err := readHello(reader)
	if err != nil {
		reset(from)
		return
	}
	n.await(sender, node)
	to, err := net.Dial("tcp", target)
	if err != nil {
		reset(from)
		return
	}
	if _, err := to.Write(first); err != nil {
		reset(from)
		reset(to)
		return
	}
	go n.copy(from, to, to, sender, node)
	n.copy(to, reader, from, sender, node)
}

// copy forwards one direction until either connection ends, and then ends both.
func (n *Network) copy(to net.Conn, from io.Reader, fromConn net.Conn, sender, node string) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		n.await(sender, node)
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				err = writeErr
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
				return
			}
		}
		reset(to)
		reset(fromConn)
		return
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// maxHello bounds the first frame of a connection in bytes.
const maxHello = 1 << 20

// readHello returns the first frame of a connection with its length, and the node that sent it.
func readHello(reader *bufio.Reader) (raw []byte, node string, err error) {
	length, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, "", err
	}
	if length > maxHello {
		return nil, "", errors.New("first frame is too large")
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, "", err
	}
	frame := &hopv1.Frame{}
	if err := proto.Unmarshal(body, frame); err != nil {
		return nil, "", err
	}
	return append(binary.AppendUvarint(nil, length), body...), frame.GetHello().GetInstance(), nil
}
