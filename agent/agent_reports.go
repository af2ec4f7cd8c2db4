package agent

import (
	"context"
	"encoding/json"

	"asterridge/config"
	"asterridge/daemon"
	"asterridge/register"
	"asterridge/replicaclient"
	"asterridge/router"
)

// pollReplicas has one poller for each replica there is; a.mu is held.
func (a *Agent) pollReplicas(ctx context.Context) {
	present := map[string]config.Replica{}
	for _, f := range a.cores {
		if revision, _ := f.Revisions(config.ReplicasKey); revision == a.applied[config.ReplicasKey] && revision != (register.Revision{}) {
			present, _ = config.Load[config.Replica](f.Read(config.ReplicasKey).Fields)
			break
		}
	}
	if len(present) == 0 && len(a.polled) > 0 {
		return
	}
	for name, r := range present {
		if before, watched := a.polled[name]; watched && before.Address == r.Address {
			continue
		}
		if stop := a.stopPolling[name]; stop != nil {
			stop()
		}
		polling, stop := context.WithCancel(ctx)
		a.stopPolling[name], a.polled[name] = stop, r
		go a.pollReplica(polling, r)
	}
	for name := range a.polled {
		if _, ok := present[name]; !ok {
			a.stopPolling[name]()
			delete(a.stopPolling, name)
			delete(a.polled, name)
			a.proxyUpdates.Publish(router.ReportsKey, register.Revision{}, register.Revision{}, register.Fields{name: nil}, false)
			a.proxyUpdates.Publish(router.KeptPrefix+name, register.Revision{}, register.Revision{}, register.Fields{}, true)
		}
	}
}

// pollReplica asks a replica for its report and passes on what it keeps.
func (a *Agent) pollReplica(ctx context.Context, r config.Replica) {
	var last router.Report
	step := func() {
		short, stop := context.WithTimeout(ctx, replicaclient.ReportTimeout)
		defer stop()
		body, err := replicaclient.GetReport(short, a.replicaClient, a.dialect, r, last)
		if err != nil || ctx.Err() != nil {
			return
		}
		raw, _ := json.Marshal(body.Report) // a plain struct always encodes
		change := register.Fields{}
		for _, block := range body.Cached {
			change[block] = json.RawMessage(`0`) // whole
		}
		for _, block := range body.Dropped {
			change[block] = nil
		}
		if len(change) > 0 || body.Snapshot {
			a.proxyUpdates.Publish(router.KeptPrefix+r.Name, register.Revision{}, register.Revision{}, change, body.Snapshot)
		}
		a.proxyUpdates.Publish(router.ReportsKey, register.Revision{}, register.Revision{}, register.Fields{r.Name: raw}, false)
		last = body.Report
	}
	step()
	daemon.Every(ctx, reportInterval, step)
}
