package daemon

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"godwitmount/internal/membership"
)

// unknownDataCentre labels traffic with addresses that no record names yet.
const unknownDataCentre = "unknown"

// traffic counts the bytes of control traffic by the far end's data centre.
// Datagrams are counted by sender and receiver; a connection is counted, in
// both directions, by the side that opened it. Headers of IP, TCP and UDP are
// not counted.
type traffic struct {
	// places maps peer addresses to data centres.
	places   atomic.Pointer[map[string]string]
	sent     *prometheus.CounterVec
	received *prometheus.CounterVec
}

const (
	transportUDP = "udp"
	transportTCP = "tcp"
)

func newTraffic(registry *prometheus.Registry) *traffic {
	labels := []string{"transport", "data_centre"}
	t := &traffic{
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "godwitmount_control_sent_bytes_total",
			Help: "Bytes of control traffic sent, by transport and the far end's data centre.",
		}, labels),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "godwitmount_control_received_bytes_total",
			Help: "Bytes of control traffic received, by transport and the far end's data centre.",
		}, labels),
	}
	registry.MustRegister(t.sent, t.received)
	t.places.Store(&map[string]string{})
	return t
}

// setMembers takes the data centres of all known addresses.
func (t *traffic) setMembers(records []membership.Record) {
	places := make(map[string]string, len(records))
	for _, record := range records {
		places[record.Address] = record.DataCentre
	}
	t.places.Store(&places)
}

func (t *traffic) placeOf(address string) string {
	if place, known := (*t.places.Load())[address]; known {
		return place
	}
	return unknownDataCentre
}

// countDial wraps a dialler so that its connections are counted.
func (t *traffic) countDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		place := t.placeOf(address)
		return &countedConn{
			Conn:     conn,
			sent:     t.sent.WithLabelValues(transportTCP, place),
			received: t.received.WithLabelValues(transportTCP, place),
		}, nil
	}
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	sent, received prometheus.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(float64(n))
	return n, err
}

// countSent and countReceived count datagrams.
func (t *traffic) countSent(address string, bytes int) {
	t.sent.WithLabelValues(transportUDP, t.placeOf(address)).Add(float64(bytes))
}

func (t *traffic) countReceived(address string, bytes int) {
	t.received.WithLabelValues(transportUDP, t.placeOf(address)).Add(float64(bytes))
}
