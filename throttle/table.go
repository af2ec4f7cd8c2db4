// Package throttle is the shared waiting rule: one not-before moment for each scope, which only moves forward (docs/design.md §4).
//
// When replicas throttle a tenant, the proxy that meets it puts a Notice into its Table and reports it; agents and cores pass it to every
// other proxy. A Table merges notices by maximum, and each ID once, so that notices may come late, twice, in any order and in circles, and all
// tables agree but for the time that notices travel. A notice bears the time that remains, never a time of day: each process counts it on its
// own monotonic clock.
//
// Signals tell a throttled tenant from an unhealthy replica where a replica's rejection does not say which it means. Backoff and RetryAfter give
// the delay.
package throttle

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"asterridge/register"
)

const (
	// Longest bounds every throttle that comes from another process: the largest cap that a configuration can set. Its maker has kept to
	// its own cap.
	Longest = 10 * time.Minute
	// retention is how long throttles that are over stay in the table.
	retention = time.Hour
	// maxSeenIDs is how many IDs of a scope are remembered; beyond it the older half is forgotten.
	maxSeenIDs = 64
	// observedSuffix keeps observe-only throttles apart. No scope has a blank.
	observedSuffix = " observed"
)

// Scope names what a throttle covers: a tenant, or a tenant's use of one pool.
func Scope(tenant, pool string, byPool bool) string {
	if byPool {
		return tenant + "/" + pool
	}
	return tenant
}

// Notice is a throttle on the wire.
type Notice struct {
	Scope string `json:"scope"`
	// ID is the same wherever the notice goes.
	ID          string `json:"mark"`
	RemainingMs int64  `json:"remaining_ms"`
	Reason      string `json:"reason"`
	// Raw is the Retry-After as it came, for the audit.
	Raw     string `json:"raw,omitempty"`
	Attempt int    `json:"shot"`
	// Observed: the throttle is reported and never waited for.
	Observed bool `json:"observed,omitempty"`
}

// Entry is the throttle of one scope.
type Entry struct {
	Notice
	// Until is the not-before moment, on this process's monotonic clock.
	Until time.Time
	// seenIDs are the notices that were merged, the latest last.
	seenIDs []string
}

// Table has the not-before moment of each scope.
type Table struct {
	onChange func(Entry)

	mu     sync.Mutex // guards scopes
	scopes map[string]*Entry
}

// NewTable makes a table. onChange is told of each extension, outside the lock; it may be nil.
func NewTable(onChange func(Entry)) *Table {
	return &Table{scopes: map[string]*Entry{}, onChange: onChange}
}

// Merge takes a notice, whose remaining time counts up to limit, and reports whether the scope's moment moved.
func (t *Table) Merge(n Notice, limit time.Duration) bool {
	extended, ok := t.merge(n, limit)
	if ok && t.onChange != nil {
		t.onChange(extended)
	}
	return ok
}

func (t *Table) merge(n Notice, limit time.Duration) (extended Entry, ok bool) {
	until := time.Now().Add(min(time.Duration(n.RemainingMs)*time.Millisecond, limit))
	key := n.Scope
	if n.Observed {
		key += observedSuffix
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.scopes[key]
	if e == nil {
		e = &Entry{}
		t.scopes[key] = e
	}
	if !e.see(n.ID) || !until.After(e.Until) {
		return Entry{}, false
	}
	e.Notice, e.Until = n, until
	return *e, true
}

// see notes an ID, and reports whether it is new.
func (e *Entry) see(id string) bool {
	if slices.Contains(e.seenIDs, id) {
		return false
	}
	if len(e.seenIDs) == maxSeenIDs {
		e.seenIDs = append(e.seenIDs[:0:0], e.seenIDs[maxSeenIDs/2:]...)
	}
	e.seenIDs = append(e.seenIDs, id)
	return true
}

// Apply merges the notices of a watch update: by scope, each with its age at the server.
func (t *Table) Apply(fields register.Fields, agesMs map[string]int64) {
	for scope, raw := range fields {
		var n Notice
		if register.IsDeleted(raw) || json.Unmarshal(raw, &n) != nil {
			continue
		}
		n.Scope, n.RemainingMs = scope, n.RemainingMs-agesMs[scope]
		t.Merge(n, Longest)
	}
}

// Until gives the scope's not-before moment; zero if it has passed or there is none that is waited for.
func (t *Table) Until(scope string) time.Time {
	if until := t.Last(scope); time.Now().Before(until) {
		return until
	}
	return time.Time{}
}

// Last gives the scope's latest moment, passed or not; zero if there was none.
func (t *Table) Last(scope string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.scopes[scope]; e != nil {
		return e.Until
	}
	return time.Time{}
}

// All lists the throttles that still run, with what remains of each.
func (t *Table) All() (notices []Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.scopes {
		if remaining := time.Until(e.Until); remaining > 0 {
			n := e.Notice
			n.RemainingMs = remaining.Milliseconds()
			notices = append(notices, n)
		}
	}
	return notices
}

// Prune forgets scopes whose moment has been past for the retention.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for scope, e := range t.scopes {
		if time.Since(e.Until) > retention {
			delete(t.scopes, scope)
		}
	}
}
