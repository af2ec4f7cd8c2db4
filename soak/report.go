package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report sums up the runs of a soak.
type Report struct {
	mu       sync.Mutex
	runs     int
	requests map[string]int // by outcome
	ends     map[string]int // of lives
	signals  map[Phase]map[syscall.Signal]int
	changes  map[Verdict]int
	peaks    map[string]Peak
	latency  *hdrhistogram.Histogram
	findings []string
}

// NewReport makes an empty report.
func NewReport() *Report {
	const longest, digits = 60_000, 3
	return &Report{requests: map[string]int{}, ends: map[string]int{}, signals: map[Phase]map[syscall.Signal]int{}, changes: map[Verdict]int{}, peaks: map[string]Peak{},
		latency: hdrhistogram.New(1, longest, digits)}
}

// Add takes a run's result.
func (r *Report) Add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	for _, a := range result.Ledger.attempts {
		r.requests[a.outcome()]++
		if a.IsServed() && !a.Work.Kind.IsStream() {
			_ = r.latency.RecordValue(max(1, (a.Ended.Sub(a.Sent) - a.Work.Gap).Milliseconds())) // longer ones than the longest are findings
		}
	}
	for _, p := range result.Lives {
		r.ends[p.Exit()]++
		for _, s := range p.Signals() {
			if r.signals[s.Phase] == nil {
				r.signals[s.Phase] = map[syscall.Signal]int{}
			}
			r.signals[s.Phase][s.Signal]++
		}
	}
	for _, c := range result.Ledger.changes {
		r.changes[c.Verdict]++
	}
	for role, peak := range result.Peaks {
		r.peaks[role] = Peak{max(r.peaks[role].MemoryMB, peak.MemoryMB), max(r.peaks[role].Descriptors, peak.Descriptors)}
	}
	for _, finding := range result.Findings {
		r.findings = append(r.findings, fmt.Sprintf("seed %d: %s", result.Plan.Seed, finding))
	}
}

// outcome names how a request ended.
func (a *Attempt) outcome() string {
	switch {
	case a.CanceledByClient:
		return "canceled"
	case a.IsServed():
		return "served"
	case a.Status == 0 && a.Sent.IsZero():
		return "not sent whole"
	case a.Status == 0:
		return "no answer"
	case !a.Complete:
		return "cut"
	}
	return fmt.Sprintf("status %d", a.Status)
}

// Write writes the tables that a person reads at a glance.
func (r *Report) Write(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "seeds\t%d\n", r.runs)
	fmt.Fprintf(table, "requests\t%s\n", counted(r.requests))
	fmt.Fprintf(table, "ends of processes\t%s\n", counted(r.ends))
	fmt.Fprintf(table, "changes\taccepted %d, rejected %d, unclear %d\n", r.changes[Accepted], r.changes[Rejected], r.changes[Unclear])
	for phase := range phaseCount {
		if len(r.signals[phase]) > 0 {
			byName := map[string]int{}
			for s, n := range r.signals[phase] {
				byName[s.String()] = n
			}
			fmt.Fprintf(table, "signals, %v\t%s\n", phase, counted(byName))
		}
	}
	for _, role := range slices.Sorted(maps.Keys(r.peaks)) {
		fmt.Fprintf(table, "%s at rest\t%d MiB at its peak, %d descriptors at most\n", role, r.peaks[role].MemoryMB, r.peaks[role].Descriptors)
	}
	quantile := func(q float64) time.Duration {
		return time.Duration(r.latency.ValueAtQuantile(q)) * time.Millisecond
	}
	fmt.Fprintf(table, "time of an answer beside its work\tp50 %v, p99 %v\n", quantile(50), quantile(99))
	fmt.Fprintf(table, "findings\t%d\n", len(r.findings))
	_ = table.Flush() // the writer's errors are its owner's
	for _, finding := range r.findings {
		_, _ = fmt.Fprintln(out, "  "+finding) // as above
	}
}

// counted writes counts by name, the largest first.
func counted(all map[string]int) string {
	names := slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		if all[a] != all[b] {
			return all[b] - all[a]
		}
		return strings.Compare(a, b)
	})
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, all[name]))
	}
	return strings.Join(parts, ", ")
}
