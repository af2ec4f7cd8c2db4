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

// placementOf reads what a request is to run on.
func placementOf(q *http.Request) config.Placement {
	return config.Placement{Adapter: q.Header.Get("X-Adapter"), Base: q.Header.Get("X-Base"), Build: q.Header.Get("X-Adapter-Build")}
}

// lacks says why a request cannot run here; empty: it can. r.mu is held.
func (r *Replica) lacks(on config.Placement) string {
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

// runs counts a request that begins (1) or ends (-1) on its base; r.mu is held.
func (r *Replica) runs(on config.Placement, step int) {
	if base, ok := r.bases[on.Base]; ok {
		base.Running += step
		r.bases[on.Base] = base
	}
}

// answered counts a whole answer of an adapter.
func (r *Replica) answered(on config.Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if has, ok := r.adapters[on.Key()]; ok && has.Build == on.Build {
		has.Live++
		r.adapters[on.Key()] = has
	}
}

// adapterReport is what the report tells of bases and adapters; r.mu is held.
func (r *Replica) adapterReport() router.AdapterReport {
	return router.AdapterReport{Bases: maps.Clone(r.bases), Adapters: maps.Clone(r.adapters)}
}

// takeOrder takes an order for a base or an adapter; one under an older lease than was met is refused.
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
			r.later(r.options.LoadMs, func() {
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
			r.later(r.options.LoadMs/4, func() {
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

// dropBase forgets a base with all upon it, and notes it in the ledger; r.mu is held.
func (r *Replica) dropBase(name string) {
	delete(r.bases, name)
	maps.DeleteFunc(r.adapters, func(key string, _ router.Adapter) bool { return strings.HasSuffix(key, "@"+name) })
	r.options.Ledger(Run{Replica: r.options.Name, Dropped: name, At: time.Now()})
}

// later does something under the lock when a load has taken its time.
func (r *Replica) later(ms int, do func()) {
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		do()
	})
}
