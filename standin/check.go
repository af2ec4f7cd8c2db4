package standin

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"
	"time"

	"asterridge/blueprint"
	"asterridge/register"
)

// Finding is one rule's count.
type Finding struct {
	Rule  int
	Name  string
	Count int
	First string // the first breach
	Seen  int    // how often the rule had something to judge: none, and a count of zero says nothing
}

// Ledgers are what a run left.
type Ledgers struct {
	Asked []Asked
	Runs  []Run
	Facts []Fact
	Rest  []State // what each core and proxy holds when all has come to rest
}

// State is what one daemon holds of the configuration.
type State struct {
	Where string
	Keys  map[string]Kept
}

// Kept is one register in a state.
type Kept struct {
	Version uint64
	Fields  register.Fields
}

// States sorts the rows of a query for fields by the daemon that said them.
func States(rows []map[string]any) (all []State) {
	byPlace := map[string]State{}
	for _, row := range rows {
		where, key, field := row["where"].(string), row["key"].(string), row["field"].(string)
		s, isKnown := byPlace[where]
		if !isKnown {
			s = State{where, map[string]Kept{}}
			byPlace[where] = s
		}
		k := s.Keys[key]
		if k.Fields == nil {
			version, _ := row["version"].(float64)
			k = Kept{uint64(version), register.Fields{}}
		}
		k.Fields[field], _ = json.Marshal(row["value"])
		s.Keys[key] = k
	}
	for _, s := range byPlace {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Where < all[j].Where })
	return all
}

var ruleNames = map[int]string{
	1: "not repeatable, ran twice", 2: "said not run, ran", 3: "not the replica's own whole answer", 4: "stream broken, or looks finished",
	5: "revoked key worked after 5 s", 6: "older configuration after 2 s", 7: "leaving replica got work after 3 s", 8: "another tenant's cache and a wall",
	9: "other weights' cache, or old weights after 20 s", 10: "second tries over a fifth", 11: "an accepted configuration is lost", 12: "service not back after 12 s",
	13: "a base dropped before its adapters answered on the new one", 14: "answered from the old base after 3 s",
}

const (
	allowance      = 30 // second tries of the whole fleet that are always free
	proxyAllowance = 10 // … of one proxy in a window
	window         = 10 * time.Second
	noticed        = 3 * time.Second // a wall counts for requests that run so long after it was accepted
	doubtful       = 5 * time.Second // the fleet may have a change so long before its operator hears the yes
)

// check is one comparison of ledgers.
type check struct {
	Ledgers
	findings []Finding
	byTag    map[string][]Run
	asked    map[string]Asked
	drops    []Run // of bases
}

// Check compares the ledgers and counts each rule's breaches.
func Check(l Ledgers) []Finding {
	c := &check{Ledgers: l, findings: make([]Finding, len(ruleNames)+1), byTag: map[string][]Run{}, asked: map[string]Asked{}}
	c.Runs, c.drops = apart(LastOfEach(l.Runs))
	c.Facts = slices.Clone(l.Facts)
	sort.SliceStable(c.Facts, func(i, j int) bool { return c.Facts[i].At.Before(c.Facts[j].At) })
	for _, r := range c.Runs {
		c.byTag[r.Tag] = append(c.byTag[r.Tag], r)
	}
	for _, a := range c.Asked {
		c.asked[a.Tag] = a
		c.request(a)
	}
	for _, r := range c.Runs {
		if r.HasRun {
			c.run(r)
		}
	}
	c.versions()
	c.secondTries()
	c.configuration()
	c.returns()
	c.retirements()
	for rule := range c.findings {
		c.findings[rule].Rule, c.findings[rule].Name = rule, ruleNames[rule]
	}
	return c.findings[1:]
}

// LastOfEach keeps the last line of each run: one is written when it starts, another when it ends.
func LastOfEach(lines []Run) (runs []Run) {
	at := map[string]int{}
	for _, r := range lines {
		place := r.Replica + " " + r.Salt
		if i, isThere := at[place]; isThere && r.Salt != "" {
			runs[i] = r
			continue
		}
		at[place] = len(runs)
		runs = append(runs, r)
	}
	return runs
}

