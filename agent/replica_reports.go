package agent

import (
	"context"
	"encoding/json"
	"time"

	"asterridge/config"
	"asterridge/register"
	"asterridge/replicaclient"
	"asterridge/router"
	"asterridge/rpc"
)

// reportInterval is the time between two polls of a replica.
const reportInterval = 300 * time.Millisecond

// completeBlock is the published value for a block that is cached completely; replicas with the project's own interface report only
// complete blocks.
const completeBlock = `0`

// pollReplicas maintains one poller for each replica in the applied register of replicas. The caller holds a.mu.
func (a *Agent) pollReplicas(ctx context.Context) {
	present := a.appliedReplicas()
	if len(present) == 0 && len(a.polled) > 0 {
		return
	}
	for name, replica := range present {
		if before, known := a.polled[name]; known && before.Address == replica.Address {
			continue
		}
		if stop := a.stopPolling[name]; stop != nil {
			stop()
		}
		pollCtx, stop := context.WithCancel(ctx)
		a.stopPolling[name], a.polled[name] = stop, replica
		go a.pollReplica(pollCtx, replica)
	}
	for name := range a.polled {
		if _, ok := present[name]; !ok {
			a.stopPolling[name]()
			delete(a.stopPolling, name)
			delete(a.polled, name)
			a.proxyUpdates.PublishHint(router.ReportsKey, register.Fields{name: nil}, false)
			a.proxyUpdates.PublishHint(router.CachedPrefix+name, register.Fields{}, true)
		}
	}
}

// appliedReplicas reads the replicas from a core that has exactly the applied revision; nil if there is no such core.
func (a *Agent) appliedReplicas() map[string]config.Replica {
	for _, core := range a.cores {
		if revision, _ := core.Revisions(config.ReplicasKey); revision == a.applied[config.ReplicasKey] && revision != (register.Revision{}) {
			replicas, _ := config.Load[config.Replica](core.Read(config.ReplicasKey).Fields) // none if the register cannot be decoded
			return replicas
		}
	}
	return nil
}

// pollReplica polls a replica for its report until the context ends, and sends the proxy the report and the changes of the cache.
func (a *Agent) pollReplica(ctx context.Context, replica config.Replica) {
	var last router.Report
	poll := func() {
		requestCtx, cancel := context.WithTimeout(ctx, replicaclient.Timeout)
		defer cancel()
		report, err := replicaclient.GetReport(requestCtx, a.replicaClient, a.options.Protocol, replica, last)
		if err != nil || ctx.Err() != nil {
			return
		}
		change := register.Fields{}
		for _, block := range report.Cached {
			change[block] = json.RawMessage(completeBlock)
		}
		for _, block := range report.Dropped {
			change[block] = nil
		}
		if len(change) > 0 || report.Snapshot {
			a.proxyUpdates.PublishHint(router.CachedPrefix+replica.Name, change, report.Snapshot)
		}
		raw, _ := json.Marshal(report.Report) // encoding a plain struct cannot fail
		a.proxyUpdates.PublishHint(router.ReportsKey, register.Fields{replica.Name: raw}, false)
		last = report.Report
	}
	poll()
	rpc.Every(ctx, reportInterval, poll)
}
