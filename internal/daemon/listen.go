package daemon

import (
	"fmt"
	"net"

	"godwitmount/internal/membership"
	"godwitmount/internal/settings"
)

// peerListenTries is how often a free port is sought that both TCP and UDP can
// have.
const peerListenTries = 16

// openGossip opens the datagram transport on host:port.
type openGossip func(address string) (membership.Transport, error)

// listeners are the open sockets of a daemon.
type listeners struct {
	caller, peer, local net.Listener
	// gossip shares the peer listener's address.
	gossip membership.Transport
}

// listen opens all sockets, or none.
func listen(s *settings.Daemon, gossip openGossip) (listeners, error) {
	var l listeners
	var err error
	if l.caller, err = net.Listen("tcp", s.CallerListen); err != nil {
		return l, fmt.Errorf("caller_listen: %w", err)
	}
	if l.local, err = net.Listen("tcp", s.LocalListen); err != nil {
		l.close()
		return l, fmt.Errorf("local_listen: %w", err)
	}
	if err = l.openPeer(s.PeerListen, gossip); err != nil {
		l.close()
		return l, fmt.Errorf("peer_listen: %w", err)
	}
	return l, nil
}

// openPeer opens TCP and UDP on one port. With port 0 the system's choice for
// TCP may be taken for UDP, so another is tried.
func (l *listeners) openPeer(address string, gossip openGossip) error {
	var err error
	for range peerListenTries {
		if l.peer, err = net.Listen("tcp", address); err != nil {
			return err
		}
		if l.gossip, err = gossip(l.peer.Addr().String()); err == nil {
			return nil
		}
		_ = l.peer.Close()
		l.peer = nil
	}
	return err
}

// tcp returns the TCP listeners in the order of the daemon's servers.
func (l *listeners) tcp() []net.Listener {
	return []net.Listener{l.caller, l.peer, l.local}
}

func (l *listeners) close() {
	for _, listener := range l.tcp() {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if l.gossip != nil {
		_ = l.gossip.Close()
	}
}
