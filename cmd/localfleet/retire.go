package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/fake"
)

// adapters are what the script moves: all on ridge-1, each with a build for ridge-2.
const adapters = `{"adapters":[
  {"name":"closure-notices","base":"ridge-1","builds":{"ridge-1":"closures-7","ridge-2":"closures-8"}},
  {"name":"hut-bookings","base":"ridge-1","builds":{"ridge-1":"huts-3","ridge-2":"huts-4"}},
  {"name":"session-annotations","base":"ridge-1","builds":{"ridge-1":"sessions-11","ridge-2":"sessions-12"}}],
 "paths":[
  {"name":"closure-notices","address":"/v1/chat/completions","model":"closure-notices","pool":"quick","adapter":"closure-notices"},
  {"name":"hut-bookings","address":"/v1/chat/completions","model":"hut-bookings","pool":"deep","adapter":"hut-bookings"},
  {"name":"session-annotations","address":"/v1/chat/completions","model":"session-annotations","targets":[{"pool":"quick","share":1},{"pool":"deep","share":1}],
   "adapter":"session-annotations"}]}`

var adapterKinds = []fake.RequestKind{{Name: "closure-notices", Prefix: 512, Own: 128, Chunks: 5, Weight: 40}, {Name: "hut-bookings", Prefix: 4096, Own: 512, Chunks: 15, Weight: 30},
	{Name: "session-annotations", Prefix: 4096, Own: 512, Chunks: 25, Weight: 30}}

const adapterRate = 20

// retire moves three adapters to another base under their own clients, and has the old base dropped everywhere.
func retire(ctx context.Context, f *fleet) error {
	return move(ctx, f, func(*retirementWatcher) error { return nil })
}

// retireKill kills the core that runs the retirement once the first route has switched, and its successor at the first drop.
func retireKill(ctx context.Context, f *fleet) error {
	return move(ctx, f, func(w *retirementWatcher) error {
		for _, step := range []struct{ kind, column, value string }{{"adapter", "phase", "switched"}, {"retirement", "phase", "dropping"}} {
			holder := ""
			err := eventually(ctx, 60*time.Second, "it is "+step.value, func() bool {
				at := w.count(step.kind, step.column, step.value) > 0
				holder, _, _ = strings.Cut(w.holder, ".")
				return at && holder != ""
			})
			if err != nil {
				return err
			}
			w.say("%s has the duty: it is killed", holder)
			if err := f.end(syscall.SIGKILL, holder); err != nil {
				return err
			}
			after(ctx, 4*time.Second)
			if err := f.again(holder); err != nil {
				return err
			}
			if err := eventually(ctx, 15*time.Second, holder+" is ready again", f.isFounded); err != nil {
				return err
			}
		}
		return nil
	})
}

func move(ctx context.Context, f *fleet, disturb func(w *retirementWatcher) error) error {
	if _, err := f.order(ctx, config.Key, controlplane.ConfigChange{Text: []byte(adapters), Partial: true}); err != nil {
		return err
	}
	w := &retirementWatcher{fleet: f, began: time.Now(), shown: map[string]string{}}
	if err := eventually(ctx, 90*time.Second, "every replica has its adapters", func() bool { return w.count("replica", "waits_for", "") == f.options.replicas }); err != nil {
		return err
	}
	w.say("every replica has the adapters on ridge-1")
	asking, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	callers.Go(func() {
		o := fake.LoadOptions{Callers: f.keys[:len(f.tenants)], Proxies: f.proxies, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
			Count: adapterRate, Rate: adapterRate, Keyed: 0.3, Repeat: 0.1, Seed: f.options.seed, Deadline: time.Minute, Kinds: adapterKinds, Ledger: f.tookAnswer}
		for asking.Err() == nil { // about a second of them; what was asked is answered before the end
			o.Seed, o.Prefix = o.Seed+1, fmt.Sprintf("adapter-%d", o.Seed)
			fake.Load(ctx, o)
		}
	})
	after(ctx, 3*time.Second)
	if _, err := f.order(ctx, "retirement", controlplane.RetirementChange{Action: "retire", Old: "ridge-1", New: "ridge-2"}); err != nil {
		return err
	}
	w.say("retire model ridge-1 for ridge-2: accepted")
	if err := disturb(w); err != nil {
		return err
	}
	err := eventually(ctx, 120*time.Second, "ridge-1 is retired", func() bool { return w.count("retirement", "phase", "retired") == 1 })
	if err != nil {
		return err
	}
	after(ctx, 3*time.Second)
	stop()
	callers.Wait()
	f.noteAnswers(w.began)
	return nil
}

