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
	listInterval = time.Second
	// listTimeout is the age at which a platform's answer is void.
	listTimeout = 2 * listInterval
	// ownListBackoff is how long after a failure of its own a core has another one ask the platform.
	ownListBackoff = 5 * listInterval
)

// replicaLister is the singleton role that brings the register of replicas up to the platform's list. The core that the register is
// assigned to performs it. While the platform does not answer that core, it has another core ask.
type replicaLister struct {
	core *Core
	// delegate is the core that asks in this one's place; empty: none.
	delegate string
	// delegatesTried counts the delegates so far: the next failure takes the next one.
	delegatesTried int
	retryOwnAt     time.Time
}

func (l *replicaLister) step(ctx context.Context) {
	if !l.core.isAssigned(config.ReplicasKey) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if l.delegate == "" || time.Now().After(l.retryOwnAt) {
		l.delegate = ""
		if l.core.listReplicas(ctx) != nil {
			l.pickDelegate()
		}
		return
	}
	address := l.core.membership().addressOf(l.delegate)
	if _, err := rpc.Call[struct{}](ctx, l.core.rpc, address, "/core/list", struct{}{}); err != nil {
		l.delegate = ""
	}
}

// pickDelegate picks another live core; the next step asks it.
func (l *replicaLister) pickDelegate() {
	l.retryOwnAt = time.Now().Add(ownListBackoff)
	others := slices.DeleteFunc(l.core.live(), func(name string) bool { return name == l.core.host.Name })
	if len(others) == 0 {
		return
	}
	l.delegate = others[l.delegatesTried%len(others)]
	l.delegatesTried++
}

// handleListRequest asks the platform in the place of a core that it does not answer.
func (c *Core) handleListRequest(ctx context.Context, _ struct{}) (struct{}, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return struct{}{}, c.listReplicas(ctx)
}

// listReplicas asks the platform for its list and writes what differs. Should two cores do so for a moment, both write what there is; one
// that was frozen over its answer writes nothing.
func (c *Core) listReplicas(ctx context.Context) error {
	asked := time.Now()
	listed, err := c.options.Backend.List(ctx)
	if err != nil {
		c.host.Log.Warn().Err(err).Msg("platform did not list the replicas")
		return apierror.Wrap(err, apierror.Unreachable, "platform's list")
	}
	fields := register.Fields{}
	for _, replica := range listed {
		fields.Apply(config.Field(replica.Name, replica))
	}
	if len(config.Delta(c.acceptor.Read(config.ReplicasKey).Fields, fields)) == 0 {
		return nil
	}
	revision, err := c.owner.Change(ctx, config.ReplicasKey, func(present register.Fields, _ uint64) (register.Fields, error) {
		if age := time.Since(asked); age > listTimeout {
			return nil, apierror.New(apierror.Behind, "the platform's list was asked for %v ago", age)
		}
		return config.Delta(present, fields), nil
	})
	c.logOutcome("replicas", config.ReplicasKey, revision, err)
	return err
}
