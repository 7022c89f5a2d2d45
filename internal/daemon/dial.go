package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"godwitmount/gen/godwitmount/peer/v1/peerv1connect"
)

const (
	// peerDialTimeout bounds opening a control connection to a peer.
	peerDialTimeout = time.Second
	// peerIdleTimeout closes a control connection that carried nothing.
	peerIdleTimeout = 30 * time.Second
	// peerIdlePerHost is how many idle control connections are kept to one
	// peer.
	peerIdlePerHost = 2
	// peerReadLimit is the largest control message in bytes.
	peerReadLimit = 8 << 20
)

// DialFunc opens a TCP connection; tests replace it to cut links.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// peerClients makes control clients for peers, over one shared transport.
type peerClients struct {
	http *http.Client
}

func newPeerClients(dial DialFunc) *peerClients {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: peerIdlePerHost,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}
	return &peerClients{http: &http.Client{Transport: transport}}
}

// to returns the control client of the peer at address (host:port).
func (p *peerClients) to(address string) peerv1connect.PeerServiceClient {
	return peerv1connect.NewPeerServiceClient(p.http, "http://"+address,
		connect.WithReadMaxBytes(peerReadLimit))
}

// close drops idle connections.
func (p *peerClients) close() {
	p.http.CloseIdleConnections()
}

// controlDial opens control connections.
func (d *Daemon) controlDial() DialFunc {
	if d.cfg.Dial != nil {
		return d.cfg.Dial
	}
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return dialer.DialContext
}
