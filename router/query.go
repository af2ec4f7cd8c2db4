package router

import (
	"context"
	"maps"
	"net/http"
	"slices"
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

// Query asks a router for rows of one kind; Name restricts the rows.
type Query struct {
	What string `json:"what"`
	Name string `json:"name,omitempty"`
}

// streaks counts, by scope, how often in a row a throttle was set after the previous one had ended.
type streaks struct {
	mu      sync.Mutex
	byScope map[string]int
}

// streak counts a new throttle of the request's scope and returns the attempt number for the backoff (docs/design.md §4.3).
func (r *Router) streak(x *Exchange) int {
	r.streaks.mu.Lock()
	defer r.streaks.mu.Unlock()
	if r.throttles.Until(x.item.Scope).IsZero() {
		r.streaks.byScope[x.item.Scope]++
	}
	return max(0, r.streaks.byScope[x.item.Scope]-1)
}

// calm resets the scope's streak when a response begins and no throttle is active.
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

// Counts returns this router's counters by name.
func (r *Router) Counts() map[string]int64 { return r.counts.all() }

// Waiting returns the number of queued requests by tenant.
func (r *Router) Waiting() map[string]int {
	waiting := map[string]int{}
	for _, d := range r.depths() {
		waiting[d.tenant] += d.Count
	}
	return waiting
}

// depth is a queue's depth with the names of its tenant and pool.
type depth struct {
	queue.Depth
	tenant, pool string
}

// depths returns the depths of the queues that are not empty.
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

// FieldRows lists a register's fields as a process has them.
func FieldRows(where, key string, revision register.Revision, fields register.Fields) (rows []Row) {
	for name, raw := range fields {
		rows = append(rows, Row{"where": where, "key": key, "epoch": revision.Epoch, "version": revision.Version, "field": name, "value": raw})
	}
	return rows
}

// Rows answers a query on this router's own state. It fails with apierror.NotFound for an unknown kind.
func (r *Router) Rows(_ context.Context, q Query) ([]Row, error) {
	switch q.What {
	case "requests":
		return r.requestRows(q.Name), nil
	case "backlog":
		return r.backlogRows(), nil
	case "holds":
		return r.throttleRows(), nil
	case "replicas":
		return r.replicaRows(), nil
	case "fields":
		return r.registerRows(), nil
	case "counts":
		return r.countRows(), nil
	}
	return nil, apierror.New(apierror.NotFound, "unknown query kind %q", q.What)
}

// requestRows lists the state transitions of one request, or of all in the audit log if id is empty.
func (r *Router) requestRows(id string) (rows []Row) {
	for _, e := range r.audit.find(func(e Event) bool { return id == "" || e.Request == id }) {
		rows = append(rows, Row{"proxy": r.options.Name, "request": e.Request, "tenant": e.Tenant, "prior": e.Prior,
			"new": e.New, AttemptColumn: e.Attempt, "at": e.At.UTC().Format(time.RFC3339Nano), "reason": e.Reason, "replica": e.Replica})
	}
	return rows
}

// backlogRows lists the queues that are not empty.
func (r *Router) backlogRows() (rows []Row) {
	for _, d := range r.depths() {
		rows = append(rows, Row{"proxy": r.options.Name, "tenant": d.tenant, "pool": d.pool, "waiting": d.Count, "oldest_ms": d.Oldest.Milliseconds()})
	}
	return rows
}

// throttleRows lists the throttles that are active at this router.
func (r *Router) throttleRows() (rows []Row) {
	for _, n := range r.throttles.All() {
		rows = append(rows, Row{"where": r.options.Name, "scope": n.Scope, "remaining_ms": n.RemainingMs, "reason": n.Reason,
			AttemptColumn: n.Attempt, "mark": n.ID, "raw": n.Raw, "observed": n.Observed})
	}
	return rows
}

// replicaRows lists the replicas as this router sees them, sorted by name.
func (r *Router) replicaRows() (rows []Row) {
	v := r.view.Load()
	if v == nil {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(v.replicas)) {
		rep := v.replicas[name]
		row := Row{"proxy": r.options.Name, "replica": name, "pool": rep.Pool, "zone": rep.Zone, "state": rep.State,
			"own_running": rep.running.Load(), "share": rep.share, "fit": false}
		if report := rep.report.Load(); report != nil {
			row["weights"], row["running"], row["warm"] = report.Weights, report.Running, report.Warm
			row["report_ms"] = time.Since(report.at).Milliseconds()
		}
		if p := v.pools[rep.Pool]; p != nil {
			row["fit"] = r.servesAny(v, p, rep)
		}
		rows = append(rows, row)
	}
	return rows
}

// servesAny reports whether a replica can serve some model of its pool now; true for every replica of a pool without models.
func (r *Router) servesAny(v *View, p *pool, rep *replica) bool {
	serves := len(p.Models) == 0
	for _, model := range append([]string{""}, p.Models...) {
		_, can := r.canServe(v, p, rep, model, time.Now())
		serves = serves || can
	}
	return serves
}

// registerRows lists the fields of the configuration, the replicas and the access keys as received from the agent.
func (r *Router) registerRows() (rows []Row) {
	for _, key := range r.agent.Keys() {
		if key == config.Key || key == config.ReplicasKey || strings.HasPrefix(key, config.KeysPrefix) {
			state := r.agent.Read(key)
			rows = append(rows, FieldRows(r.options.Name, key, state.Revision, state.Fields)...)
		}
	}
	return rows
}

// countRows lists the counters in one row.
func (r *Router) countRows() []Row {
	row := Row{"proxy": r.options.Name, "index": r.index.Len(), "room_used": r.bodyMemory.inUse()}
	for name, n := range r.counts.all() {
		row[name] = n
	}
	return []Row{row}
}
