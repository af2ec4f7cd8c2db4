package daemon

import (
	"context"
	"encoding/json"

	"asterridge/config"
	"asterridge/register"
	"asterridge/router"
)

// watch has one poller for each replica there is; a.mu is held.
func (a *Agent) watch(ctx context.Context) {
	present := map[string]config.Replica{}
	for _, f := range a.links {
		if revision, _ := f.Revisions(config.ReplicasKey); revision == a.applied[config.ReplicasKey] && revision != (register.Revision{}) {
			present, _ = config.Load[config.Replica](f.Read(config.ReplicasKey).Fields)
			break
		}
	}
	if len(present) == 0 && len(a.watched) > 0 {
		return
	}
	for name, r := range present {
		if before, watched := a.watched[name]; watched && before.Address == r.Address {
			continue
		}
		if stop := a.replicas[name]; stop != nil {
			stop()
		}
		polling, stop := context.WithCancel(ctx)
		a.replicas[name], a.watched[name] = stop, r
		go a.poll(polling, r)
	}
	for name := range a.watched {
		if _, ok := present[name]; !ok {
			a.replicas[name]()
			delete(a.replicas, name)
			delete(a.watched, name)
			a.source.Publish(router.ReportsKey, register.Revision{}, register.Revision{}, register.Fields{name: nil}, false)
			a.source.Publish(router.KeptPrefix+name, register.Revision{}, register.Revision{}, register.Fields{}, true)
		}
	}
}

// reportBody is a replica's report with what it keeps since the number asked from.
type reportBody struct {
	router.Report
	Snapshot bool     `json:"image"`
	Kept     []string `json:"kept,omitempty"`
	Dropped  []string `json:"dropped,omitempty"`
}

// poll asks a replica for its report and passes on what it keeps.
func (a *Agent) poll(ctx context.Context, r config.Replica) {
	var last router.Report
	step := func() {
		short, stop := context.WithTimeout(ctx, reportLimit)
		defer stop()
		body, err := askReport(short, a.plain, a.dialect, r, last)
		if err != nil || ctx.Err() != nil {
			return
		}
		raw, _ := json.Marshal(body.Report) // a plain struct always encodes
		change := register.Fields{}
		for _, block := range body.Kept {
			change[block] = json.RawMessage(`0`) // whole
		}
		for _, block := range body.Dropped {
			change[block] = nil
		}
		if len(change) > 0 || body.Snapshot {
			a.source.Publish(router.KeptPrefix+r.Name, register.Revision{}, register.Revision{}, change, body.Snapshot)
		}
		a.source.Publish(router.ReportsKey, register.Revision{}, register.Revision{}, register.Fields{r.Name: raw}, false)
		last = body.Report
	}
	step()
	Every(ctx, reportStep, step)
}