// tookAnswer records an answer to a client of this process.
func (f *fleet) tookAnswer(a fake.Exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probed = append(f.probed, a)
}

// retirementWatcher prints each step of an adapter or of the retirement, and records the routes in the fact log.
type retirementWatcher struct {
	fleet *fleet
	began time.Time
	shown map[string]string

	holder string // of the duty, as last seen
}

func (w *retirementWatcher) say(format string, args ...any) {
	fmt.Printf("%6.1f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// count reads the retirement and returns the number of rows of a kind with a value in a column.
func (w *retirementWatcher) count(kind, column, value string) (n int) {
	for _, row := range w.fleet.query("retirement") {
		name, line := fmt.Sprint(row["name"]), fmt.Sprintf("%s %s: %s", row["kind"], row["name"], row["phase"])
		waits := fmt.Sprint(row["waits_for"])
		if row["kind"] == kind && row[column] == value {
			n++
		}
		switch row["kind"] {
		case "replica":
			continue
		case "retirement":
			w.holder = fmt.Sprint(row["holder"])
		case "route":
			line = fmt.Sprintf("route of %s: %s, build %s", name, row["base"], row["build"])
		}
		key := fmt.Sprint(row["kind"], " ", name)
		if before, ok := w.shown[key]; before == line {
			continue
		} else if row["kind"] == "route" && ok {
			w.fleet.factLog.Add(fake.Fact{Kind: fake.Base, Name: name, Value: fmt.Sprint(row["base"])})
		}
		w.shown[key] = line
		if waits != "" {
			line += ", waits for " + waits
		}
		w.say("%s", line)
	}
	return n
}

// noteAnswers prints by second and adapter how many whole answers came from a single run, and how many of those from the moved adapter.
func (f *fleet) noteAnswers(began time.Time) {
	runs := map[string][]fake.Run{}
	for name := range f.replicas {
		for _, r := range fake.LastOfEach(readLines[fake.Run](f.path(name + ".ledger"))) {
			if r.HasRun && r.Adapter != "" {
				runs[r.Tag] = append(runs[r.Tag], r)
			}
		}
	}
	type cell struct{ all, single, moved int }
	bySecond, sums := map[int]map[string]cell{}, cell{}
	for _, a := range f.probed {
		if len(runs[a.Tag]) == 0 && !strings.HasPrefix(a.Tag, "adapter-") {
			continue
		}
		second := int(a.At.Sub(began).Seconds())
		if bySecond[second] == nil {
			bySecond[second] = map[string]cell{}
		}
		c := bySecond[second][a.Kind]
		c.all, sums.all = c.all+1, sums.all+1
		if a.Status == 200 && a.Ended && len(runs[a.Tag]) == 1 {
			c.single, sums.single = c.single+1, sums.single+1
			if runs[a.Tag][0].Base == "ridge-2" {
				c.moved, sums.moved = c.moved+1, sums.moved+1
			}
		}
		bySecond[second][a.Kind] = c
	}
	f.note("asked / whole from a single run / of those from the moved adapter, by second")
	for _, second := range slices.Sorted(maps.Keys(bySecond)) {
		line := fmt.Sprintf("%4d s", second)
		for _, kind := range adapterKinds {
			c := bySecond[second][kind.Name]
			line += fmt.Sprintf("  %s %3d /%3d /%3d", kind.Name, c.all, c.single, c.moved)
		}
		f.note("%s", line)
	}
	f.note("in all: asked %d, whole from a single run %d, from the moved adapter %d", sums.all, sums.single, sums.moved)
}
