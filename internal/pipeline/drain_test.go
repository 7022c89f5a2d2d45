package pipeline

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// countingListener counts the requests that are read from its connections.
type countingListener struct {
	net.Listener
	read atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn.(*net.TCPConn), &l.read}, nil
}

// countingConn counts the ends of heads that are read from a connection.
type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(bytes.Count(p[:n], []byte("\r\n\r\n"))))
	return n, err
}

// serveCounted serves the handler through a countingListener.
func serveCounted(t *testing.T, handler http.HandlerFunc) (*countingListener, *Listener) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counted := &countingListener{Listener: inner}
	listener := NewListener(counted, ignoreUnserved)
	server := &http.Server{Handler: handler, ConnState: ConnState, ConnContext: ConnContext}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return counted, listener
}

// TestRequestReadAsTheServerEndsIsAnswered covers callers that send a request on an open
// connection just as the server ends its connections.
func TestRequestReadAsTheServerEndsIsAnswered(t *testing.T) {
	const callers = 300
	counted, listener := serveCounted(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" && CloseAfter(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		fmt.Fprint(w, r.URL.Path)
	})
	var conns []*net.TCPConn
	var readers []*bufio.Reader
	for range callers {
		conns = append(conns, dial(t, counted.Addr().String(), get("/first")))
		readers = append(readers, bufio.NewReader(conns[len(conns)-1]))
		expectAnswers(t, readers[len(readers)-1], "/first")
	}
	counted.read.Store(0)
	sent := make(chan bool)
	go func() {
		defer close(sent)
		for _, conn := range conns {
			// It fails on a connection that was ended before.
			_, _ = io.WriteString(conn, get("/second"))
		}
	}()
	_ = listener.Close()
	listener.Drain()
	<-sent
	answered := 0
	for i, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if response, err := http.ReadResponse(readers[i], nil); err == nil && response.StatusCode == http.StatusOK {
			answered++
		}
	}
	if read := counted.read.Load(); read != int64(answered) {
		t.Errorf("%d requests were read and %d answered", read, answered)
	}
	for end := time.Now().Add(5 * time.Second); listener.Open() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open", listener.Open())
		}
	}
}

// TestRequestsThatWaitAreAnsweredBeforeTheConnectionEnds covers requests that were read ahead
// when the server ends its connections, more than are served side by side.
func TestRequestsThatWaitAreAnsweredBeforeTheConnectionEnds(t *testing.T) {
	var want []string
	var sent strings.Builder
	for i := range 3 * maxBranches {
		path := fmt.Sprintf("/%d", i)
		want = append(want, path)
		if i%5 == 4 {
			fmt.Fprintf(&sent, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", path)
			continue
		}
		sent.WriteString(get(path))
	}
	began := make(chan bool, len(want))
	counted, listener := serveCounted(t, func(w http.ResponseWriter, r *http.Request) {
		began <- true
		time.Sleep(20 * time.Millisecond)
		if CloseAfter(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		fmt.Fprint(w, r.URL.Path)
	})
	conn := dial(t, counted.Addr().String(), sent.String())
	<-began
	_ = listener.Close()
	listener.Drain()
	if listener.AllAnswered() {
		t.Error("all answered while requests wait")
	}
	reader := bufio.NewReader(conn)
	expectAnswers(t, reader, want...)
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v", err)
	}
}

// TestDeadlinePassesWhileMuchWaits covers a caller that has sent as much as is read ahead:
// nothing else ends the Read then.
func TestDeadlinePassesWhileMuchWaits(t *testing.T) {
	caller, server := net.Pipe()
	defer func() { _ = caller.Close() }()
	c := newConn(server, &Listener{unserved: ignoreUnserved, conns: map[*Conn]bool{}})
	c.serving = true
	c.ahead = make([]byte, maxAhead)
	if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		result <- err
	}()
	select {
	case err := <-result:
		if err != os.ErrDeadlineExceeded {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the read goes on")
	}
}
