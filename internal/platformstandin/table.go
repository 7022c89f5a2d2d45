// Package platformstandin takes the platform's place in tests and in the quick
// start: a transactional table with an object store in memory, with rate
// ceilings, counters and faults on request, served over HTTP.
package platformstandin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"godwitmount/internal/platform"
)

// undoLimit is how many transactions can be looked back on.
const undoLimit = 1024

// row is a stored row with its expiry; a zero expiry means none.
type row struct {
	platform.Row
	expires time.Time
}

// undo restores the rows of one transaction; nil means the row was absent.
type undo struct {
	before map[string]*row
}

// table is the data without faults. Its user locks it.
type table struct {
	rows     map[string]*row
	objects  map[string][]byte
	revision uint64
	history  []undo
}

func newTable() *table {
	return &table{rows: map[string]*row{}, objects: map[string][]byte{}}
}

// transact applies tx whole or returns an error and changes nothing.
func (t *table) transact(tx platform.Transaction, now time.Time) (platform.Result, error) {
	if err := checkTransaction(tx); err != nil {
		return platform.Result{}, err
	}
	for _, pre := range tx.Preconditions {
		if err := t.check(pre, now); err != nil {
			return platform.Result{}, err
		}
	}
	t.revision++
	result := platform.Result{Revision: t.revision}
	before := map[string]*row{}
	for _, write := range tx.Writes {
		current := t.live(write.Key, now)
		if write.IfAbsent && current != nil {
			result.Existing = append(result.Existing, current.Row)
			continue
		}
		if _, seen := before[write.Key]; !seen {
			before[write.Key] = t.rows[write.Key]
		}
		t.write(write, now)
	}
	t.remember(undo{before: before})
	return result, nil
}

func checkTransaction(tx platform.Transaction) error {
	if len(tx.Writes) > platform.MaxWrites {
		return fmt.Errorf("%w: %d writes, at most %d", platform.ErrInvalid, len(tx.Writes), platform.MaxWrites)
	}
	for _, write := range tx.Writes {
		if write.Key == "" {
			return fmt.Errorf("%w: write without a key", platform.ErrInvalid)
		}
	}
	return nil
}

func (t *table) check(pre platform.Precondition, now time.Time) error {
	current := t.live(pre.Key, now)
	if current == nil {
		if pre.Absent {
			return nil
		}
		return &platform.ConflictError{Key: pre.Key}
	}
	if pre.Absent || current.Revision != pre.Revision {
		return &platform.ConflictError{Key: pre.Key, Current: current.Row}
	}
	return nil
}

func (t *table) write(write platform.Write, now time.Time) {
	if write.Delete {
		delete(t.rows, write.Key)
		return
	}
	stored := &row{Row: platform.Row{
		Key:      write.Key,
		Value:    slices.Clone(write.Value),
		Revision: t.revision,
	}}
	if write.TTLSeconds > 0 {
		stored.expires = now.Add(time.Duration(write.TTLSeconds) * time.Second)
	}
	t.rows[write.Key] = stored
}

func (t *table) remember(u undo) {
	t.history = append(t.history, u)
	if len(t.history) > undoLimit {
		t.history = slices.Delete(t.history, 0, len(t.history)-undoLimit)
	}
}

func (t *table) live(key string, now time.Time) *row {
	stored := t.rows[key]
	if stored == nil || stored.expired(now) {
		return nil
	}
	return stored
}

func (r *row) expired(now time.Time) bool {
	return !r.expires.IsZero() && !now.Before(r.expires)
}

// scan returns up to limit live rows with the prefix, after the key after.
func (t *table) scan(prefix, after string, limit int, now time.Time) []platform.Row {
	var keys []string
	for key, stored := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after && !stored.expired(now) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	found := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		found = append(found, t.rows[key].Row)
	}
	return found
}

// back returns the table as it was the given number of transactions ago.
// Objects are never changed, so both share them.
func (t *table) back(transactions int) *table {
	transactions = min(transactions, len(t.history))
	old := &table{rows: maps.Clone(t.rows), objects: t.objects, revision: t.revision - uint64(transactions)}
	kept := len(t.history) - transactions
	for i := len(t.history) - 1; i >= kept; i-- {
		for key, before := range t.history[i].before {
			old.restore(key, before)
		}
	}
	old.history = slices.Clone(t.history[:kept])
	return old
}

func (t *table) restore(key string, before *row) {
	if before == nil {
		delete(t.rows, key)
		return
	}
	t.rows[key] = before
}

// sweep forgets rows that have expired.
func (t *table) sweep(now time.Time) {
	for key, stored := range t.rows {
		if stored.expired(now) {
			delete(t.rows, key)
		}
	}
}
