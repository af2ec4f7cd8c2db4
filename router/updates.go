package router

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"asterridge/register"
	"asterridge/watch"
)

// applyUpdates applies a watch response of the agent to the router's state.
func (r *Router) applyUpdates(f *watch.Client, answer watch.Response) {
	recompile := answer.Snapshot
	for _, e := range answer.Updates {
		switch {
		case e.Key == ThrottleKey:
			r.throttles.Apply(e.Fields, e.AgesMs)
		case e.Key == CoresKey:
			r.balancer.setCores(f.Read(CoresKey).Fields)
		case e.Key == ModelVersionsKey:
			r.modelVersions.Apply(e.Fields, e.AgesMs)
		case e.Key == DisturbedKey:
			at := time.Now().Add(-time.Duration(e.AgesMs[DisturbedKey]) * time.Millisecond)
			r.disturbed.Store(&at)
		case e.Key == ReportsKey:
			recompile = recompile || r.view.Load() == nil
		case strings.HasPrefix(e.Key, CachedPrefix):
			r.applyCached(strings.TrimPrefix(e.Key, CachedPrefix), e.Fields, answer.Snapshot)
		default:
			recompile = true
		}
	}
	if recompile {
		v, err := r.compile(func(key string) (register.Revision, register.Fields) {
			state := f.Read(key)
			return state.Revision, state.Fields
		}, f.Keys(), r.IsCurrent())
		if err != nil {
			r.log.Error().Err(err).Msg("configuration not compiled")
			return
		}
		r.view.Store(v)
		r.balancer.setReplicas(len(v.replicas))
		r.budget.share(r.options.RetrySlack, len(v.proxies))
		r.log.Info().Uint64("version", v.Version.Version).Int("replicas", len(v.replicas)).Str("shared_scope", v.public.cacheScope).
			Str("key_policy", string(v.keyPolicy)).Msg("routing view updated")
	}
	r.applyReports(f.Read(ReportsKey).Fields)
	r.queue.WakeAll()
}

// applyReports applies the replicas' reports that the agent has polled.
func (r *Router) applyReports(fields register.Fields) {
	v := r.view.Load()
	if v == nil {
		return
	}
	for name, raw := range fields {
		rep := v.replicas[name]
		var latest Report
		if rep == nil || json.Unmarshal(raw, &latest) != nil {
			continue
		}
		before := rep.report.Load()
		if before != nil && before.Number == latest.Number && before.Run == latest.Run {
			continue
		}
		if before != nil && before.Run != latest.Run {
			r.index.Forget(name, nil)
		}
		rep.report.Store(&report{Report: latest, at: time.Now()})
		rep.sent.Store(0)
	}
}

// applyCached applies changes of what a replica or store has cached.
func (r *Router) applyCached(replica string, fields register.Fields, snapshot bool) {
	if snapshot {
		r.index.Forget(replica, nil)
		r.sources.Delete(replica)
	}
	var removed []string
	for block, raw := range fields {
		if register.IsDeleted(raw) {
			removed = append(removed, block)
			if block == CacheUp {
				r.sources.Delete(replica)
			}
			continue
		}
		if block == CacheUp {
			r.sources.Store(replica, true)
			continue
		}
		if cached, err := strconv.Atoi(string(raw)); err == nil {
			r.index.Update(replica, block, cached)
		}
	}
	if removed != nil {
		r.index.Forget(replica, removed)
	}
}

// fresh extends the time until which this router's state counts as current, counted from when the watch request was sent (docs/design.md
// §3.2).
func (r *Router) fresh(_ *watch.Client, sent time.Time, remaining time.Duration) {
	until := sent.Add(remaining)
	if remaining <= 0 {
		until = time.Time{}
	}
	r.current.Store(&until)
	if r.logCurrency() {
		r.queue.WakeAll()
	}
}
