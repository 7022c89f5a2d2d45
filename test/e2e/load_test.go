package e2e

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"godwitmount/test/harness"
)

// fate is what a caller learned of one request.
type fate int

const (
	// answered is a whole answer of an upstream.
	answered fate = iota + 1
	// notRun is the system's word that no upstream ran it.
	notRun
	// unknown is the system's word that it may have run.
	unknown
	// refused means that no connection was accepted; nothing was sent.
	refused
	// cut means that the connection broke before the whole answer.
	cut
)

// sent is one request of a caller.
type sent struct {
	tag, key string
	fate     fate
	code     string
	detail   string
}

// load is a number of callers that send requests one after another.
type load struct {
	client *http.Client
	stop   chan struct{}
	group  sync.WaitGroup

	mu   sync.Mutex
	sent []sent
}

// startLoad lets callers send POSTs, each with a tag of its own, through the
// ready ones of entries. When keyed, each request carries an Idempotency-Key
// and is repeated under it until it is answered.
func startLoad(entries []*harness.Instance, callers int, keyed bool, headers map[string]string) *load {
	l := &load{
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second},
		stop:   make(chan struct{}),
	}
	for n := range callers {
		l.group.Go(func() { l.run(n, entries, keyed, headers) })
	}
	return l
}

func (l *load) run(caller int, entries []*harness.Instance, keyed bool, headers map[string]string) {
	for i := 0; ; i++ {
		name := fmt.Sprintf("%s%d-%d", kindOf(keyed), caller, i)
		for try := 0; ; try++ {
			select {
			case <-l.stop:
				return
			default:
			}
			entry := entries[(caller+i+try)%len(entries)]
			if !entry.Ready() {
				time.Sleep(5 * time.Millisecond)
				continue
			}
			result := l.send(entry, fmt.Sprintf("%s-%d", name, try), keyOf(name, keyed), headers)
			if !keyed || result == answered {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// kindOf keeps the tags of two loads apart.
func kindOf(keyed bool) string {
	if keyed {
		return "keyed"
	}
	return "plain"
}

func keyOf(name string, keyed bool) string {
	if keyed {
		return "key-" + name
	}
	return ""
}

// send sends one request and notes its fate.
func (l *load) send(entry *harness.Instance, tag, key string, headers map[string]string) fate {
	return l.sendBody(entry, tag, key, "line for "+key, headers)
}

func (l *load) sendBody(entry *harness.Instance, tag, key, body string, headers map[string]string) fate {
	s := sent{tag: tag, key: key}
	s.fate, s.code, s.detail = l.call(entry, tag, key, body, headers)
	l.mu.Lock()
	l.sent = append(l.sent, s)
	l.mu.Unlock()
	return s.fate
}

func (l *load) call(entry *harness.Instance, tag, key, body string, headers map[string]string) (fate, string, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry.Caller+"/order-lines", strings.NewReader(body))
	if err != nil {
		return 0, "", err.Error()
	}
	req.Header.Set("X-Request-Tag", tag)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return fateOfError(err), "", entry.Instance + ": " + err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return cut, "", entry.Instance + ": " + err.Error()
	}
	code := resp.Header.Get("Godwitmount-Code")
	switch resp.Header.Get("Godwitmount-Outcome") {
	case "not-run":
		return notRun, code, string(text)
	case "unknown":
		return unknown, code, string(text)
	}
	if key == "" && !strings.Contains(string(text), fmt.Sprintf("%q", tag)) {
		return 0, code, "answer of another request: " + string(text)
	}
	return answered, code, string(text)
}

func fateOfError(err error) fate {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return refused
	}
	return cut
}

// end stops the callers and returns all that was sent.
func (l *load) end() []sent {
	close(l.stop)
	l.group.Wait()
	return l.sent
}

// count returns how many requests had the fate.
func count(all []sent, f fate) int {
	n := 0
	for _, s := range all {
		if s.fate == f {
			n++
		}
	}
	return n
}

// report sums up fates for the test's log.
func report(t *testing.T, all []sent) {
	t.Helper()
	codes := map[string]int{}
	for _, s := range all {
		if s.code != "" {
			codes[s.code]++
		}
	}
	t.Logf("%d sent: %d answered, %d not run, %d unknown, %d refused, %d cut; codes %v", len(all),
		count(all, answered), count(all, notRun), count(all, unknown), count(all, refused), count(all, cut), codes)
}

// runs counts from the logs of all upstreams, dead ones included, how often
// each key and each tag ran.
func runs(t *testing.T, mesh *harness.Mesh) (byKey, byTag map[string]int) {
	t.Helper()
	byKey, byTag = map[string]int{}, map[string]int{}
	logs, err := filepath.Glob(filepath.Join(mesh.Dir, "*.upstream*.log"))
	must(t, err)
	for _, file := range logs {
		countRuns(t, file, byKey, byTag)
	}
	return byKey, byTag
}

func countRuns(t *testing.T, file string, byKey, byTag map[string]int) {
	t.Helper()
	f, err := os.Open(file)
	must(t, err)
	defer f.Close()
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		var line struct{ Msg, Key, Tag string }
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Msg != "standin-ran" {
			continue
		}
		if line.Key != "" {
			byKey[line.Key]++
		}
		byTag[line.Tag]++
	}
	must(t, scanner.Err())
}

// checkHonest asserts what must hold of every request, whatever failed.
func checkHonest(t *testing.T, mesh *harness.Mesh, all []sent) {
	t.Helper()
	report(t, all)
	byKey, byTag := runs(t, mesh)
	checkTold(t, all, byTag)
	for key, n := range byKey {
		if n > 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
}

// checkTold asserts that what callers were told agrees with what ran.
func checkTold(t *testing.T, all []sent, byTag map[string]int) {
	t.Helper()
	for _, s := range all {
		if s.fate == 0 {
			t.Errorf("%s: wrong answer: %s", s.tag, s.detail)
		}
		if s.fate == notRun && byTag[s.tag] != 0 {
			t.Errorf("%s was told not-run (code %s) and ran %d times", s.tag, s.code, byTag[s.tag])
		}
		if byTag[s.tag] > 1 {
			t.Errorf("%s ran %d times", s.tag, byTag[s.tag])
		}
	}
}
