package daemon

import (
	"context"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"godwitmount/internal/settings"
)

// described finds name, help and labels in the text of a prometheus.Desc.
var described = regexp.MustCompile(`^Desc\{fqName: "([^"]*)", help: "([^"]*)", .*variableLabels: \{([^}]*)\}\}$`)

// TestMetricsPageAgreesWithTheRegistry compares docs/METRICS.md with what a
// running daemon registers.
func TestMetricsPageAgreesWithTheRegistry(t *testing.T) {
	s := &settings.Daemon{}
	s.SetDefaults()
	s.Mesh, s.DataCentre = "test", "kendal-a"
	s.CallerListen, s.PeerListen, s.LocalListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	d, err := Start(Config{Settings: s, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	defer stop(t, d)
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	registered := registeredRows(t, d.metrics.registry)
	documented := documentedRows(string(page))
	for _, row := range registered {
		if !slices.Contains(documented, row) {
			t.Errorf("docs/METRICS.md lacks: %s", row)
		}
	}
	for _, row := range documented {
		if !slices.Contains(registered, row) {
			t.Errorf("docs/METRICS.md has, and no daemon registers: %s", row)
		}
	}
}

func stop(t *testing.T, d *Daemon) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		t.Error(err)
	}
}

// registeredRows returns the daemon's own metrics as rows of the page.
func registeredRows(t *testing.T, registry *prometheus.Registry) []string {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	var rows []string
	for description := range descriptions {
		found := described.FindStringSubmatch(description.String())
		if found == nil {
			t.Fatalf("cannot read %s", description)
		}
		if strings.HasPrefix(found[1], "godwitmount_") {
			rows = append(rows, "`"+found[1]+"` | "+found[3]+" | "+found[2])
		}
	}
	slices.Sort(rows)
	return rows
}

// documentedRows returns name, labels and meaning of the page's rows.
func documentedRows(page string) []string {
	var rows []string
	for line := range strings.Lines(page) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 5 || !strings.HasPrefix(strings.TrimSpace(cells[0]), "`godwitmount_") {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		rows = append(rows, cells[0]+" | "+cells[3]+" | "+cells[4])
	}
	return rows
}
