package fake

import (
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"time"

	"asterridge/config"
	"asterridge/router"
)

// placementOf reads the base model and the adapter that a request names.
func placementOf(q *http.Request) config.Placement {
	return config.Placement{Adapter: q.Header.Get("X-Adapter"), Base: q.Header.Get("X-Base"), Build: q.Header.Get("X-Adapter-Build")}
}

// missing returns the reason for which the replica cannot run a placement, or "" if it can. The caller holds r.mu.
func (r *Replica) missing(on config.Placement) string {
	base, ok := r.bases[on.Base]
	has := r.adapters[on.Key()]
	switch {
	case on.Adapter == "":
		return ""
	case !ok || base.Loading:
		return "base_gone"
	case has.Build != on.Build || has.State != router.AdapterTried:
		return "adapter_gone"
	}
	return ""
}

// addRunning changes the count of running requests of a placement's base by one: 1 when a request begins, -1 when it ends. The caller holds r.mu.
func (r *Replica) addRunning(on config.Placement, step int) {
	if base, ok := r.bases[on.Base]; ok {
		base.Running += step
		r.bases[on.Base] = base
	}
}

// countAnswer counts one whole answer given by an adapter.
func (r *Replica) countAnswer(on config.Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if has, ok := r.adapters[on.Key()]; ok && has.Build == on.Build {
		has.Live++
		r.adapters[on.Key()] = has
	}
}

// adapterReport returns the part of the load report about bases and adapters. The caller holds r.mu.
func (r *Replica) adapterReport() router.AdapterReport {
	return router.AdapterReport{Bases: maps.Clone(r.bases), Adapters: maps.Clone(r.adapters)}
}

// takeOrder serves an order to load or drop a base or an adapter. An order under a lower lease epoch than one already seen is refused.
func (r *Replica) takeOrder(w http.ResponseWriter, q *http.Request) {
	var o router.AdapterOrder
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Base == "" {
		http.Error(w, "needs a base", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Lease < r.lease {
		http.Error(w, "an older lease", http.StatusConflict)
		return
	}
	r.lease = o.Lease
	base, ok := r.bases[o.Base]
	has := r.adapters[o.Key()]
	switch o.Do {
	case router.LoadBase:
		if !ok {
			r.bases[o.Base] = router.Base{Loading: true}
			r.after(r.options.LoadMs, func() {
				if r.bases[o.Base].Loading { // it may have been dropped meanwhile
					r.bases[o.Base] = router.Base{}
				}
			})
		}
	case router.LoadAdapter:
		if !ok || base.Loading {
			http.Error(w, "no such base", http.StatusConflict)
			return
		}
		if has.Build != o.Build {
			r.adapters[o.Key()] = router.Adapter{Build: o.Build, State: router.AdapterLoading}
			r.after(r.options.LoadMs/4, func() {
				if r.adapters[o.Key()].Build == o.Build {
					r.adapters[o.Key()] = router.Adapter{Build: o.Build, State: router.AdapterLoaded}
				}
			})
		}
	case router.TryAdapter:
		if has.Build != o.Build || has.State != router.AdapterLoaded {
			http.Error(w, "not loaded", http.StatusConflict)
			return
		}
		has.State = router.AdapterTried
		if o.Build == r.conducts[""].BadBuild {
			has.State = router.AdapterBad // its answer is not what the build was approved with
		}
		r.adapters[o.Key()] = has
	case router.DropBase:
		if base.Running > 0 {
			http.Error(w, "work runs on it", http.StatusConflict)
			return
		}
		if ok {
			r.dropBase(o.Base)
		}
	default:
		http.Error(w, "unknown order", http.StatusBadRequest)
	}
}

// dropBase removes a base with every adapter on it, and records that in the ledger. The caller holds r.mu.
func (r *Replica) dropBase(name string) {
	delete(r.bases, name)
	maps.DeleteFunc(r.adapters, func(key string, _ router.Adapter) bool { return strings.HasSuffix(key, "@"+name) })
	r.options.Ledger(Run{Replica: r.options.Name, Dropped: name, At: time.Now()})
}

// after runs a function under the lock once a load has taken its time.
func (r *Replica) after(ms int, do func()) {
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		do()
	})
}
