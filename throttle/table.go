// Package throttle is the shared waiting rule: one not-before moment per scope, forward-only (docs/design.md §4).
package throttle

import (
	"encoding/json"
	"sync"
	"time"

	"asterridge/register"
)

// Scope names what a hold covers: a tenant, or a tenant's use of one pool.
func Scope(tenant, pool string, byPool bool) string {
	if byPool {
		return tenant + "/" + pool
	}
	return tenant
}

// Notice is a hold on the wire. Its id is the same wherever the notice goes.
type Notice struct {
	Scope       string `json:"scope"`
	ID          string `json:"mark"`
	RemainingMs int64  `json:"remaining_ms"`
	Reason      string `json:"reason"`
	Raw         string `json:"raw,omitempty"` // Retry-After as it came, for audit
	Attempt     int    `json:"shot"`
	Observed    bool   `json:"observed,omitempty"` // observe-only: reported, never waited for
}

// Entry is the hold of one scope.
type Entry struct {
	Notice
	Until   time.Time // on this process's monotonic clock
	seenIDs []string
}

const maxSeenIDs = 64

// Table is scope → moment. Merging takes the maximum, and each id once (§4.1).
type Table struct {
	mu       sync.Mutex
	scopes   map[string]*Entry
	onChange func(Entry)
}

// NewTable makes a table; news (may be nil) is told of each extension, outside the lock.
func NewTable(onChange func(Entry)) *Table {
	return &Table{scopes: map[string]*Entry{}, onChange: onChange}
}

// Merge takes a notice; it says whether the scope's moment moved.
func (t *Table) Merge(n Notice, limit time.Duration) bool {
	remaining := min(time.Duration(n.RemainingMs)*time.Millisecond, limit)
	until := time.Now().Add(remaining)
	t.mu.Lock()
	place := n.Scope
	if n.Observed {
		place += " observed" // no scope has a blank, so the two never meet
	}
	e := t.scopes[place]
	if e == nil {
		e = &Entry{}
		t.scopes[place] = e
	}
	for _, id := range e.seenIDs {
		if id == n.ID {
			t.mu.Unlock()
			return false
		}
	}
	if len(e.seenIDs) == maxSeenIDs {
		e.seenIDs = append(e.seenIDs[:0:0], e.seenIDs[maxSeenIDs/2:]...)
	}
	e.seenIDs = append(e.seenIDs, n.ID)
	if !until.After(e.Until) {
		t.mu.Unlock()
		return false
	}
	e.Notice, e.Until = n, until
	published := *e
	t.mu.Unlock()
	if t.onChange != nil {
		t.onChange(published)
	}
	return true
}

// Apply merges the notices of a link's entry: by scope, each with its age at the source.
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

// Longest bounds every hold that comes from elsewhere: the largest cap that a configuration can set. Its maker has kept to its own.
const Longest = 10 * time.Minute

// Until gives the scope's moment; zero if it has passed or only observes.
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

// All lists the holds that still run, with what remains of each.
func (t *Table) All() []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Notice
	for _, e := range t.scopes {
		if left := time.Until(e.Until); left > 0 {
			n := e.Notice
			n.RemainingMs = left.Milliseconds()
			all = append(all, n)
		}
	}
	return all
}

// Prune forgets scopes whose moment is long past.
func (t *Table) Prune(after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for scope, e := range t.scopes {
		if time.Since(e.Until) > after {
			delete(t.scopes, scope)
		}
	}
}