func (c *check) found(rule int, format string, args ...any) {
	f := &c.findings[rule]
	f.Count++
	if f.First == "" {
		f.First = fmt.Sprintf(format, args...)
	}
}

func (c *check) seen(rule int) { c.findings[rule].Seen++ }

// request judges what one caller got: rules 1 to 4.
func (c *check) request(a Asked) {
	for _, f := range c.Facts {
		if f.Kind == Revoked && f.Name == blueprint.HashKey(a.Access) && a.At.Sub(f.At) > 0 {
			c.seen(5)
		}
	}
	ran := 0
	var own []Run // runs of the very request that the answer names
	for _, r := range c.byTag[a.Tag] {
		if r.HasRun {
			ran++
			if r.ID == a.ID {
				own = append(own, r)
			}
		}
	}
	if !a.IsRepeatable {
		if c.seen(1); ran > 1 {
			c.found(1, "%s ran %d times", a.Tag, ran)
		}
	}
	if a.Ran == "no" {
		if c.seen(2); ran > 0 {
			c.found(2, "%s code %d", a.Tag, a.Code)
		}
	}
	if a.Status == 0 || a.Code > 0 {
		return // no answer, or a bounce of the fleet's own
	}
	c.seen(3)
	if len(own) == 0 {
		if a.Length > 0 || a.IsEnded {
			c.found(3, "%s got an answer of id %q, which did not run for it", a.Tag, a.ID)
		}
		return
	}
	if a.Status == 200 && a.Kind != "web" {
		c.stream(a, own)
		return
	}
	if a.IsEnded && !slices.ContainsFunc(own, func(r Run) bool { return r.Sum == a.Sum }) {
		c.found(3, "%s status %d sum %s is none of its replica's", a.Tag, a.Status, a.Sum)
	}
}

// stream judges rule 4: what came is the beginning of what one run wrote; all of it, if it looks finished.
func (c *check) stream(a Asked, own []Run) {
	c.seen(4)
	isBeginning := false
	for _, r := range own {
		var all []byte
		for _, piece := range Stream(r.ID, r.Salt, r.Pieces) {
			all = append(all, piece...)
		}
		if a.Length > len(all) || a.Length > 0 && Sum(all[:a.Length]) != a.Sum {
			continue
		}
		isBeginning = true
		if a.Length == len(all) || !a.IsEnded {
			return
		}
	}
	if isBeginning {
		c.found(4, "%s looks finished after %d bytes", a.Tag, a.Length)
	} else {
		c.found(4, "%s: its %d bytes are not the beginning of any one run", a.Tag, a.Length)
	}
}

// latest gives the last fact of a kind and name that was accepted at or before a moment.
func (c *check) latest(kind, name string, at time.Time) (last Fact, isThere bool) {
	for _, f := range c.Facts {
		if f.Kind == kind && f.Name == name && !f.At.After(at) {
			last, isThere = f, true
		}
	}
	return last, isThere
}

// run judges what one run was given: rules 5 and 7 to 9.
func (c *check) run(r Run) {
	a := c.asked[r.Tag]
	for _, f := range c.Facts {
		late := r.At.Sub(f.At)
		if f.Kind == Leaving && late > 3*time.Second {
			c.seen(7) // it might have run there
		}
		if f.Kind == Revoked && !f.IsTried && late > 0 && f.Name == blueprint.HashKey(a.Access) {
			if late > 5*time.Second {
				c.found(5, "%s ran %v after", r.Tag, late)
			}
		}
	}
	state, isTold := c.latest(Leaving, r.Replica, r.At)
	if again, isBack := c.latest(Present, r.Replica, r.At.Add(doubtful)); isTold && !state.IsTried && (!isBack || again.At.Before(state.At)) {
		if r.At.Sub(state.At) > 3*time.Second {
			c.found(7, "%s ran on %s %v after", r.Tag, r.Replica, r.At.Sub(state.At))
		}
	}
	c.walls(r)
	c.route(r)
	pool, _, _ := strings.Cut(r.Replica, "-")
	if allowed, isKnown := c.weightsAt(pool, r.At); isKnown {
		if c.seen(9); !slices.Contains(allowed, r.Weights) {
			c.found(9, "%s on %s %s at %s, when only %v might start", r.Tag, r.Replica, r.Weights, r.At.Format("15:04:05.000"), allowed)
		}
	}
	if r.Outdated > 0 {
		c.found(9, "%s read %d blocks of other weights", r.Tag, r.Outdated)
	}
}

