// Package rawserver lets tests answer HTTP requests byte by byte, as no server does that keeps to
// the protocol.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Loopback is an address with any free port.
const Loopback = "127.0.0.1:0"

// Serve accepts connections at address, host:port, until the end of the test, and calls handle with
// each in a goroutine of its own. It closes the connection when handle returns. It returns the
// address with its port.
func Serve(t testing.TB, address string, handle func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// ServeHeads calls handle with each connection once the head of a request has been read from it.
// The request's body reads on from the connection.
func ServeHeads(t testing.TB, address string, handle func(conn *net.TCPConn, request *http.Request)) string {
	t.Helper()
	return Serve(t, address, func(conn *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			handle(conn, request)
		}
	})
}

// ServeRequests calls answer with each request on each connection, once it has been read with its
// body, until answer returns false.
func ServeRequests(t testing.TB, address string, answer func(conn net.Conn, request *http.Request) bool) string {
	t.Helper()
	return Serve(t, address, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil || !answer(conn, request) {
				return
			}
		}
	})
}
