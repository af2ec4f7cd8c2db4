//go:build review

package testbed

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["keys"] = scenario{site: karri, models: []string{"m0"}, play: playKeys} }

// playKeys takes the keys away from two tenants, one after the other, by removing the tenants. Without trouble the second one stays.
func playKeys(f *fleet, trouble bool) (broken []string, err error) {
	tenants := []map[string]any{tenant("t1", false, "key-one"), tenant("t2", true, "key-two")}
	if _, err := f.order("/Config.Replace", 0, configuration(1, []string{"m0"}, []map[string]any{route("r1")}, tenants)); err != nil {
		return nil, err
	}
	for _, key := range []string{"key-one", "key-two"} {
		if err := f.awaitService("/r1/x", key, "m0"); err != nil {
			return nil, err
		}
	}
	gone := map[string]time.Time{"key-never-held": {}, "": {}} // from when a key is not held any more
	if gone["key-one"], err = f.order("/Config.Amend", 1, map[string]any{"generation": 2, "upserts": map[string]any{}, "removals": map[string]any{"tenant_table": []string{"t1"}}}); err != nil {
		return nil, err
	}
	time.Sleep(revokeLimit + time.Second)
	broken = append(broken, f.playRound(gone)...)
	change := map[string]any{"generation": 3, "upserts": map[string]any{"tenant_table": tenants[1:]}, "removals": map[string]any{}}
	if trouble {
		change = map[string]any{"generation": 3, "upserts": map[string]any{}, "removals": map[string]any{"tenant_table": []string{"t2"}}}
	}
	acknowledged, err := f.order("/Config.Amend", 2, change)
	if err != nil {
		return nil, err
	}
	if trouble {
		gone["key-two"] = acknowledged
	}
	time.Sleep(revokeLimit + time.Second)
	broken = append(broken, f.playRound(gone)...)
	if !trouble {
		for _, m := range f.edges() {
			if !f.send(m, "/r1/x", "key-two", "m0", "aa01:410,bb01:20").served() {
				return nil, fmt.Errorf("the tenant that stays is not served at %s", m.name)
			}
		}
	}
	return broken, nil
}

// playRound sends requests with keys that no configuration in force holds, and returns those that have run.
func (f *fleet) playRound(gone map[string]time.Time) (broken []string) {
	const perEdge = 5
	var tries []try
	for range perEdge {
		for _, m := range f.edges() {
			for key := range gone {
				tries = append(tries, f.send(m, "/r1/x", key, "m0", "aa01:410,bb01:20"))
			}
		}
	}
	ran := f.ran()
	for _, t := range tries {
		since, held := gone[t.key], !gone[t.key].IsZero()
		for _, done := range ran[t.id] {
			what := "a key that no configuration ever held (ROUTE)"
			if held && t.sent.Sub(since) <= revokeLimit {
				continue // the bound of the rule has not passed
			}
			if held {
				what = fmt.Sprintf("a key that was taken away %.1f s before it was sent (CONFIG)", t.sent.Sub(since).Seconds())
			}
			broken = append(broken, fmt.Sprintf("request %s with key %q ran at %s under tenant %q with %s; its client got %d %s",
				t.id, t.key, done.replica, done.tenant, what, t.status, http.StatusText(t.status)))
		}
	}
	return broken
}
