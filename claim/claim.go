// Package claim tracks clients' idempotency keys: which request holds a key, and how that request ended (docs/design.md §5.5).
//
// A request that must not be executed twice claims its client's key before it is first sent to a replica. The claim is stored in a register
// (package register), so a majority of the cores has it before anything is executed. It begins as Running and ends in one of the other
// states: Executed, Unknown, or Released if the request was not executed. Another request may claim a released key.
//
// Messages about claims may be duplicated, delayed and reordered. So a record remembers for some time which requests have released the key:
// a delayed duplicate of such a request's first claim must not take the key again.
package claim

import (
	"encoding/json"
	"slices"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
)

// The states of a claim, as spelled in router.Claim and in stored records.
const (
	Running  = "running"
	Executed = "ran"
	Unknown  = "unknown"
	Released = "free"
)

const (
	// maxReleased is how many requests that released the key a record remembers.
	maxReleased = 8
	// releasedRetention is how long a released record is kept. It is longer than any message is delayed.
	releasedRetention = time.Minute
)

// Record is a claim as its register stores it.
type Record struct {
	// Nonce is the ID of the request that holds the key, or was the last to hold it.
	Nonce string `json:"nonce"`
	State string `json:"state"`
	// Proxy names the run of the proxy that received the request.
	Proxy string `json:"proxy"`
	// ReleasedBy has the nonces of earlier requests that released the key, the latest last; at most maxReleased.
	ReleasedBy []string `json:"freed,omitempty"`
}

// Apply returns the update of the register's fields that a request causes; no update and no error means that nothing has to change.
// isProxyRunning reports whether a run of a proxy is still alive. The errors are apierror.NoClaim for a request that has released its key,
// and, for another request's key, apierror.KeyExecuted, InProgress or KeyUnknown.
func Apply(request Request, fields register.Fields, isProxyRunning func(proxy string) bool) (register.Fields, error) {
	field := request.Field()
	var present Record
	exists := fields[field] != nil && json.Unmarshal(fields[field], &present) == nil
	own := exists && present.Nonce == request.Nonce
	free := !exists || present.State == Released
	releasedBefore := own && free || slices.Contains(present.ReleasedBy, request.Nonce)
	next := Record{Nonce: request.Nonce, State: request.State, Proxy: request.Proxy, ReleasedBy: present.ReleasedBy}
	switch {
	case releasedBefore && request.State == Running:
		return nil, apierror.New(apierror.NoClaim, "this request has already released its idempotency key")
	case own && (present.State != Running || request.State == Running):
		return nil, present.check(request, isProxyRunning)
	case free && exists: // another request released it
		next.ReleasedBy = append(slices.Clone(present.ReleasedBy), present.Nonce)
		next.ReleasedBy = next.ReleasedBy[max(0, len(next.ReleasedBy)-maxReleased):]
		return config.Field(field, next), nil
	case free, own:
		return config.Field(field, next), nil
	}
	return nil, present.check(request, isProxyRunning)
}

// check returns the error for a request that does not change the record; nil if the request is allowed but needs no change.
func (r Record) check(request Request, isProxyRunning func(proxy string) bool) error {
	own := r.Nonce == request.Nonce
	switch {
	case request.State != Running, own && r.State == Running:
		return nil
	case r.State == Executed:
		return apierror.New(apierror.KeyExecuted, "an earlier request with this key ran")
	case r.State == Running && isProxyRunning(r.Proxy):
		return apierror.New(apierror.InProgress, "another request with this key is in progress")
	}
	return apierror.New(apierror.KeyUnknown, "an earlier request with this key has an unknown outcome")
}

// Expired reports whether a record of this age may be deleted; retention is the minimum time for which clients' keys are remembered.
func (r Record) Expired(age, retention time.Duration) bool {
	return age > retention || r.State == Released && age > releasedRetention
}
