package ctl

import (
	"context"
	"encoding/hex"
	"io"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/platform"
	"godwitmount/internal/publish"
)

const statusHelp = `
Asks a daemon which versions are in force in each data centre, which instances
are behind or refuse a version, and which upstreams take requests. With several
--daemon the first that answers is taken. With --platform the accepted version
is shown as well.`

type statusCommand struct {
	daemonOptions
	Mesh     string `long:"mesh" value-name:"NAME" description:"Refuse a daemon of another mesh."`
	Platform string `long:"platform" value-name:"URL" env:"GODWITMOUNT_PLATFORM" description:"Base URL of the platform, to show the accepted version."`
}

// status is what one daemon knows of the mesh.
type status struct {
	// Daemon is the address that was asked.
	Daemon            string             `json:"daemon"`
	Instance          string             `json:"instance"`
	DaemonVersion     string             `json:"daemon_version"`
	Applied           configID           `json:"applied"`
	Accepted          *acceptedStatus    `json:"accepted,omitempty"`
	PlatformReachable bool               `json:"platform_reachable"`
	Refused           *refusal           `json:"refused,omitempty"`
	DataCentres       []dataCentreStatus `json:"data_centres"`
	Services          []serviceStatus    `json:"services"`
	Instances         instanceCounts     `json:"instances"`
}

// acceptedStatus is what the platform holds as accepted.
type acceptedStatus struct {
	configID
	// Error is set, and the version is 0, when the platform could not be read.
	Error string `json:"error,omitempty"`
}

// dataCentreStatus is a data centre's last report.
type dataCentreStatus struct {
	Name string `json:"name"`
	// Daemons is how many daemons the data centre has.
	Daemons  uint32          `json:"daemons"`
	Versions []versionCount  `json:"versions"`
	Behind   []string        `json:"behind,omitempty"`
	Refusals []instanceError `json:"refusals,omitempty"`
	// OldestReportMs is the age of the oldest daemon's report in milliseconds.
	OldestReportMs int64 `json:"oldest_report_ms"`
	// WrittenUnixMs is when the report was made, in Unix milliseconds.
	WrittenUnixMs int64 `json:"written_unix_ms"`
}

type versionCount struct {
	configID
	Daemons uint32 `json:"daemons"`
}

// refusal is a version that was not applied, and why.
type refusal struct {
	configID
	Code   code.Code `json:"code"`
	Name   string    `json:"name"`
	Detail string    `json:"detail,omitempty"`
}

type instanceError struct {
	Instance string `json:"instance"`
	refusal
}

func (c *statusCommand) run(ctx context.Context, _ io.Writer) (output, error) {
	if len(c.Daemons) == 0 {
		return nil, failed(ExitUsage, code.OK, "status needs --daemon")
	}
	answer, err := askDaemons(ctx, c.Daemons, c.Mesh)
	if err != nil {
		return nil, err
	}
	s := statusOf(answer)
	if c.Platform != "" {
		s.Accepted = readAcceptedStatus(ctx, openPlatform(c.Platform))
	}
	return s, nil
}

// readAcceptedStatus never fails: the daemons' status is worth showing while
// the platform is away.
func readAcceptedStatus(ctx context.Context, store platform.Store) *acceptedStatus {
	head, err := publish.ReadHead(ctx, store)
	if err != nil {
		return &acceptedStatus{Error: err.Error()}
	}
	return &acceptedStatus{configID: configOf(head.ID)}
}

func statusOf(answer daemonStatus) *status {
	s := &status{
		Daemon:            answer.address,
		Instance:          answer.status.GetInstance(),
		DaemonVersion:     answer.status.GetDaemonVersion(),
		Applied:           peerConfig(answer.status.GetApplied()),
		PlatformReachable: answer.status.GetPlatformReachable(),
		DataCentres:       dataCentresOf(answer.status.GetReports()),
		Services:          servicesOf(answer.status.GetMembers()),
		Instances:         countInstances(answer.status.GetMembers()),
	}
	if refused := answer.status.GetRefused(); refused != nil {
		r := refusalOf(refused)
		s.Refused = &r
	}
	return s
}

func dataCentresOf(reports []*peerv1.DataCentreReport) []dataCentreStatus {
	all := make([]dataCentreStatus, len(reports))
	for i, report := range reports {
		all[i] = dataCentreOf(report)
	}
	return all
}

func dataCentreOf(report *peerv1.DataCentreReport) dataCentreStatus {
	s := dataCentreStatus{
		Name:           report.GetDataCentre(),
		Daemons:        report.GetDaemons(),
		Behind:         report.GetBehind(),
		OldestReportMs: report.GetOldestReportMs(),
		WrittenUnixMs:  report.GetWritten(),
	}
	for _, v := range report.GetVersions() {
		s.Versions = append(s.Versions, versionCount{peerConfig(v.GetId()), v.GetDaemons()})
	}
	for _, r := range report.GetRefusals() {
		s.Refusals = append(s.Refusals, instanceError{r.GetInstance(), refusalOf(r.GetRefusal())})
	}
	return s
}

func peerConfig(id *peerv1.ConfigID) configID {
	return configID{Version: id.GetVersion(), Digest: hex.EncodeToString(id.GetDigest())}
}

func refusalOf(r *peerv1.Refusal) refusal {
	c := code.Code(r.GetCode())
	return refusal{configID: peerConfig(r.GetId()), Code: c, Name: c.String(), Detail: r.GetDetail()}
}
