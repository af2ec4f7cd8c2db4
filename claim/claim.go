// Package claim owns clients' idempotency keys: which request holds a key, and what became of it (docs/design.md §5.5).
//
// A request that must not be executed twice claims its client's key before it is first sent to a replica. The claim stands in a register
// (package register), so a majority of the cores has it before anything is executed. It begins as Running and ends in one of the other
// states: Executed, Unknown, or Released if the request was not executed. A key that was released may be claimed by another request.
//
// Messages about claims may arrive twice, late, and in any order. So a record remembers, for a while, which requests have released the key:
// a late copy of such a request's first claim must not take the key again.
package claim

import (
	"encoding/json"
	"slices"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
)

// The states of a claim, as router.Claim and the stored records spell them.
const (
	Running  = "running"
	Executed = "ran"
	Unknown  = "unknown"
	Released = "free"
)

const (
	// maxReleased is how many requests a record remembers as having released the key.
	maxReleased = 8
	// releasedRetention is how long a released record is kept. No message is delayed for so long.
	releasedRetention = time.Minute
)

// Record is a claim as its register stores it.
type Record struct {
	// Nonce is the ID of the request that holds the key, or held it last.
	Nonce string `json:"nonce"`
	State string `json:"state"`
	// Proxy is the run of the proxy that the request came to.
	Proxy string `json:"proxy"`
	// ReleasedBy are earlier requests that released the key, the latest last; at most maxReleased.
	ReleasedBy []string `json:"freed,omitempty"`
}

// Apply works out the change of the register's fields that a request makes; no change and no error means that the register says so already.
// proxyRuns reports whether a run of a proxy still runs. The errors are apierror.NoClaim for a request that has released its key,
// and, for another request's key, apierror.KeyRan, InProgress or KeyUnknown.
func Apply(request Request, fields register.Fields, proxyRuns func(proxy string) bool) (register.Fields, error) {
	field := request.Field()
	var present Record
	exists := fields[field] != nil && json.Unmarshal(fields[field], &present) == nil
	own := exists && present.Nonce == request.Nonce
	free := !exists || present.State == Released
	releasedBefore := own && free || slices.Contains(present.ReleasedBy, request.Nonce)
	next := Record{Nonce: request.Nonce, State: request.State, Proxy: request.Proxy, ReleasedBy: present.ReleasedBy}
	switch {
	case releasedBefore && request.State == Running:
		return nil, apierror.New(apierror.NoClaim, "this request has given the key back")
	case own && (present.State != Running || request.State == Running):
		return nil, present.check(request, proxyRuns)
	case free && exists: // another request released it
		next.ReleasedBy = append(slices.Clone(present.ReleasedBy), present.Nonce)
		next.ReleasedBy = next.ReleasedBy[max(0, len(next.ReleasedBy)-maxReleased):]
		return config.Field(field, next), nil
	case free, own:
		return config.Field(field, next), nil
	}
	return nil, present.check(request, proxyRuns)
}

// check answers a request that does not change the record: nil if it need not, else why it may not.
func (r Record) check(request Request, proxyRuns func(proxy string) bool) error {
	own := r.Nonce == request.Nonce
	switch {
	case request.State != Running, own && r.State == Running:
		return nil
	case r.State == Executed:
		return apierror.New(apierror.KeyExecuted, "an earlier request with this key ran")
	case r.State == Running && proxyRuns(r.Proxy):
		return apierror.New(apierror.InProgress, "another request with this key is in progress")
	}
	return apierror.New(apierror.KeyUnknown, "an earlier request with this key has an unknown outcome")
}

// Expired reports whether a record that has been known for age may be dropped; retention is how long clients' keys are remembered at least.
func (r Record) Expired(age, retention time.Duration) bool {
	return age > retention || r.State == Released && age > releasedRetention
}