// weightsAt lists the weights that work may start on: those in force at any moment of the last 20 s.
func (c *check) weightsAt(pool string, at time.Time) (allowed []string, isKnown bool) {
	for _, f := range c.Facts {
		switch {
		case f.Kind != Weights || f.Name != pool || f.At.After(at.Add(doubtful)):
		case !f.IsTried && at.Sub(f.At) > 20*time.Second:
			allowed, isKnown = []string{f.Value}, true
		default:
			allowed = append(allowed, f.Value)
		}
	}
	return allowed, isKnown
}

// isWalled says whether a tenant's wall stood from a moment on for some time; in the time that news takes it is taken not to.
func (c *check) isWalled(tenant string, at time.Time) bool {
	before, isThere := c.latest(Wall, tenant, at.Add(-noticed))
	after, _ := c.latest(Wall, tenant, at.Add(doubtful))
	return isThere && !before.IsTried && before.Value == "up" && after.At.Equal(before.At)
}

// walls judges rule 8, both ways: what a walled tenant reads was made for it, in this life of its name, and what was made for it nobody else reads.
func (c *check) walls(r Run) {
	for tenant, made := range r.Met {
		isWalled := c.isWalled(r.Tenant, r.At)
		if isWalled || c.isWalled(tenant, made) {
			c.seen(8)
		}
		switch {
		case tenant != r.Tenant && isWalled:
			c.found(8, "%s of walled %s read what was made for %s", r.Tag, r.Tenant, tenant)
		case tenant != r.Tenant && c.isWalled(tenant, made):
			c.found(8, "%s of %s read what was made for walled %s", r.Tag, r.Tenant, tenant)
		case tenant == r.Tenant && isWalled:
			for _, f := range c.Facts {
				if f.Kind == Wall && f.Name == tenant && f.Value == "removed" && made.Before(f.At) && f.At.Before(r.At) {
					c.found(8, "%s of %s read what was made before the name was given anew", r.Tag, r.Tenant)
				}
			}
		}
	}
}

// versions judges rule 6: the version in force when the request was sent, and that none goes back at a proxy.
func (c *check) versions() {
	type sent struct {
		Asked
		at time.Time
	}
	byProxy := map[string][]sent{}
	for _, a := range c.Asked {
		if a.Blueprint == 0 {
			continue
		}
		s := sent{a, a.At.Add(time.Duration(a.WaitedMs) * time.Millisecond)}
		byProxy[a.Proxy] = append(byProxy[a.Proxy], s)
		c.seen(6)
		for _, f := range c.Facts {
			if f.Kind == Took && f.Name == blueprint.Key && !f.IsTried && a.Blueprint < f.Version && s.at.Sub(f.At) > 2*time.Second {
				c.found(6, "%s used %d, %d was accepted %v before it was sent", a.Tag, a.Blueprint, f.Version, s.at.Sub(f.At))
			}
		}
	}
	for proxy, all := range byProxy {
		sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
		// Sent between at and the first piece: a proxy that was frozen takes up later what had come before.
		var newest sent
		var by time.Time
		for _, s := range all {
			if s.Blueprint < newest.Blueprint && s.at.After(by) {
				c.found(6, "%s: %s used %d, %v after %s had used %d", proxy, s.Tag, s.Blueprint, s.at.Sub(by), newest.Tag, newest.Blueprint)
			}
			if begun := s.At.Add(time.Duration(s.FirstMs+1) * time.Millisecond); s.Blueprint > newest.Blueprint || s.Blueprint == newest.Blueprint && begun.Before(by) {
				newest, by = s, begun
			}
		}
	}
}

