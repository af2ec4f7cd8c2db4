package controlplane

import (
	"context"
	"slices"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
	"asterridge/rpc"
)

const (
	listInterval   = time.Second
	listTimeout    = 2 * listInterval // an answer that is older by the time when it would be written is void
	ownListBackoff = 5 * listInterval // after a failure of its own a core has another one list for so long
)

// replicaLister brings the register of replicas up to the platform's list. One core does so: the one that the register is picked to. While the platform
// does not answer it, it has another core ask.
type replicaLister struct {
	core           *Core
	delegate       string // the core that lists in our place; empty: this one
	delegatesTried int    // delegates so far: the next failure takes the next one
	retryOwnAt     time.Time
}

func (l *replicaLister) step(ctx context.Context) {
	c := l.core
	if !c.isAssigned(config.ReplicasKey) {
		return
	}
	short, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	if l.delegate == "" || time.Now().After(l.retryOwnAt) {
		if l.delegate = ""; c.listReplicas(short) == nil {
			return
		}
		l.retryOwnAt = time.Now().Add(ownListBackoff)
		others := slices.DeleteFunc(c.live(), func(name string) bool { return name == c.host.Name })
		if len(others) == 0 {
			return
		}
		l.delegate = others[l.delegatesTried%len(others)]
		l.delegatesTried++
		return // the next step asks it
	}
	if _, err := rpc.Call[struct{}](short, c.rpc, c.addressOf(l.delegate), "/core/list", struct{}{}); err != nil {
		l.delegate = ""
	}
}

// handleListRequest lists in the place of a core that the platform does not answer.
func (c *Core) handleListRequest(ctx context.Context, _ struct{}) (struct{}, error) {
	short, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	return struct{}{}, c.listReplicas(short)
}

// listReplicas asks the platform, and writes what differs. Should two cores list for a moment, both write what there is; one that was frozen
// over its answer writes nothing.
func (c *Core) listReplicas(ctx context.Context) error {
	asked := time.Now()
	listed, err := c.options.Backend.List(ctx)
	if err != nil {
		c.host.Log.Warn().Str("event", "list_failed").Err(err).Msg("")
		return apierror.Wrap(err, apierror.Unreachable, "platform's list")
	}
	fields := register.Fields{}
	for _, r := range listed {
		fields.Apply(config.Field(r.Name, r))
	}
	if len(config.Delta(c.acceptor.Read(config.ReplicasKey).Fields, fields)) == 0 {
		return nil
	}
	revision, err := c.owner.Change(ctx, config.ReplicasKey, func(now register.Fields, _ uint64) (register.Fields, error) {
		if age := time.Since(asked); age > listTimeout {
			return nil, apierror.New(apierror.Behind, "the platform's list was asked for %v ago", age)
		}
		return config.Delta(now, fields), nil
	})
	c.logOutcome("replicas", config.ReplicasKey, revision, err)
	return err
}
