package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"godwitmount/internal/event"
	"godwitmount/test/harness"
)

// scrape is what one daemon's metrics tell, or the sum over some daemons.
type scrape struct {
	// linkBytes counts each byte between daemons once: connections at the side
	// that opened them, datagrams at their sender. remoteBytes is the part that
	// went between data centres.
	linkBytes, remoteBytes float64
	cpuSeconds             float64
	resident, heap         float64
	upstreams, version     float64
}

func scrapeOf(instance *harness.Instance) (scrape, error) {
	resp, err := http.Get("http://" + instance.Local + "/metrics")
	if err != nil {
		return scrape{}, fmt.Errorf("scrape: %w", err)
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return scrape{}, fmt.Errorf("scrape %s: %w", instance.Instance, err)
	}
	s := scrape{
		cpuSeconds: valueOf(families["process_cpu_seconds_total"]),
		resident:   valueOf(families["process_resident_memory_bytes"]),
		heap:       valueOf(families["go_memstats_heap_alloc_bytes"]),
		upstreams:  valueOf(families["godwitmount_upstreams"]),
		version:    valueOf(families["godwitmount_config_version"]),
	}
	s.addBytes(families["godwitmount_control_sent_bytes_total"], instance.DataCentre, true)
	s.addBytes(families["godwitmount_control_received_bytes_total"], instance.DataCentre, false)
	return s, nil
}

func valueOf(family *dto.MetricFamily) float64 {
	sum := 0.0
	for _, m := range family.GetMetric() {
		sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
	}
	return sum
}

// addBytes leaves out received datagrams, which their sender has counted.
func (s *scrape) addBytes(family *dto.MetricFamily, own string, sent bool) {
	for _, m := range family.GetMetric() {
		labels := map[string]string{}
		for _, pair := range m.GetLabel() {
			labels[pair.GetName()] = pair.GetValue()
		}
		if labels["transport"] == "udp" && !sent {
			continue
		}
		s.linkBytes += m.GetCounter().GetValue()
		if place := labels["data_centre"]; place != own && place != "unknown" {
			s.remoteBytes += m.GetCounter().GetValue()
		}
	}
}

// scrapeAll sums the metrics of all daemons.
func (f *fleet) scrapeAll() (scrape, error) {
	all := make([]scrape, len(f.mesh.Instances))
	err := each(f.mesh.Instances, func(n int, instance *harness.Instance) (err error) {
		all[n], err = scrapeOf(instance)
		return err
	})
	var sum scrape
	for _, s := range all {
		sum.linkBytes += s.linkBytes
		sum.remoteBytes += s.remoteBytes
		sum.cpuSeconds += s.cpuSeconds
		sum.resident += s.resident
		sum.heap += s.heap
	}
	return sum, err
}

// logLine is a line of a daemon's log, as far as it is used here.
type logLine struct {
	Time     float64 `json:"ts"`
	Message  string  `json:"msg"`
	Version  string  `json:"version"`
	Instance string  `json:"instance"`
}

func (l logLine) at() time.Time { return time.UnixMicro(int64(l.Time * 1e6)) }

// logged returns the lines of one event in the order of the log.
func logged(instance *harness.Instance, wanted event.Number) ([]logLine, error) {
	file, err := os.Open(instance.Daemon.LogFile)
	if err != nil {
		return nil, fmt.Errorf("daemon log: %w", err)
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Message == wanted.String() {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// inForceAt returns when an instance put a version in force.
func inForceAt(instance *harness.Instance, version uint64) (time.Time, error) {
	lines, err := logged(instance, event.ConfigApplied)
	if err != nil {
		return time.Time{}, err
	}
	for _, line := range lines {
		if strings.HasPrefix(line.Version, fmt.Sprintf("%d/", version)) {
			return line.at(), nil
		}
	}
	return time.Time{}, fmt.Errorf("%s never logged version %d in force", instance.Instance, version)
}
