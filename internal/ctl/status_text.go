package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

func (s *status) writeText(w io.Writer) {
	fmt.Fprintf(w, "daemon     %s at %s, %s\n", s.Instance, s.Daemon, s.DaemonVersion)
	fmt.Fprintf(w, "in force   %s\n", s.Applied)
	if s.Accepted != nil {
		fmt.Fprintf(w, "accepted   %s\n", s.Accepted)
	}
	fmt.Fprintf(w, "platform   %s\n", reachability(s.PlatformReachable))
	fmt.Fprintf(w, "instances  %d alive, %d suspect, %d dead, %d left\n", s.Instances.Alive, s.Instances.Suspect, s.Instances.Dead, s.Instances.Left)
	if s.Refused != nil {
		fmt.Fprintf(w, "refused    %s\n", s.Refused)
	}
	writeDataCentres(w, s.DataCentres)
	writeServices(w, s.Services)
}

// String returns the accepted version, or why it is not known.
func (a *acceptedStatus) String() string {
	if a.Error != "" {
		return a.Error
	}
	return a.configID.String()
}

func reachability(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return "not reachable"
}

func writeDataCentres(w io.Writer, all []dataCentreStatus) {
	if len(all) == 0 {
		fmt.Fprintln(w, "no data centre has reported yet")
		return
	}
	fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DATA CENTRE\tDAEMONS\tVERSIONS IN FORCE\tOLDEST REPORT\tBEHIND")
	for _, dc := range all {
		age := time.Duration(dc.OldestReportMs) * time.Millisecond
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\n", dc.Name, dc.Daemons, versionsText(dc.Versions), age, behindText(dc.Behind))
	}
	table.Flush()
	for _, dc := range all {
		for _, r := range dc.Refusals {
			fmt.Fprintf(w, "%s: %s refuses %s\n", dc.Name, r.Instance, r.refusal)
		}
	}
}

func versionsText(versions []versionCount) string {
	if len(versions) == 0 {
		return "none"
	}
	texts := make([]string, len(versions))
	for i, v := range versions {
		texts[i] = fmt.Sprintf("%s on %d", v.configID, v.Daemons)
	}
	return strings.Join(texts, ", ")
}

func behindText(behind []string) string {
	if len(behind) == 0 {
		return "-"
	}
	return strings.Join(behind, " ")
}

// String returns the version and why it is refused.
func (r refusal) String() string {
	text := fmt.Sprintf("%s: %d %s", r.configID, r.Code, r.Name)
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	return text
}

func writeServices(w io.Writer, services []serviceStatus) {
	if len(services) == 0 {
		return
	}
	fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tDATA CENTRE\tREADY\tSLOTS\tSTARTING\tDRAINING")
	for _, s := range services {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\n", s.Service, s.DataCentre, s.Ready, s.Slots, s.Starting, s.Draining)
	}
	table.Flush()
}
