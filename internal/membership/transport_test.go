package membership

import (
	"net"
	"slices"
	"strings"
	"testing"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/step"
)

// listen opens a transport on a free port; what arrives goes to the channel.
func listen(t *testing.T, mesh string) (*UDP, chan step.Event) {
	t.Helper()
	events := make(chan step.Event, 64)
	u, err := ListenUDP("127.0.0.1:0", mesh, func(e step.Event) { events <- e })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := u.Close(); err != nil {
			t.Errorf("close: %v", err)
		}
	})
	return u, events
}

func TestUDPDeliversInOrderOfArrival(t *testing.T) {
	a, _ := listen(t, testMesh)
	b, events := listen(t, testMesh)
	for seq := range uint64(5) {
		packet := goodPacket()
		packet.Seq = seq + 1
		if err := a.Send(SendPacket{Address: b.Address(), Packet: packet}); err != nil {
			t.Fatal(err)
		}
	}
	var seqs []uint64
	for range 5 {
		received := (<-events).(PacketReceived)
		if received.From != a.Address() {
			t.Errorf("came from %s, want %s", received.From, a.Address())
		}
		seqs = append(seqs, received.Packet.GetSeq())
	}
	if !slices.Equal(seqs, []uint64{1, 2, 3, 4, 5}) {
		t.Errorf("got packets %v", seqs)
	}
	if got := b.Traffic(); got.ReceivedPackets != 5 || got.ReceivedBytes != a.Traffic().SentBytes {
		t.Errorf("counted %+v", got)
	}
}

func TestUDPRefusesWhatDoesNotDecode(t *testing.T) {
	u, events := listen(t, testMesh)
	conn, err := net.Dial("udp", u.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	foreign, _ := listen(t, "other")
	packet := goodPacket()
	packet.Mesh = "other"
	tests := []struct {
		send func() error
		want DropKind
	}{
		{func() error { _, err := conn.Write([]byte{0xff}); return err }, DropMalformed},
		{func() error { _, err := conn.Write(make([]byte, 3000)); return err }, DropOversize},
		{func() error { return foreign.Send(SendPacket{Address: u.Address(), Packet: packet}) }, DropForeign},
	}
	for _, test := range tests {
		if err := test.send(); err != nil {
			t.Fatal(err)
		}
		refused, ok := (<-events).(PacketRefused)
		if !ok || dropKind(refused.Err) != test.want {
			t.Errorf("got %+v, want a packet refused as %s", refused, test.want)
		}
	}
}

func TestUDPSendReportsWhatCannotBeSent(t *testing.T) {
	u, _ := listen(t, testMesh)
	if err := u.Send(SendPacket{Address: "nowhere", Packet: goodPacket()}); err == nil {
		t.Error("an address that is no IP number was taken")
	}
	big := goodPacket()
	big.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{Target: strings.Repeat("x", MaxPacketBytes)}}
	if err := u.Send(SendPacket{Address: "127.0.0.1:9", Packet: big}); err == nil {
		t.Error("an oversized packet was taken")
	}
}

func TestUDPCloseSendsWhatIsQueued(t *testing.T) {
	a, err := ListenUDP("127.0.0.1:0", testMesh, func(step.Event) {})
	if err != nil {
		t.Fatal(err)
	}
	b, events := listen(t, testMesh)
	for range 20 {
		if err := a.Send(SendPacket{Address: b.Address(), Packet: goodPacket()}); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.Close(); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		<-events
	}
}
