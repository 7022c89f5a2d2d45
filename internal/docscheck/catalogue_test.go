package docscheck

import (
	"fmt"
	"strconv"
	"testing"

	"godwitmount/internal/code"
	"godwitmount/internal/event"
)

func TestEventsPageMatchesCatalogue(t *testing.T) {
	var want [][]string
	for _, info := range event.All() {
		want = append(want, []string{fmt.Sprint(uint16(info.Number)), "`" + info.Name + "`", info.Text})
	}
	compareTables(t, "EVENTS.md", want)
}

func TestCodesPageMatchesTable(t *testing.T) {
	var want [][]string
	for _, info := range code.All() {
		want = append(want, codeRow(info))
	}
	compareTables(t, "CODES.md", want)
}

func codeRow(info code.Info) []string {
	outcome, status, retry := "", "", ""
	if info.Outcome != code.NoOutcome {
		outcome = "`" + string(info.Outcome) + "`"
	}
	if info.Status != 0 {
		status = strconv.Itoa(info.Status)
	}
	if info.RetryAfter {
		retry = "yes"
	}
	return []string{fmt.Sprint(uint32(info.Code)), "`" + info.Name + "`", info.Text, outcome, status, retry}
}

// compareTables checks that the table rows of a page whose first cell is a number
// are exactly the wanted ones, in order.
func compareTables(t *testing.T, file string, want [][]string) {
	t.Helper()
	var got [][]string
	for _, row := range tableRows(readPage(t, file)) {
		if _, err := strconv.Atoi(row[0]); err == nil {
			got = append(got, row)
		}
	}
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) || fmt.Sprint(got[i]) != fmt.Sprint(want[i]) {
			t.Fatalf("docs/%s, row %d: have %q, want %q", file, i+1, rowAt(got, i), rowAt(want, i))
		}
	}
}

// rowAt returns row i, or nil if there is none.
func rowAt(rows [][]string, i int) []string {
	if i < len(rows) {
		return rows[i]
	}
	return nil
}
