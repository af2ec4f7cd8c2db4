//go:build review

package testbed

import (
	"fmt"
	"time"
)

func init() { scenarios["wall"] = scenario{site: karri, models: []string{"m0"}, play: playWall} }

// playWall makes a tenant isolated while replicas keep parts of prompts that its requests have made. Without trouble the same amendment
// leaves it as it is.
func playWall(f *fleet, trouble bool) (broken []string, err error) {
	other := tenant("t2", false, "key-two")
	tenants := []map[string]any{tenant("t1", false, "key-one"), other}
	if _, err := f.order("/Config.Replace", 0, configuration(1, []string{"m0"}, []map[string]any{route("r1")}, tenants)); err != nil {
		return nil, err
	}
	for _, key := range []string{"key-one", "key-two"} {
		if err := f.awaitService("/r1/x", key, "m0"); err != nil {
			return nil, err
		}
	}
	const rounds = 10
	for n := range rounds {
		for _, m := range f.edges() {
			if !f.send(m, "/r1/x", "key-one", "m0", fmt.Sprintf("5c1e07a2:800,91bd3f06:410,a%d:250", n)).served() {
				return nil, fmt.Errorf("a request of t1 was not served at %s", m.name)
			}
		}
	}
	change := map[string]any{"generation": 2, "upserts": map[string]any{"tenant_table": []map[string]any{tenant("t1", trouble, "key-one")}}, "removals": map[string]any{}}
	acknowledged, err := f.order("/Config.Amend", 1, change)
	if err != nil {
		return nil, err
	}
	time.Sleep(configApply + contactTime)
	served := 0
	for n := range rounds {
		for _, m := range f.edges() {
			t := f.send(m, "/r1/x", "key-two", "m0", fmt.Sprintf("5c1e07a2:800,91bd3f06:410,b%d:250", n))
			if t.served() {
				served++
			}
			broken = append(broken, f.foreignParts(t, trouble, acknowledged)...)
		}
	}
	if served < rounds*len(f.edges())/2 {
		return nil, fmt.Errorf("only %d requests of t2 were served", served)
	}
	return broken, nil
}

// foreignParts returns the kept parts of the other tenant that a request has used although one of the two is isolated.
func (f *fleet) foreignParts(t try, isolated bool, since time.Time) (broken []string) {
	if t.sent.Sub(since) <= configApply {
		return nil // the earlier configuration may still be applied
	}
	for _, done := range f.ran()[t.id] {
		for id, made := range done.used {
			if isolated && made.maker != done.tenant && made.maker == "t1" {
				broken = append(broken, fmt.Sprintf("request %s of tenant %s, sent %.1f s after t1 was made isolated, ran at %s on part %s that a request of tenant %s made",
					t.id, done.tenant, t.sent.Sub(since).Seconds(), done.replica, id, made.maker))
			}
		}
	}
	return broken
}
