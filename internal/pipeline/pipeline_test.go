package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// serve serves the handler on loopback, with or without pipelining, and returns the address.
func serve(t testing.TB, handler http.HandlerFunc, pipelined bool) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	listener := inner
	if pipelined {
		listener = NewListener(inner, ignoreUnserved)
		server.ConnState = ConnState
		server.ConnContext = ConnContext
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String()
}

func ignoreUnserved([][]byte, error) {}

// dial connects and sends data at once.
func dial(t testing.TB, address, data string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, data); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// expectAnswers reads answers and compares their bodies.
func expectAnswers(t *testing.T, reader *bufio.Reader, want ...string) {
	t.Helper()
	for i, body := range want {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		got, err := io.ReadAll(response.Body)
		if err != nil || string(got) != body {
			t.Fatalf("answer %d: %q, %v; want %q", i, got, err, body)
		}
	}
}

// TestRequestsBehindOneAnotherRunSideBySide covers a caller that sends requests before the
// first is answered, each of which takes long: one after the other, the last ones would be
// answered after their goal. The first takes longest, so that answers must wait.
func TestRequestsBehindOneAnotherRunSideBySide(t *testing.T) {
	const work = 200 * time.Millisecond
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/0" {
			time.Sleep(work / 2)
		}
		time.Sleep(work)
		fmt.Fprint(w, r.URL.Path)
	}, true)
	began := time.Now()
	conn := dial(t, address, get("/0")+get("/1")+get("/2"))
	reader := bufio.NewReader(conn)
	time.Sleep(work / 4)
	_, _ = io.WriteString(conn, get("/3"))
	expectAnswers(t, reader, "/0", "/1", "/2", "/3")
	if took := time.Since(began); took > 3*work {
		t.Errorf("four requests of %s took %s", work, took)
	}
	// The connection goes on, first with one request, then with several.
	_, _ = io.WriteString(conn, get("/4"))
	expectAnswers(t, reader, "/4")
	_, _ = io.WriteString(conn, get("/5")+get("/6"))
	expectAnswers(t, reader, "/5", "/6")
}

// TestMoreRequestsThanBranchesAreAllAnswered covers a caller that sends far ahead.
func TestMoreRequestsThanBranchesAreAllAnswered(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(w, r.URL.Path)
	}, true)
	var sent strings.Builder
	var want []string
	for i := range 20 * maxBranches {
		path := fmt.Sprintf("/%d", i)
		sent.WriteString("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 300) + "\r\n\r\n")
		want = append(want, path)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, sent.String()) }()
	expectAnswers(t, bufio.NewReader(conn), want...)
}

// TestRequestWithBodyRunsAfterThoseBeforeIt covers a request that must not be split off:
// the bytes behind its head are its body.
func TestRequestWithBodyRunsAfterThoseBeforeIt(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(w, r.URL.Path, " ", string(body))
	}, true)
	hidden := get("/hidden")
	post := fmt.Sprintf("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden)
	conn := dial(t, address, get("/0")+get("/1")+post+get("/3"))
	expectAnswers(t, bufio.NewReader(conn), "/0 ", "/1 ", "/2 "+hidden, "/3 ")
}

// TestNoRequestIsReadBehindTheLastAnswer covers an answer that ends the connection: the
// caller sends the requests behind it again, so they must not run.
func TestNoRequestIsReadBehindTheLastAnswer(t *testing.T) {
	ran := make(chan string, 10)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		ran <- r.URL.Path
		if CloseAfter(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		time.Sleep(50 * time.Millisecond)
		fmt.Fprint(w, r.URL.Path)
	}, true)
	conn := dial(t, address, get("/0"))
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(conn, get("/1")+get("/2"))
	reader := bufio.NewReader(conn)
	expectAnswers(t, reader, "/0")
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v", err)
	}
	if len(ran) != 1 {
		t.Errorf("%d requests ran", len(ran))
	}
}

// TestAnswerDoesNotEndTheConnectionOfRequestsBehindIt covers a daemon that stops while
// requests that a caller has sent behind one another are served.
func TestAnswerDoesNotEndTheConnectionOfRequestsBehindIt(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		if CloseAfter(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		fmt.Fprint(w, r.URL.Path)
	}, true)
	conn := dial(t, address, get("/0")+get("/1")+get("/2"))
	reader := bufio.NewReader(conn)
	expectAnswers(t, reader, "/0", "/1", "/2")
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v", err)
	}
}

// TestAllRequestsOfACallerThatLeavesEnd covers a caller that closes its connection while
// requests behind one another are served.
func TestAllRequestsOfACallerThatLeavesEnd(t *testing.T) {
	const requests = 4
	began, ended := make(chan string, requests), make(chan string, requests)
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		began <- r.URL.Path
		<-r.Context().Done()
		ended <- r.URL.Path
	}, true)
	conn := dial(t, address, strings.Repeat(get("/"), requests))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	await := func(events chan string, what string) {
		for i := range requests {
			select {
			case <-events:
			case <-ctx.Done():
				t.Fatalf("%d of %d requests have %s", i, requests, what)
			}
		}
	}
	await(began, "begun")
	_ = conn.Close()
	await(ended, "ended")
}

