package router

import (
	"context"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/queue"
	"asterridge/register"
	"asterridge/rpc"
)

// Row is one line of a query's result.
type Row map[string]any

// Query asks a router for rows of one kind; Name narrows it.
type Query struct {
	What string `json:"what"`
	Name string `json:"name,omitempty"`
}

// streaks counts how often in a row a scope was throttled anew after its hold had ended.
type streaks struct {
	mu      sync.Mutex
	byScope map[string]int
}

// streak is the scope's attempt for the fallback delay (§4.3).
func (r *Router) streak(x *Exchange) int {
	r.streaks.mu.Lock()
	defer r.streaks.mu.Unlock()
	if r.throttles.Until(x.item.Scope).IsZero() {
		r.streaks.byScope[x.item.Scope]++
	}
	return max(0, r.streaks.byScope[x.item.Scope]-1)
}

// calm forgets the streak when an answer begins and no hold stands.
func (r *Router) calm(x *Exchange) {
	if !r.throttles.Until(x.item.Scope).IsZero() {
		return
	}
	r.streaks.mu.Lock()
	defer r.streaks.mu.Unlock()
	delete(r.streaks.byScope, x.item.Scope)
}

// Admin serves the agent's queries and the platform's readiness check.
func (r *Router) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /proxy/query", rpc.Handler(r.options.Fleet, r.Rows))
	rpc.HandleReady(mux, r.IsReady)
	return mux
}

// Counts gives this router's figures by name.
func (r *Router) Counts() map[string]int64 { return r.counts.all() }

// Waiting gives how many requests wait, by tenant.
func (r *Router) Waiting() map[string]int {
	waiting := map[string]int{}
	for _, d := range r.depths() {
		waiting[d.tenant] += d.Count
	}
	return waiting
}

// depth is a queue with its names.
type depth struct {
	queue.Depth
	tenant, pool string
}

func (r *Router) depths() (all []depth) {
	v := r.view.Load()
	if v == nil {
		return nil
	}
	tenants, pools := map[int]string{}, map[int]string{}
	for name, t := range v.tenants {
		tenants[t.index] = name
	}
	for name, p := range v.pools {
		pools[p.index] = name
	}
	for _, d := range r.queue.Depths() {
		all = append(all, depth{d, tenants[d.Tenant], pools[d.Pool]})
	}
	return all
}

// FieldRows lists a register's content, as a daemon holds it.
func FieldRows(where, key string, revision register.Revision, fields register.Fields) (rows []Row) {
	for name, raw := range fields {
		rows = append(rows, Row{"where": where, "key": key, "epoch": revision.Epoch, "version": revision.Version, "field": name, "value": raw})
	}
	return rows
}

// Rows answers a query on this router's own state.
func (r *Router) Rows(_ context.Context, q Query) ([]Row, error) {
	v := r.view.Load()
	var rows []Row
	switch q.What {
	case "requests":
		for _, e := range r.audit.find(func(e Event) bool { return q.Name == "" || e.Request == q.Name }) {
			rows = append(rows, Row{"proxy": r.options.Name, "request": e.Request, "tenant": e.Tenant, "prior": e.Prior,
				"new": e.New, AttemptColumn: e.Attempt, "at": e.At.UTC().Format(time.RFC3339Nano), "reason": e.Reason, "replica": e.Replica})
		}
	case "backlog":
		for _, d := range r.depths() {
			rows = append(rows, Row{"proxy": r.options.Name, "tenant": d.tenant, "pool": d.pool, "waiting": d.Count, "oldest_ms": d.Oldest.Milliseconds()})
		}
	case "holds":
		for _, n := range r.throttles.All() {
			rows = append(rows, Row{"where": r.options.Name, "scope": n.Scope, "remaining_ms": n.RemainingMs, "reason": n.Reason,
				AttemptColumn: n.Attempt, "mark": n.ID, "raw": n.Raw, "observed": n.Observed})
		}
	case "replicas":
		if v == nil {
			return nil, nil
		}
		for name, rep := range v.replicas {
			row := Row{"proxy": r.options.Name, "replica": name, "pool": rep.Pool, "zone": rep.Zone, "state": rep.State,
				"own_running": rep.running.Load(), "share": rep.share, "fit": false}
			if report := rep.report.Load(); report != nil {
				row["weights"], row["running"], row["warm"] = report.Weights, report.Running, report.Warm
				row["report_ms"] = time.Since(report.at).Milliseconds()
			}
			if p := v.pools[rep.Pool]; p != nil {
				fit := len(p.Models) == 0
				for _, model := range append([]string{""}, p.Models...) {
					_, serving := r.canServe(v, p, rep, model, time.Now())
					fit = fit || serving
				}
				row["fit"] = fit
			}
			rows = append(rows, row)
		}
	case "fields":
		for _, key := range r.agent.Keys() {
			if key == config.Key || key == config.ReplicasKey || strings.HasPrefix(key, config.KeysPrefix) {
				state := r.agent.Read(key)
				rows = append(rows, FieldRows(r.options.Name, key, state.Revision, state.Fields)...)
			}
		}
	case "counts":
		row := Row{"proxy": r.options.Name, "index": r.index.Len(), "room_used": r.bodyMemory.inUse()}
		for name, n := range r.counts.all() {
			row[name] = n
		}
		rows = append(rows, row)
	default:
		return nil, apierror.New(apierror.NotFound, "no query %q", q.What)
	}
	sort.SliceStable(rows, func(i, j int) bool {
		a, _ := rows[i]["replica"].(string)
		b, _ := rows[j]["replica"].(string)
		return q.What == "replicas" && a < b
	})
	return rows, nil
}