// secondTries judges rule 10 over the whole run, and in each window by proxy, across its restarts.
func (c *check) secondTries() {
	type shot struct {
		at      time.Time
		isFirst bool
	}
	byProxy := map[string][]shot{}
	first, second := 0, 0
	for tag, runs := range c.byTag {
		sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
		first++
		second += len(runs) - 1
		a, isAsked := c.asked[tag]
		if !isAsked {
			continue // by hand: no caller's ledger says by which proxy
		}
		for i, r := range runs {
			byProxy[a.Proxy] = append(byProxy[a.Proxy], shot{r.At, i == 0})
		}
	}
	c.findings[10].Seen = second
	if over := second - first/5 - allowance; over > 0 {
		c.findings[10].Count, c.findings[10].First = over, fmt.Sprintf("%d second tries for %d requests", second, first)
	}
	for proxy, shots := range byProxy {
		sort.Slice(shots, func(i, j int) bool { return shots[i].at.Before(shots[j].at) })
		from, firsts, seconds := 0, 0, 0
		for _, s := range shots {
			for shots[from].at.Before(s.at.Add(-window)) {
				if shots[from].isFirst {
					firsts--
				} else {
					seconds--
				}
				from++
			}
			if s.isFirst {
				firsts++
			} else if seconds++; seconds > firsts/5+proxyAllowance {
				c.found(10, "%s: %d second tries for %d first in %v", proxy, seconds, firsts, window)
			}
		}
	}
}

// returns judges rule 12: after all machines are back, every proxy gives a whole answer within 12 s.
func (c *check) returns() {
	proxies := map[string]bool{}
	for _, a := range c.Asked {
		proxies[a.Proxy] = true
	}
	for _, f := range c.Facts {
		if f.Kind != Returned {
			continue
		}
		for proxy := range proxies {
			c.seen(12)
			if back, isBack := c.back(proxy, f.At); !isBack || back > 12*time.Second {
				c.found(12, "%s gave no whole answer within 12 s", proxy)
			}
		}
	}
}

// back is how long after a moment a proxy's first whole answer came, of those asked after it.
func (c *check) back(proxy string, at time.Time) (least time.Duration, isBack bool) {
	for _, a := range c.Asked {
		if a.Proxy == proxy && a.Status == 200 && a.IsEnded && !a.At.Before(at) {
			if late := a.At.Add(time.Duration(a.AllMs) * time.Millisecond).Sub(at); !isBack || late < least {
				least, isBack = late, true
			}
		}
	}
	return least, isBack
}

// Returns gives, for each proxy, how long its first whole answer took after the last return of the machines.
func Returns(l Ledgers) (all []time.Duration) {
	c := &check{Ledgers: l}
	var last time.Time
	proxies := map[string]bool{}
	for _, f := range l.Facts {
		if f.Kind == Returned {
			last = f.At
		}
	}
	for _, a := range l.Asked {
		if late, isBack := c.back(a.Proxy, last); isBack && !proxies[a.Proxy] {
			proxies[a.Proxy] = true
			all = append(all, late)
		}
	}
	slices.Sort(all)
	return all
}

// configuration judges rule 11: at rest all daemons hold the same, and all that was accepted is in it.
func (c *check) configuration() {
	for key, want := range c.accepted() {
		for _, s := range c.Rest {
			kept, isThere := s.Keys[key]
			if !isThere && strings.HasPrefix(s.Where, "proxy") && key == blueprint.MembersKey {
				continue // proxies are not told of the members
			}
			if c.seen(11); kept.Version < want.version {
				c.found(11, "%s has version %d of %s, %d was accepted", s.Where, kept.Version, key, want.version)
				continue
			}
			for field, attributes := range want.fields {
				for name, values := range attributes {
					if !values.fit(kept.Fields[field], name) {
						c.found(11, "%s has %s of %s as %s, where %s must be %s", s.Where, field, key, kept.Fields[field], name, values)
					}
				}
			}
		}
	}
	for i, s := range c.Rest {
		for key, kept := range s.Keys {
			for _, other := range c.Rest[:i] {
				there, isThere := other.Keys[key]
				if isThere {
					c.seen(11)
				}
				if isThere && len(blueprint.Delta(there.Fields, kept.Fields)) > 0 {
					c.found(11, "%s and %s differ in %s", s.Where, other.Where, key)
				}
			}
		}
	}
}

// wanted is what must be there of one register: by field and attribute.
type wanted struct {
	version uint64
	fields  map[string]map[string]values
}

