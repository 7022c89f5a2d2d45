package platformstandin

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"godwitmount/internal/platform"
	"godwitmount/internal/steptest"
)

// TestStore runs transcripts against a store whose clock stands still but for
// the "after" command.
func TestStore(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		now := time.Unix(0, 0)
		store := NewStore(Config{Now: func() time.Time { return now }})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "after" {
				pause, err := time.ParseDuration(d.CmdArgs[0].Key)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				now = now.Add(pause)
				return "ok"
			}
			return runCommand(t, store, d)
		})
	})
}

func runCommand(t *testing.T, store *Store, d *datadriven.TestData) string {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	switch d.Cmd {
	case "transact":
		result, err := store.Transact(ctx, transaction(t, d))
		return render(fmt.Sprintf("revision %d, existing %s", result.Revision, rows(result.Existing)), err)
	case "read":
		row, err := store.Read(ctx, d.CmdArgs[0].Key)
		return render(rows([]platform.Row{row}), err)
	case "scan":
		found, err := store.Scan(ctx, strings.TrimPrefix(d.CmdArgs[0].Key, "all"), steptest.Text(t, d, "after"), steptest.Number[int](t, d, "limit"))
		return render(rows(found), err)
	case "put":
		return render("stored", store.PutObject(ctx, d.CmdArgs[0].Key, []byte(d.Input)))
	case "get":
		body, err := store.GetObject(ctx, d.CmdArgs[0].Key)
		return render(string(body), err)
	case "faults":
		f := Faults{
			Outage:         Outage(steptest.Text(t, d, "outage")),
			LoseAnswers:    steptest.Number[int](t, d, "lose"),
			LosePercent:    steptest.Number[int](t, d, "lose-percent"),
			StaleRevisions: steptest.Number[int](t, d, "stale"),
		}
		return render("set", store.SetFaults(f))
	case "restore":
		store.Restore(steptest.Number[int](t, d, "transactions"))
		return fmt.Sprintf("revision %d", store.Stats().Revision)
	case "stats":
		return fmt.Sprintf("%+v", store.Stats())
	}
	d.Fatalf(t, "unknown command %q", d.Cmd)
	return ""
}

// transaction reads lines: "if key absent", "if key revision", "key value",
// "key value ttl seconds", "key value if-absent", "delete key".
func transaction(t *testing.T, d *datadriven.TestData) platform.Transaction {
	var tx platform.Transaction
	for _, line := range strings.Split(d.Input, "\n") {
		word := strings.Fields(line)
		switch {
		case word[0] == "if":
			revision, _ := strconv.ParseUint(word[2], 10, 64)
			tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: word[1], Absent: word[2] == "absent", Revision: revision})
		case word[0] == "delete":
			tx.Writes = append(tx.Writes, platform.Write{Key: word[1], Delete: true})
		default:
			write := platform.Write{Key: word[0], Value: []byte(word[1])}
			write.IfAbsent = len(word) > 2 && word[2] == "if-absent"
			if len(word) > 3 {
				ttl, _ := strconv.Atoi(word[3])
				write.TTLSeconds = uint32(ttl)
			}
			tx.Writes = append(tx.Writes, write)
		}
	}
	return tx
}

func rows(list []platform.Row) string {
	parts := make([]string, len(list))
	for i, row := range list {
		parts[i] = fmt.Sprintf("%s=%s@%d", row.Key, row.Value, row.Revision)
	}
	return "[" + strings.Join(parts, " ") + "]"
}

func render(text string, err error) string {
	if err != nil {
		return "error: " + err.Error()
	}
	return text
}

func TestCeilingRefusesWhatIsOverIt(t *testing.T) {
	store := NewStore(Config{WritesPerSecond: 1, ReadsPerSecond: 1})
	refused := 0
	for range 10 * platform.MaxWrites {
		tx := platform.Transaction{Writes: []platform.Write{{Key: "a", Value: []byte("1")}}}
		if _, err := store.Transact(context.Background(), tx); errors.Is(err, platform.ErrUnavailable) {
			refused++
		}
	}
	if refused == 0 || uint64(refused) != store.Stats().Refused {
		t.Errorf("%d refused, counted %d", refused, store.Stats().Refused)
	}
}

func TestHangingRequestsGoOnAfterTheOutage(t *testing.T) {
	store := NewStore(Config{})
	if err := store.SetFaults(Faults{Outage: OutageHang}); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- store.PutObject(context.Background(), "a", nil) }()
	if err := store.SetFaults(Faults{}); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
