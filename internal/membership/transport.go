package membership

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"godwitmount/internal/step"
)

// sendQueue is how many datagrams may wait to be sent; more are dropped, as
// the network might.
const sendQueue = 256

// pastDeadline wakes a blocked read.
var pastDeadline = time.Unix(1, 0)

// Transport carries packets between the daemons of a mesh. It may lose,
// repeat and reorder them.
type Transport interface {
	// Send queues a packet and never blocks. An error means that it cannot be
	// sent at all.
	Send(packet SendPacket) error
	// Close ends the transport; nothing is delivered afterwards.
	Close() error
}

// UDP is the Transport of the daemon.
type UDP struct {
	conn    *net.UDPConn
	mesh    string
	deliver func(step.Event)
	queue   chan outgoing
	done    chan struct{}
	closing sync.Once
	running sync.WaitGroup

	sentBytes, sentPackets         atomic.Uint64
	receivedBytes, receivedPackets atomic.Uint64
	unsent                         atomic.Uint64
}

// outgoing is an encoded datagram on its way.
type outgoing struct {
	to       netip.AddrPort
	datagram []byte
}

// ListenUDP opens host:port, an IP number, and delivers a PacketReceived or
// PacketRefused for each datagram, from one goroutine.
func ListenUDP(address, mesh string, deliver func(step.Event)) (*UDP, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("gossip address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, fmt.Errorf("listen for gossip: %w", err)
	}
	u := &UDP{
		conn:    conn,
		mesh:    mesh,
		deliver: deliver,
		queue:   make(chan outgoing, sendQueue),
		done:    make(chan struct{}),
	}
	u.running.Add(2)
	go u.read()
	go u.write()
	return u, nil
}

// Address returns the address that is listened on.
func (u *UDP) Address() string { return u.conn.LocalAddr().String() }

// Traffic counts what went over a UDP transport.
type Traffic struct {
	SentBytes, SentPackets         uint64
	ReceivedBytes, ReceivedPackets uint64
	// Unsent counts packets dropped because the queue was full or the
	// network refused them.
	Unsent uint64
}

// Traffic returns the counts so far, without headers of IP and UDP.
func (u *UDP) Traffic() Traffic {
	return Traffic{
		SentBytes:       u.sentBytes.Load(),
		SentPackets:     u.sentPackets.Load(),
		ReceivedBytes:   u.receivedBytes.Load(),
		ReceivedPackets: u.receivedPackets.Load(),
		Unsent:          u.unsent.Load(),
	}
}

// Send implements Transport.
func (u *UDP) Send(packet SendPacket) error {
	to, err := netip.ParseAddrPort(packet.Address)
	if err != nil {
		return fmt.Errorf("send to %q: %w", packet.Address, err)
	}
	datagram, err := Encode(packet.Packet)
	if err != nil {
		return err
	}
	select {
	case u.queue <- outgoing{to, datagram}:
	default:
		u.unsent.Add(1)
	}
	return nil
}

// Close implements Transport; queued packets are sent first.
func (u *UDP) Close() error {
	var err error
	u.closing.Do(func() {
		close(u.done)
		err = u.conn.SetReadDeadline(pastDeadline)
		u.running.Wait()
		err = errors.Join(err, u.conn.Close())
	})
	return err
}

func (u *UDP) write() {
	defer u.running.Done()
	for {
		select {
		case out := <-u.queue:
			u.writeOne(out)
		case <-u.done:
			u.writeRest()
			return
		}
	}
}

func (u *UDP) writeRest() {
	for {
		select {
		case out := <-u.queue:
			u.writeOne(out)
		default:
			return
		}
	}
}

func (u *UDP) writeOne(out outgoing) {
	n, err := u.conn.WriteToUDPAddrPort(out.datagram, out.to)
	if err != nil {
		u.unsent.Add(1)
		return
	}
	u.sentPackets.Add(1)
	u.sentBytes.Add(uint64(n))
}

func (u *UDP) read() {
	defer u.running.Done()
	// One byte more than the limit tells an oversized datagram.
	buf := make([]byte, MaxPacketBytes+1)
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(buf)
		select {
		case <-u.done:
			return
		default:
		}
		if err != nil {
			// A refusal by the far side of an earlier send ends up here.
			continue
		}
		u.receivedPackets.Add(1)
		u.receivedBytes.Add(uint64(n))
		u.deliver(u.decode(buf[:n], from))
	}
}

func (u *UDP) decode(datagram []byte, from netip.AddrPort) step.Event {
	// The sender's address in the form that records use.
	sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	packet, err := Decode(datagram, u.mesh)
	if err != nil {
		return PacketRefused{From: sender, Err: err}
	}
	return PacketReceived{From: sender, Packet: packet}
}
