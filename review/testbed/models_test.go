//go:build review

package testbed

import (
	"fmt"
	"time"
)

func init() {
	scenarios["models"] = scenario{site: karri, models: []string{"m0", "m1"}, play: playModels}
}

// playModels names new weights for one of two models that the same replicas serve. The route for the other model was added later.
func playModels(f *fleet, trouble bool) (broken []string, err error) {
	tenants := []map[string]any{tenant("t1", false, "key-one")}
	if _, err := f.order("/Config.Replace", 0, configuration(1, []string{"m0", "m1"}, []map[string]any{route("first")}, tenants)); err != nil {
		return nil, err
	}
	if err := f.awaitService("/first/x", "key-one", "m0"); err != nil {
		return nil, err
	}
	change := map[string]any{"generation": 2, "upserts": map[string]any{"route_table": []map[string]any{route("later")}}, "removals": map[string]any{}}
	if _, err := f.order("/Config.Amend", 1, change); err != nil {
		return nil, err
	}
	if err := f.awaitService("/later/x", "key-one", "m1"); err != nil {
		return nil, err
	}
	if trouble {
		if _, err := f.order("/version-put", 0, map[string]any{"model_name": "m0", "generation": 2}); err != nil {
			return nil, err
		}
		if err := f.awaitVersion("m0", 2); err != nil {
			return nil, err
		}
	}
	time.Sleep(contactTime)
	f.round("warm-up") // the first answers on the new weights
	time.Sleep(2 * contactTime)
	first, later, sent := f.round("calm time")
	f.record.write("served in calm time: first route %d of %d, later route %d of %d", first, sent, later, sent)
	if first < sent/2 {
		return nil, fmt.Errorf("only %d of %d requests on the first route were served", first, sent)
	}
	if 4*later < first {
		broken = append(broken, fmt.Sprintf("of %d requests each in calm time, %d were served on the first route and %d on the one added later", sent, first, later))
	}
	return broken, nil
}

// round sends requests on both routes in turn, each for its model, and counts those that were served.
func (f *fleet) round(name string) (first, later, sent int) {
	const perEdge = 15
	f.record.write("round: %s", name)
	for n := range perEdge {
		for _, m := range f.edges() {
			sent++
			if f.send(m, "/first/x", "key-one", "m0", fmt.Sprintf("aa%02d:410,c%d:20", n, n)).served() {
				first++
			}
			if f.send(m, "/later/x", "key-one", "m1", fmt.Sprintf("ab%02d:410,d%d:20", n, n)).served() {
				later++
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return first, later, sent
}

// awaitVersion waits until all replicas have a version of a model.
func (f *fleet) awaitVersion(model string, version int) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		there := 0
		for _, r := range f.replicas {
			r.mu.Lock()
			if r.models[model] == version {
				there++
			}
			r.mu.Unlock()
		}
		if there == len(f.replicas) {
			return nil
		}
	}
	return fmt.Errorf("not all replicas have version %d of %s after %v", version, model, startLimit)
}
