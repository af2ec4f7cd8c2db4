package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"
	"time"

	"asterridge/apierror"
	"asterridge/controlplane"
	"asterridge/membership"
	"asterridge/rpc"
)

const (
	// callTimeout limits one call to one core.
	callTimeout = 10 * time.Second
	// orderTimeout is how long an order is retried while its outcome is unknown. The backoff starts at initialBackoff and doubles up to
	// maxBackoff.
	orderTimeout   = 30 * time.Second
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// submit gives an order its idempotency key and sends it until a core responds whether it was applied. Every attempt carries the same key,
// so the order takes effect only once. The error is apierror.Undecided or Unreachable if no such response arrives within orderTimeout.
func (s *session) submit(c command) (controlplane.Accepted, error) {
	if err := s.identify(c); err != nil {
		return controlplane.Accepted{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		accepted, err := call[controlplane.Accepted](s, "/op/"+c.order, c.body)
		lost := apierror.Is(err, apierror.Unreachable) || apierror.Is(err, apierror.Undecided)
		if !lost || rpc.Sleep(ctx, backoff) != nil {
			return accepted, c.explainLost(err, lost)
		}
	}
}

// explainLost adds to the error of an order with unknown outcome how to send the same order again.
func (c command) explainLost(err error, lost bool) error {
	if !lost || c.key == nil {
		return err
	}
	return apierror.Wrap(err, apierror.Undecided,
		fmt.Sprintf("whether it was applied is not known; the same order with -key %s:%d has its effect once", c.key.IdempotencyKey, c.key.KnownVersion))
}

// identify gives an order its idempotency key, or in a change of the membership the identity of the member that it concerns.
func (s *session) identify(c command) error {
	switch {
	case c.member != nil:
		return s.identifyMember(c.member)
	case c.key == nil:
		return nil
	}
	if s.key != "" { // the operator sends an earlier order again
		text, version, _ := strings.Cut(s.key, ":")
		c.key.IdempotencyKey = text
		c.key.KnownVersion, _ = strconv.ParseUint(version, 10, 64) // without a version, an order whose key is no longer stored counts as new
		return nil
	}
	c.key.IdempotencyKey = rand.Text()
	known, err := call[controlplane.CommitResponse](s, "/op/settle", controlplane.CommitRequest{Key: c.register})
	c.key.KnownVersion = known.Revision.Version
	return err
}

// identifyMember adds to a membership change the ID of the member to remove, or the incarnation of the core to admit. The error is
// apierror.NotFound if there is no such core.
func (s *session) identifyMember(change *membership.Change) error {
	answer, err := call[controlplane.QueryResponse](s, "/query", controlplane.Query{Kind: "members", Where: []controlplane.Condition{
		{Field: "name", Operator: "=", Value: change.Name},
	}})
	if err != nil {
		return err
	}
	for _, row := range answer.Rows {
		id, isMember := row["id"].(float64) // JSON numbers decode to float64; only members have an ID
		incarnation, _ := row["incarnation"].(string)
		switch {
		case row["name"] != change.Name:
		case change.Action == membership.Remove && isMember:
			change.MemberID = uint32(id)
		case change.Action == membership.Admit && !isMember:
			change.Incarnation = incarnation
		}
	}
	if !change.IsIdempotent() {
		return apierror.New(apierror.NotFound, "no core %q to %s", change.Name, change.Action)
	}
	return nil
}
