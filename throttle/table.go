// Package throttle holds the throttles that all proxies share: for each scope, the earliest time at which requests may be sent again. That time
// only moves forward (docs/design.md §4).
//
// When replicas throttle a tenant, the proxy that notices it puts a Notice into its Table and reports it; agents and cores forward it to every
// other proxy. A Table merges notices by taking the latest time, and each ID only once. So notices may be delayed, duplicated, reordered or
// sent in loops, and all tables agree except for the time that notices travel. A notice carries the remaining time, not a time of day: each
// process measures it on its own monotonic clock.
//
// Signals tell a throttled tenant from an unhealthy replica if a replica's rejection does not say which it is. Backoff and RetryAfter compute
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
	// Longest limits a throttle received from another process. It is the largest cap that a configuration can set; the process that created
	// the notice has already applied the cap of its own configuration.
	Longest = 10 * time.Minute
	// retention is how long expired throttles stay in the table.
	retention = time.Hour
	// maxSeenIDs is how many notice IDs are remembered per scope; when it is reached, the older half is dropped.
	maxSeenIDs = 64
	// observedSuffix separates observe-only throttles from others of the same scope. No scope contains a space.
	observedSuffix = " observed"
)

// Scope returns the name of what a throttle covers: a tenant, or a tenant's use of one pool.
func Scope(tenant, pool string, byPool bool) string {
	if byPool {
		return tenant + "/" + pool
	}
	return tenant
}

// Notice is a throttle as sent between processes.
type Notice struct {
	Scope string `json:"scope"`
	// ID identifies the notice; it stays the same when the notice is forwarded.
	ID          string `json:"mark"`
	RemainingMs int64  `json:"remaining_ms"`
	Reason      string `json:"reason"`
	// Raw is the Retry-After header as received, for auditing.
	Raw     string `json:"raw,omitempty"`
	Attempt int    `json:"shot"`
	// Observed means that the throttle is only reported; no request waits for it.
	Observed bool `json:"observed,omitempty"`
}

// Entry is the throttle of one scope.
type Entry struct {
	Notice
	// Until is the not-before time, on this process's monotonic clock.
	Until time.Time
	// seenIDs has the IDs of merged notices, the latest last.
	seenIDs []string
}

// Table has the not-before time of each scope.
type Table struct {
	onChange func(Entry)

	mu     sync.Mutex // guards scopes
	scopes map[string]*Entry
}

// NewTable returns an empty table. onChange is called for each extension, without the lock held; it may be nil.
func NewTable(onChange func(Entry)) *Table {
	return &Table{scopes: map[string]*Entry{}, onChange: onChange}
}

// Merge merges a notice, whose remaining time counts up to limit, and reports whether it extended the scope's throttle.
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
	if !e.markSeen(n.ID) || !until.After(e.Until) {
		return Entry{}, false
	}
	e.Notice, e.Until = n, until
	return *e, true
}

// markSeen records an ID, and reports whether it is new.
func (e *Entry) markSeen(id string) bool {
	if slices.Contains(e.seenIDs, id) {
		return false
	}
	if len(e.seenIDs) == maxSeenIDs {
		e.seenIDs = append(e.seenIDs[:0:0], e.seenIDs[maxSeenIDs/2:]...)
	}
	e.seenIDs = append(e.seenIDs, id)
	return true
}

// Apply merges the notices of a watch update, by scope. agesMs has the age of each notice at the server.
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

// Until returns the scope's not-before time; zero if it has passed, or if there is no throttle or only an observed one.
func (t *Table) Until(scope string) time.Time {
	if until := t.Last(scope); time.Now().Before(until) {
		return until
	}
	return time.Time{}
}

// Last returns the scope's latest not-before time, passed or not; zero if there was none.
func (t *Table) Last(scope string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.scopes[scope]; e != nil {
		return e.Until
	}
	return time.Time{}
}

// All returns the throttles that are still in force, with the remaining time of each.
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

// Prune deletes scopes whose throttle expired longer than the retention ago.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for scope, e := range t.scopes {
		if time.Since(e.Until) > retention {
			delete(t.scopes, scope)
		}
	}
}
