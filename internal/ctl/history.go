package ctl

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"godwitmount/internal/publish"
)

const historyHelp = `
Lists the newest accepted versions, oldest first, with who accepted them, when
and why.`

type historyCommand struct {
	platformOptions
	Limit int `long:"limit" value-name:"COUNT" default:"20" description:"How many versions to list."`
}

// history is a part of the list of accepted versions.
type history struct {
	Accepted configID             `json:"accepted"`
	Versions []publish.HistoryRow `json:"versions"`
}

func (c *historyCommand) run(ctx context.Context, _ io.Writer) (output, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	store := openPlatform(c.Platform)
	head, err := publish.ReadHead(ctx, store)
	if err != nil {
		return nil, platformFailure(err)
	}
	limit := uint64(max(c.Limit, 1))
	after := head.ID.Version - min(limit, head.ID.Version)
	rows, err := publish.History(ctx, store, after, int(limit))
	if err != nil {
		return nil, platformFailure(err)
	}
	return &history{Accepted: configOf(head.ID), Versions: rows}, nil
}

func (h *history) writeText(w io.Writer) {
	if len(h.Versions) == 0 {
		fmt.Fprintln(w, "no version was accepted yet")
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VERSION\tDIGEST\tACCEPTED\tBY\tREPLACED\tNOTE")
	for _, row := range h.Versions {
		fmt.Fprintf(table, "%d\t%.12s\t%s\t%s\t%d\t%s\n", row.Version, row.Digest, row.Accepted.Format(time.RFC3339), row.Operator, row.BaseVersion, row.Note)
	}
	table.Flush()
}