// TestLargeAnswersBehindOthersArriveWhole covers answers that exceed what waits unsent.
func TestLargeAnswersBehindOthersArriveWhole(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 4*maxUnsent/16)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/0" {
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = io.WriteString(w, large)
	}, true)
	conn := dial(t, address, get("/0")+get("/1")+get("/2"))
	expectAnswers(t, bufio.NewReader(conn), large, large, large)
}

// exhaustedListener fails to accept once, for want of descriptors.
type exhaustedListener struct {
	net.Listener
	failed bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestListenerOutlivesALackOfDescriptors covers a daemon that cannot accept for a moment:
// it accepts again later.
func TestListenerOutlivesALackOfDescriptors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") }),
		ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(NewListener(&exhaustedListener{Listener: inner}, ignoreUnserved)) }()
	t.Cleanup(func() { _ = server.Close() })
	conn := dial(t, inner.Addr().String(), get("/"))
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	expectAnswers(t, bufio.NewReader(conn), "served")
}

// FuzzServesWhatNetHTTPServes compares what callers get with the answers of net/http alone,
// which include each request as it was understood: no input may be split differently.
func FuzzServesWhatNetHTTPServes(f *testing.F) {
	hidden := get("/hidden")
	for _, seed := range []string{
		get("/a") + get("/b") + get("/c"),
		get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" + get("/c"),
		get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + get("/c"),
		get("/a") + fmt.Sprintf("GET /b HTTP/1.1\r\nHost: h\r\ncontent-LENGTH : %d\r\n\r\n%s", len(hidden), hidden) + get("/c"),
		get("/a") + fmt.Sprintf("GET /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nTransfer-Encoding: identity\r\n\r\n%s", len(hidden), hidden),
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 005\r\n\r\nhello" + get("/b") + get("/c"),
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello" + get("/b"),
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello" + get("/b"),
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n 3\r\n\r\nhello" + get("/b"),
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhel",
		get("/a") + "GET /b HTTP/1.1\nHost: h\n\n" + get("/c"),
		get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nX: a\r\n \r\n\r\n" + get("/c"),
		get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nX: a\r\r\n\r\n" + get("/c"),
		get("/a") + "\r\n\r\n" + get("/b"),
		get("/a") + "GET /b HTTP/1.0\r\nHost: h\r\n\r\n" + get("/c"),
		get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/c"),
		get("/a") + "GET /b HTTP/1.1\r\n\r\n" + get("/c"),
		"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" + "HEAD /b HTTP/1.1\r\nHost: h\r\n\r\n" + get("/c"),
		get("/a") + "GET  HTTP/1.1\r\nHost: h\r\n\r\n" + get("/c"),
		get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nX: \x00\r\n\r\n" + get("/c"),
	} {
		f.Add(seed)
	}
	echo := func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		w.Header()["Date"] = nil
		fmt.Fprintf(w, "%s %q %q %q %v", r.Method, r.RequestURI, r.Header, body, err)
	}
	alone, pipelined := serve(f, echo, false), serve(f, echo, true)
	f.Fuzz(func(t *testing.T, input string) {
		want, got := exchange(t, alone, input), exchange(t, pipelined, input)
		if !bytes.Equal(got, want) {
			t.Errorf("answers to %q:\n%q\nwith net/http alone:\n%q", input, got, want)
		}
	})
}

// exchange sends the input, with a request behind it that ends the connection, and returns
// all answers.
func exchange(t *testing.T, address, input string) []byte {
	t.Helper()
	conn := dial(t, address, input+"\r\n\r\nGET /end HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answers, err := io.ReadAll(conn)
	if err != nil {
		t.Logf("read: %v", err)
	}
	return answers
}

// TestNoRequestRunsBehindOneThatEndsTheConnection covers a head that net/http refuses: it closes
// the connection, so a request behind it gets no answer.
func TestNoRequestRunsBehindOneThatEndsTheConnection(t *testing.T) {
	for name, refused := range map[string]string{
		"no host":     "GET /bad HTTP/1.1\r\n\r\n",
		"second host": "GET /bad HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"odd name":    "GET /bad HTTP/1.1\r\nHost: h\r\nA b: c\r\n\r\n",
		"odd value":   "GET /bad HTTP/1.1\r\nHost: h\r\nX: a\x00\r\n\r\n",
		"odd target":  "GET /% HTTP/1.1\r\nHost: h\r\n\r\n",
		"odd host":    "GET /bad HTTP/1.1\r\nHost: a b\r\n\r\n",
		"no colon":    "GET /bad HTTP/1.1\r\nHost: h\r\nnocolon\r\n\r\n",
		"three parts": "GET /bad x HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ran := make(chan string, 10)
			address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				ran <- r.URL.Path
				time.Sleep(50 * time.Millisecond)
				fmt.Fprint(w, r.URL.Path)
			}, true)
			conn := dial(t, address, get("/0")+refused+get("/1"))
			answers, err := io.ReadAll(conn)
			if served := bytes.Count(answers, []byte(" 200 OK")); err != nil || served != 1 || len(ran) != served {
				t.Errorf("%d ran, answers %q, %v", len(ran), answers, err)
			}
		})
	}
}

func BenchmarkIsAccepted(b *testing.B) {
	head := []byte("GET /some/path?query=1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: 123456\r\nX-Time: 1000\r\nCustomer: c\r\n\r\n")
	for b.Loop() {
		if !isAccepted(head) {
			b.Fatal("refused")
		}
	}
}
