package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
)

// waitInterval is the pause between two questions while waiting.
const waitInterval = 200 * time.Millisecond

// waiter follows a version until it is in force everywhere.
type waiter struct {
	daemons []string
	mesh    string
	// dataCentres are those of the manifest; each must report.
	dataCentres []string
	target      manifest.ID
	progress    io.Writer
	// last is the progress line written last.
	last string
}

// waitResult is how far a version got.
type waitResult struct {
	InForce bool `json:"in_force"`
	// Code says why the version is not in force everywhere.
	Code        code.Code            `json:"code,omitempty"`
	Name        string               `json:"name,omitempty"`
	DataCentres []dataCentreProgress `json:"data_centres"`
	Refusals    []instanceError      `json:"refusals,omitempty"`
	// DaemonError is set when no daemon answered the last question.
	DaemonError string `json:"daemon_error,omitempty"`
	exit        ExitCode
}

// dataCentreProgress counts the daemons that hold the version or a later one.
type dataCentreProgress struct {
	Name    string `json:"name"`
	InForce uint32 `json:"in_force"`
	Daemons uint32 `json:"daemons"`
	// Reported tells whether the data centre has reported at all.
	Reported bool `json:"reported"`
}

func (p dataCentreProgress) done() bool {
	return p.Reported && p.Daemons > 0 && p.InForce >= p.Daemons
}

// String returns "name in force/daemons".
func (p dataCentreProgress) String() string {
	if !p.Reported {
		return p.Name + " no report"
	}
	return fmt.Sprintf("%s %d/%d", p.Name, p.InForce, p.Daemons)
}

// wait asks until the version is in force everywhere, a daemon refuses it or
// ctx ends.
func (w *waiter) wait(ctx context.Context) *waitResult {
	result := &waitResult{}
	for {
		w.look(ctx, result)
		if result.InForce || result.exit == ExitRefused {
			return result
		}
		select {
		case <-ctx.Done():
			result.fail(ExitNotInForce, code.PublishNotInForce)
			return result
		case <-time.After(waitInterval):
		}
	}
}

// look asks once and brings the result up to date. What was last known stays
// when no daemon answers.
func (w *waiter) look(ctx context.Context, result *waitResult) {
	answer, err := askDaemons(ctx, w.daemons, w.mesh)
	if err != nil {
		if ctx.Err() == nil {
			result.DaemonError = err.Error()
			w.say(err.Error())
		}
		return
	}
	result.DaemonError = ""
	all := dataCentresOf(answer.status.GetReports())
	result.DataCentres = w.progressOf(all)
	result.Refusals = w.refusalsOf(all)
	w.say(progressText(w.target.Version, result.DataCentres))
	switch {
	case len(result.Refusals) > 0:
		result.fail(ExitRefused, code.PublishRefused)
	case everyDone(result.DataCentres):
		result.InForce = true
	}
}

func (r *waitResult) fail(exit ExitCode, c code.Code) {
	r.exit = exit
	r.Code = c
	r.Name = c.String()
}

// progressOf returns the data centres of the manifest and any other that
// reports, by name.
func (w *waiter) progressOf(all []dataCentreStatus) []dataCentreProgress {
	var progress []dataCentreProgress
	for _, dc := range all {
		p := dataCentreProgress{Name: dc.Name, Daemons: dc.Daemons, Reported: true}
		for _, v := range dc.Versions {
			if w.holds(v.configID) {
				p.InForce += v.Daemons
			}
		}
		progress = append(progress, p)
	}
	for _, name := range w.dataCentres {
		known := func(p dataCentreProgress) bool { return p.Name == name }
		if !slices.ContainsFunc(progress, known) {
			progress = append(progress, dataCentreProgress{Name: name})
		}
	}
	slices.SortFunc(progress, func(a, b dataCentreProgress) int { return strings.Compare(a.Name, b.Name) })
	return progress
}

// holds reports whether a daemon with this configuration has the one waited
// for, or has moved on to a later one.
func (w *waiter) holds(id configID) bool {
	return id == configOf(w.target) || id.Version > w.target.Version
}

// refusalsOf returns who refuses the version waited for.
func (w *waiter) refusalsOf(all []dataCentreStatus) []instanceError {
	var refusals []instanceError
	for _, dc := range all {
		for _, r := range dc.Refusals {
			if r.Version == w.target.Version {
				refusals = append(refusals, r)
			}
		}
	}
	return refusals
}

func everyDone(progress []dataCentreProgress) bool {
	return !slices.ContainsFunc(progress, func(p dataCentreProgress) bool { return !p.done() })
}

func progressText(version uint64, progress []dataCentreProgress) string {
	texts := make([]string, len(progress))
	for i, p := range progress {
		texts[i] = p.String()
	}
	return fmt.Sprintf("version %d in force: %s", version, strings.Join(texts, ", "))
}

// say writes a progress line, unless it is the one written last.
func (w *waiter) say(line string) {
	if line != w.last {
		fmt.Fprintln(w.progress, line)
		w.last = line
	}
}

func (r *waitResult) writeText(w io.Writer) {
	if r.InForce {
		fmt.Fprintln(w, "in force on every instance")
		return
	}
	fmt.Fprintf(w, "not in force everywhere: %d %s\n", r.Code, r.Name)
	for _, dc := range r.DataCentres {
		fmt.Fprintf(w, "    %s\n", dc)
	}
	for _, refused := range r.Refusals {
		fmt.Fprintf(w, "    %s refuses %s\n", refused.Instance, refused.refusal)
	}
	if r.DaemonError != "" {
		fmt.Fprintf(w, "    %s\n", r.DaemonError)
	}
}