// values are the contents that one attribute may rightly have; nil stands for a field that is not there.
type values []json.RawMessage

func (v values) fit(field json.RawMessage, attribute string) bool {
	var has map[string]json.RawMessage
	_ = json.Unmarshal(field, &has) // none: no attribute
	return slices.ContainsFunc(v, func(want json.RawMessage) bool {
		if want == nil || has == nil {
			return want == nil && has == nil
		}
		var a, b any
		return attribute == "" || json.Unmarshal(has[attribute], &a) == nil && json.Unmarshal(want, &b) == nil && reflect.DeepEqual(a, b)
	})
}

func (v values) String() string {
	var all []string
	for _, raw := range v {
		all = append(all, string(raw))
	}
	return strings.Join(all, " or ")
}

// attributes takes a field's new content apart; a field that goes has the one attribute "", which is nil.
func attributes(value json.RawMessage) (all map[string]json.RawMessage) {
	if _ = json.Unmarshal(value, &all); all == nil {
		all = map[string]json.RawMessage{"": nil}
	}
	return all
}

// accepted works out from the facts what each register must have. Of several yeses under one version, or a change without an answer, any may stand.
func (c *check) accepted() map[string]wanted {
	all := map[string]wanted{}
	facts := slices.DeleteFunc(slices.Clone(c.Facts), func(f Fact) bool { return f.Kind != Took })
	sort.SliceStable(facts, func(i, j int) bool { return facts[i].Version < facts[j].Version })
	under := map[string]uint64{}
	for _, f := range facts {
		if f.IsTried {
			continue
		}
		w, isThere := all[f.Name]
		if !isThere {
			w = wanted{fields: map[string]map[string]values{}}
		}
		if f.IsWhole && f.Version > w.version {
			for field := range w.fields {
				w.fields[field] = map[string]values{"": {nil}}
			}
		}
		w.version = max(w.version, f.Version)
		for field, value := range f.Fields {
			has := w.fields[field]
			_, wasGone := has[""]
			isSameVersion := under[f.Name+field] == f.Version
			if has == nil || !isSameVersion && (wasGone || value == nil) || isSameVersion && wasGone != (value == nil) {
				has = map[string]values{} // of a change and a removal under one version nothing can be said
			}
			if isSameVersion && wasGone != (value == nil) {
				w.fields[field] = has
				continue
			}
			for name, content := range attributes(value) {
				if place := f.Name + field + " " + name; under[place] == f.Version {
					has[name] = append(has[name], content)
				} else {
					under[place], has[name] = f.Version, values{content}
				}
			}
			under[f.Name+field], w.fields[field] = f.Version, has
		}
		all[f.Name] = w
	}
	for _, f := range facts {
		if !f.IsTried {
			continue
		}
		if f.IsWhole {
			delete(all, f.Name) // nothing can be said of it
		}
		for field, value := range f.Fields {
			for name, may := range all[f.Name].fields[field] {
				if content, isNamed := attributes(value)[name]; isNamed || value == nil {
					all[f.Name].fields[field][name] = append(may, content)
				} else if len(may) == 1 && may[0] == nil {
					delete(all[f.Name].fields[field], name) // gone, or perhaps there again
				}
			}
		}
	}
	return all
}

// Summary counts what callers met.
func Summary(asked []Asked) string {
	counts := map[string]int{}
	var firsts []int64
	for _, a := range asked {
		switch {
		case a.Status == 200 && a.IsEnded:
			counts["whole"]++
			firsts = append(firsts, a.FirstMs)
		case a.Code > 0:
			counts[fmt.Sprintf("bounced %d", a.Code)]++
		case a.Status == 0:
			counts["no answer"]++
		default:
			counts["broken off"]++
		}
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprintf(&b, "requests %d", len(asked))
	for _, name := range names {
		fmt.Fprintf(&b, "; %s %d", name, counts[name])
	}
	if len(firsts) > 0 {
		sort.Slice(firsts, func(i, j int) bool { return firsts[i] < firsts[j] })
		fmt.Fprintf(&b, "; first piece p50 %d ms, p99 %d ms", firsts[len(firsts)/2], firsts[len(firsts)*99/100])
	}
	return b.String()
}
