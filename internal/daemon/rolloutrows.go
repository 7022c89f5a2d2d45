package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"godwitmount/internal/event"
	"godwitmount/internal/rollout"
	"godwitmount/internal/store"
)

// readRows reads the rows about rollouts and posts them.
func (r *rolloutControl) readRows() {
	ctx, cancel := context.WithTimeout(r.daemon.background, writeTimeout)
	defer cancel()
	ev, err := r.rows(ctx)
	if err != nil {
		r.daemon.log.Event(event.StoreCallFailed, zap.String("table", RolloutsTable), zap.Error(err))
	}
	ev.Err = err
	r.loop.post(ev)
}

func (r *rolloutControl) rows(ctx context.Context) (rollout.RowsRead, error) {
	p := r.daemon.cfg.Platform
	ev := rollout.RowsRead{Statuses: map[string]rollout.StatusRow{}, Phases: map[string]rollout.PhaseRow{}}
	statuses, err := p.Store.Read(ctx, p.Rollouts.StatusTable)
	if err != nil {
		return ev, err
	}
	for _, row := range statuses.Rows {
		ev.Statuses[p.Rollouts.ServiceOf(row.Key)] = rollout.StatusRow{Version: row.Position.Version}
	}
	phases, err := p.Store.Read(ctx, RolloutsTable)
	if err != nil {
		return ev, err
	}
	for _, row := range phases.Rows {
		ev.Phases[row.Key] = phaseRow(row)
	}
	return ev, nil
}

// phaseRow decodes a row of RolloutsTable. The content of a malformed one is left out.
func phaseRow(row store.Row) rollout.PhaseRow {
	decoded := rollout.PhaseRow{Version: row.Position.Version}
	if row.Removed {
		return rollout.PhaseRow{}
	}
	err := row.Err
	if err == nil {
		err = json.Unmarshal(row.Value, &decoded.Saved)
	}
	if err != nil {
		decoded.Saved, decoded.Err = rollout.Saved{}, fmt.Errorf("decode phase: %w", err)
	}
	return decoded
}

// write performs a conditional write and posts its result.
func (r *rolloutControl) write(e rollout.Write) {
	ctx, cancel := context.WithTimeout(r.daemon.background, writeTimeout)
	defer cancel()
	p := r.daemon.cfg.Platform
	phase, _ := rollout.ParsePhase(e.Saved.Phase)
	done := rollout.WriteDone{Service: e.Request.Service, Position: e.Request.Position, Phase: phase}
	saved, err := json.Marshal(e.Saved)
	if err != nil {
		// Marshalling a struct of strings and numbers cannot fail.
		panic(fmt.Sprintf("daemon: encode phase: %v", err))
	}
	position, rows, err := p.Store.PutIf(ctx, []store.Write{
		{Table: p.ConfigTable, Key: p.Rollouts.RequestKey(e.Request.Service), Expect: e.Request.Position.Version, CheckOnly: true},
		{Table: p.Rollouts.StatusTable, Key: p.Rollouts.StatusKey(e.Request.Service), Expect: e.StatusVersion, Value: p.Rollouts.Status(phase, e.Request.To)},
		{Table: RolloutsTable, Key: e.Request.Service, Expect: e.PhaseVersion, Value: saved},
	})
	done.Version, done.Err = position.Version, err
	if errors.Is(err, store.ErrConflict) {
		done.Current = r.current(e.Request.Service, rows)
	}
	r.loop.post(done)
}

// current sorts the rows that the store names with a conflict.
func (r *rolloutControl) current(service string, rows []store.TableRow) rollout.Current {
	p := r.daemon.cfg.Platform
	var current rollout.Current
	for _, row := range rows {
		version := row.Position.Version
		if row.Removed {
			version = 0
		}
		switch {
		case row.Table == p.ConfigTable && row.Key == p.Rollouts.RequestKey(service):
			current.Request = &version
		case row.Table == p.Rollouts.StatusTable && row.Key == p.Rollouts.StatusKey(service):
			current.Status = &rollout.StatusRow{Version: version}
		case row.Table == RolloutsTable && row.Key == service:
			phase := phaseRow(row.Row)
			current.Phase = &phase
		}
	}
	return current
}
