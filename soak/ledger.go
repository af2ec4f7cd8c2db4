package soak

import (
	"fmt"
	"sync"
	"time"
)

// ChangeKind is what a change of the configuration changes.
type ChangeKind int

// The kinds of changes. A refused one is invalid.
const (
	FirstChange ChangeKind = iota
	IdleChange
	RouteChange
	TenantChange
	LargeChange
	InvalidChange
	changeKinds
)

// String names the kind.
func (k ChangeKind) String() string {
	return [changeKinds]string{"first", "idle", "routes", "tenants", "large", "refused"}[k]
}

// Change is a change of the configuration. Numbers rise.
type Change struct {
	Number, BasedOn int
	Kind            ChangeKind
}

// Verdict is what a core answers to a change.
type Verdict int

// The verdicts. An unclear one may have been accepted or not.
const (
	Unclear Verdict = iota
	Accepted
	Rejected
)

// SubmittedChange is the record of a change.
type SubmittedChange struct {
	Change
	Verdict  Verdict
	Sent     time.Time // for the first time
	Answered time.Time
}

// ConfigRead is the record of a read of the configuration that was answered.
type ConfigRead struct {
	Core   string
	Number int
	Sent   time.Time
}

// Ledger is what clients, replicas and operators saw.
type Ledger struct {
	mu       sync.Mutex
	runs     map[string]*Run // by stamp
	attempts []*Attempt
	changes  []SubmittedChange
	reads    []ConfigRead
	failures []string // of the soak itself
}

func newLedger() *Ledger { return &Ledger{runs: map[string]*Run{}} }

// recordRun takes a run's record, in place of its former one.
func (l *Ledger) recordRun(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Stamp] = &r
}

// recordAttempt takes an attempt that has ended.
func (l *Ledger) recordAttempt(a *Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// recordRead takes an answered read of the configuration.
func (l *Ledger) recordRead(core string, number int, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads = append(l.reads, ConfigRead{core, number, sent})
}

// newestAccepted is the highest number that was accepted.
func (l *Ledger) newestAccepted() (number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.changes {
		if c.Verdict == Accepted {
			number = max(number, c.Number)
		}
	}
	return number
}

// recordChange takes a change once its verdict is known or no longer asked for.
func (l *Ledger) recordChange(c Change, v Verdict, sent, answered time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, SubmittedChange{c, v, sent, answered})
}

// fail notes that the soak itself could not go on as planned.
func (l *Ledger) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}
