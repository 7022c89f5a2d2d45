package main

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"
)

// report is a table whose first column is the size; a line is fitted to each
// other column.
type report struct {
	title   string
	size    string
	columns []string
	rows    [][]float64
}

func (r *report) add(size int, values ...float64) {
	r.rows = append(r.rows, append([]float64{float64(size)}, values...))
}

// print writes the table and the fitted lines in Markdown.
func (r *report) print() {
	fmt.Printf("\n%s\n\n| %s | %s |\n|%s\n", r.title, r.size, strings.Join(r.columns, " | "), strings.Repeat("---|", len(r.columns)+1))
	for _, row := range r.rows {
		fmt.Printf("| %.0f |%s\n", row[0], cells(row[1:]))
	}
	if len(r.rows) < 2 {
		return
	}
	slopes, ends := []float64{}, []float64{}
	for column := range r.columns {
		intercept, slope := r.fit(column+1, linear)
		slopes = append(slopes, slope)
		ends = append(ends, intercept+slope*target)
	}
	fmt.Printf("| slope |%s\n| line at %d |%s\n", cells(slopes), target, cells(ends))
	var logarithmic []float64
	for column := range r.columns {
		intercept, slope := r.fit(column+1, math.Log2)
		logarithmic = append(logarithmic, intercept+slope*math.Log2(target))
	}
	fmt.Printf("| log2 fit at %d |%s\n", target, cells(logarithmic))
}

func cells(values []float64) string {
	var text strings.Builder
	for _, value := range values {
		fmt.Fprintf(&text, " %.4g |", value)
	}
	return text.String()
}

func linear(x float64) float64 { return x }

// fit returns the least-squares line of a column over the scaled size.
func (r *report) fit(column int, scale func(float64) float64) (intercept, slope float64) {
	var meanX, meanY float64
	n := float64(len(r.rows))
	for _, row := range r.rows {
		meanX += scale(row[0]) / n
		meanY += row[column] / n
	}
	var covariance, variance float64
	for _, row := range r.rows {
		dx := scale(row[0]) - meanX
		covariance += dx * (row[column] - meanY)
		variance += dx * dx
	}
	slope = covariance / variance
	return meanY - slope*meanX, slope
}

// quantile returns the value that the share p of all values does not exceed.
func quantile[T cmp.Ordered](values []T, p float64) T {
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(p*float64(len(sorted)))) - 1
	return sorted[max(rank, 0)]
}

// machineLoad prints how busy the machine is, and when.
func machineLoad(when string) {
	text, _ := os.ReadFile("/proc/loadavg")
	fmt.Printf("%s: %s UTC, load %s", when, time.Now().UTC().Format(time.TimeOnly), text)
}
