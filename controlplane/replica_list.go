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
	// listTimeout is the age at which a platform's list is discarded.
	listTimeout = 2 * listInterval
	// ownListBackoff is how long a core whose own request failed has another core ask the platform instead.
	ownListBackoff = 5 * listInterval
)

// replicaLister is the singleton role that keeps the register of replicas in sync with the platform's list. It is performed by the core
// that the register is assigned to. While the platform does not answer that core, another core asks on its behalf.
type replicaLister struct {
	core *Core
	// delegate is the core that asks on this one's behalf; empty: none.
	delegate string
	// delegatesTried counts the delegates picked so far, so that each failure picks the next one.
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

// pickDelegate picks another live core to ask at the next step.
func (l *replicaLister) pickDelegate() {
	l.retryOwnAt = time.Now().Add(ownListBackoff)
	others := slices.DeleteFunc(l.core.able(), func(name string) bool { return name == l.core.host.Name })
	if len(others) == 0 {
		return
	}
	l.delegate = others[l.delegatesTried%len(others)]
	l.delegatesTried++
}

// handleListRequest asks the platform on behalf of a core that gets no answer from it.
func (c *Core) handleListRequest(ctx context.Context, _ struct{}) (struct{}, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return struct{}{}, c.listReplicas(ctx)
}

// listReplicas asks the platform for its list and writes the differences. It is harmless if two cores do so at the same time: both
// write the platform's current list. A list that has aged past listTimeout, for instance because the process was suspended, is not
// written.
func (c *Core) listReplicas(ctx context.Context) error {
	requestedAt := time.Now()
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
	revision, err := c.owner.Change(ctx, config.ReplicasKey, func(current register.Fields, _ uint64) (register.Fields, error) {
		if age := time.Since(requestedAt); age > listTimeout {
			return nil, apierror.New(apierror.Behind, "the platform's list was requested %v ago", age)
		}
		return config.Delta(current, fields), nil
	})
	c.logOutcome("replicas", config.ReplicasKey, revision, err)
	return err
}
