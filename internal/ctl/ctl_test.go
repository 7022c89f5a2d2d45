package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/encoding/protojson"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/gen/godwitmount/peer/v1/peerv1connect"
	"godwitmount/internal/platformstandin"
	"godwitmount/internal/steptest"
)

// TestTranscripts runs the tool as a user would, against a platform stand-in
// and a daemon that answers from a script.
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newSession(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.step(t, d)
		})
	})
}

func TestExitCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for i, row := range exitCodes {
		if int(row.code) != i {
			t.Errorf("exit code %d stands at place %d", row.code, i)
		}
		if line := fmt.Sprintf("| %d | %s |\n", row.code, row.text); !strings.Contains(string(page), line) {
			t.Errorf("docs/OPERATIONS.md lacks %q", line)
		}
	}
}

// session is one transcript's files, platform and daemon.
type session struct {
	dir      string
	store    *platformstandin.Store
	platform *httptest.Server
	daemon   *scriptedDaemon
	server   *httptest.Server
	digest   string
}

func newSession(t *testing.T) *session {
	for _, name := range []string{"GODWITMOUNT_PLATFORM", "GODWITMOUNT_DAEMON"} {
		t.Setenv(name, "")
		os.Unsetenv(name)
	}
	t.Setenv("USER", "ana")
	s := &session{dir: t.TempDir(), store: platformstandin.NewStore(platformstandin.Config{}), daemon: &scriptedDaemon{}}
	s.platform = httptest.NewServer(platformstandin.NewHandler(s.store))
	t.Cleanup(s.platform.Close)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewOperatorServiceHandler(s.daemon))
	s.server = httptest.NewServer(mux)
	t.Cleanup(s.server.Close)
	return s
}

func (s *session) step(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "file":
		name := d.CmdArgs[0].Key
		if err := os.WriteFile(filepath.Join(s.dir, name), []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		return ""
	case "faults":
		faults := platformstandin.Faults{
			LosePercent: steptest.Number[int](t, d, "lose"),
			Outage:      platformstandin.Outage(steptest.Text(t, d, "outage")),
		}
		if err := s.store.SetFaults(faults); err != nil {
			t.Fatal(err)
		}
		return ""
	case "daemon":
		s.daemon.load(d.Input)
		return ""
	case "run":
		return s.run(d.Input)
	default:
		t.Fatalf("unknown directive %s", d.Cmd)
		return ""
	}
}

var (
	proposedDigest = regexp.MustCompile(`proposed ([0-9a-f]{64})`)
	timestamp      = regexp.MustCompile(`\d{4}-\d\d-\d\dT[\d:.]+Z`)
	uuidText       = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
)

// run runs one command line and returns what it wrote. $PLATFORM, $DAEMON, $DIR
// and $DIGEST (the one proposed last) stand for their values.
func (s *session) run(line string) string {
	daemon := strings.TrimPrefix(s.server.URL, "http://")
	expand := strings.NewReplacer("$PLATFORM", s.platform.URL, "$DAEMON", daemon, "$DIR", s.dir, "$DIGEST", s.digest)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.daemon.begin(cancel)
	var stdout, stderr bytes.Buffer
	exit := Run(ctx, strings.Fields(expand.Replace(line)), &stdout, &stderr)
	if found := proposedDigest.FindStringSubmatch(stdout.String()); found != nil {
		s.digest = found[1]
	}
	hide := strings.NewReplacer(s.platform.URL, "$PLATFORM", daemon, "$DAEMON", s.dir, "$DIR")
	text := hide.Replace(stderr.String() + stdout.String())
	text = timestamp.ReplaceAllString(text, "<time>")
	text = uuidText.ReplaceAllString(text, "<uuid>")
	return fmt.Sprintf("%sexit %d\n", text, exit)
}

// scriptedDaemon answers each question with the next line of its script, a
// status, and stays at the last one. At the line "down" it fails; at "cancel"
// it cancels the command.
type scriptedDaemon struct {
	mu     sync.Mutex
	script []string
	cancel context.CancelFunc
}

func (s *scriptedDaemon) load(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = strings.Split(text, "\n")
}

func (s *scriptedDaemon) begin(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
}

// Status implements peerv1connect.OperatorServiceHandler.
func (s *scriptedDaemon) Status(context.Context, *connect.Request[peerv1.StatusRequest]) (*connect.Response[peerv1.StatusResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("not ready"))
	}
	next := s.script[0]
	if len(s.script) > 1 {
		s.script = s.script[1:]
	}
	switch next {
	case "down":
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("down"))
	case "cancel":
		s.cancel()
		return nil, connect.NewError(connect.CodeCanceled, errors.New("script ends"))
	}
	status := &peerv1.StatusResponse{}
	if err := protojson.Unmarshal([]byte(next), status); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(status), nil
}
