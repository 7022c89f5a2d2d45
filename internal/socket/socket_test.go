package socket

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestHasUnreadFollowsWhatIsRead checks a connection before data arrives, with unread data, after
// it was read and after the close.
func TestHasUnreadFollowsWhatIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	sender, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = sender.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := accepted.(*net.TCPConn)
	if HasUnread(conn) {
		t.Error("unread data before any was sent")
	}
	if _, err := io.WriteString(sender, "data"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); !HasUnread(conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no unread data")
		}
	}
	if _, err := io.ReadFull(conn, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	if HasUnread(conn) {
		t.Error("unread data after all was read")
	}
	_ = conn.Close()
	if HasUnread(conn) {
		t.Error("unread data on a closed connection")
	}
}
