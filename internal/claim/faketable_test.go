package claim

import "godwitmount/internal/platform"

// fakeTable is the platform's table.
type fakeTable struct {
	rows     map[string]platform.Row
	revision uint64
	down     bool
	away     map[string]bool
}

func (f *fakeTable) read(from, key string) (platform.Row, error) {
	if f.down || f.away[from] {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := f.rows[key]
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) transact(from string, tx platform.Transaction) (platform.Result, error) {
	if f.down || f.away[from] {
		return platform.Result{}, platform.ErrUnavailable
	}
	for _, p := range tx.Preconditions {
		row, found := f.rows[p.Key]
		if p.Absent && found || !p.Absent && row.Revision != p.Revision {
			return platform.Result{}, &platform.ConflictError{Key: p.Key, Current: row}
		}
	}
	f.revision++
	result := platform.Result{Revision: f.revision}
	for _, write := range tx.Writes {
		row, found := f.rows[write.Key]
		switch {
		case write.Delete:
			delete(f.rows, write.Key)
		case write.IfAbsent && found:
			result.Existing = append(result.Existing, row)
		default:
			f.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: f.revision}
		}
	}
	return result, nil
}
