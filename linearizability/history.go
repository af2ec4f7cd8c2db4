// Package linearizability judges what operators were told. It records the declarations of numbered configurations and the reads, with the order
// of their beginnings and ends, and decides whether one linearizable sequence of versions explains all of them.
package linearizability

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
)

// Outcome is what the caller of a write learned from the answer.
type Outcome int

const (
	// Unclear calls may have been taken, or may be taken later, or never.
	Unclear Outcome = iota
	// Acknowledged calls were taken, by this call or by an identical one before.
	Acknowledged
	// Refused calls did not fit what was there: another base, or a number not above the present one.
	Refused
	// Rejected calls were not taken, and say nothing of what was there.
	Rejected
)

// Write is a configuration as an operator sends it.
type Write struct {
	Number  uint64
	Base    uint64
	Digest  string
	Full    bool // replaces all items; else changes those named
	Items   map[string]string
	Removed []string
}

// identity distinguishes writes: only identical ones receive the same answer.
type identity struct {
	number, base uint64
	digest       string
}

// identity returns what distinguishes a write from others.
func (d Write) identity() identity { return identity{d.Number, d.Base, d.Digest} }

// String describes a write for a report.
func (d Write) String() string {
	return fmt.Sprintf("number %d on %d (%s)", d.Number, d.Base, d.Digest)
}

// call is one write that was sent. Events are numbered from 1; a call without an answer has no end.
type call struct {
	Write
	outcome    Outcome
	begin, end int
}

// read is one answered read.
type read struct {
	number     uint64
	items      map[string]string
	begin, end int
}

// Recorder collects a history. Its methods are safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	event int
	calls []*call
	reads []*read
}

// Declare records that a write is being sent; the returned function records its outcome. Until that is called the outcome is unclear.
func (r *Recorder) Declare(d Write) (done func(Outcome)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.event++
	c := &call{Write: d, begin: r.event, end: math.MaxInt}
	r.calls = append(r.calls, c)
	return func(outcome Outcome) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.event++
		c.outcome = outcome
		c.end = r.event
	}
}

// Read records that a read begins; the returned function records what it showed. A failed read is not recorded and has no effect.
func (r *Recorder) Read() (done func(number uint64, items map[string]string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.event++
	begin := r.event
	return func(number uint64, items map[string]string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.event++
		r.reads = append(r.reads, &read{number, items, begin, r.event})
	}
}

// Count returns the number of writes that ended with an outcome.
func (r *Recorder) Count(outcome Outcome) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		if c.outcome == outcome {
			count++
		}
	}
	return count
}

// Check returns an error that says why no sequence of versions explains the history so far, or nil if one does.
func (r *Recorder) Check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return newChecker(r.calls, r.reads).check()
}

// version is a write that may have taken effect, with all identical calls.
type version struct {
	Write
	calls        []*call
	acknowledged bool
}

// maxAttempts bounds the search, which is exponential in the unclear calls.
const maxAttempts = 2000

// checker searches for a chain of versions. Each version names its base, so the chain back from the newest known version is nearly
// determined: there is a choice only among unclear calls, where none was acknowledged.
type checker struct {
	reads     []*read
	refused   []*call
	byNumber  map[uint64][]*version
	byBase    map[uint64][]*version
	needed    []uint64 // numbers that were acknowledged or read, ascending
	tries     int
	firstFail error
}

// newChecker indexes a history for the search.
func newChecker(calls []*call, reads []*read) *checker {
	c := &checker{reads: reads, byNumber: map[uint64][]*version{}, byBase: map[uint64][]*version{}}
	all := map[identity]*version{}
	for _, made := range calls {
		switch made.outcome {
		case Refused:
			c.refused = append(c.refused, made)
			continue
		case Rejected:
			continue
		}
		v := all[made.identity()]
		if v == nil {
			v = &version{Write: made.Write}
			all[made.identity()] = v
			c.byNumber[made.Number] = append(c.byNumber[made.Number], v)
			c.byBase[made.Base] = append(c.byBase[made.Base], v)
		}
		v.calls = append(v.calls, made)
		v.acknowledged = v.acknowledged || made.outcome == Acknowledged
	}
	needed := map[uint64]bool{}
	for _, v := range all {
		if v.acknowledged {
			needed[v.Number] = true
		}
	}
	for _, r := range reads {
		if r.number > 0 {
			needed[r.number] = true
		}
	}
	c.needed = slices.Sorted(maps.Keys(needed))
	return c
}

// check tries every newest version that the history allows.
func (c *checker) check() error {
	for _, number := range c.needed {
		var acknowledged []string
		for _, v := range c.byNumber[number] {
			if v.acknowledged {
				acknowledged = append(acknowledged, v.String())
			}
		}
		if len(acknowledged) > 1 {
			return fmt.Errorf("one number with two contents was acknowledged: %s", strings.Join(acknowledged, "; "))
		}
	}
	newest := uint64(0)
	if len(c.needed) > 0 {
		newest = c.needed[len(c.needed)-1]
	}
	if c.isExplainedBack(newest, nil) {
		return nil
	}
	if c.firstFail == nil {
		return fmt.Errorf("no chain of versions from number %d back to the beginning was found", newest)
	}
	return c.firstFail
}

// fail records the reason for which the most complete chain so far was rejected.
func (c *checker) fail(format string, args ...any) bool {
	if c.firstFail == nil {
		c.firstFail = fmt.Errorf(format, args...)
	}
	return false
}

// isExplainedBack looks for the version under a number and for all versions before it. The argument later is the chain from there on,
// oldest first.
func (c *checker) isExplainedBack(number uint64, later []*version) bool {
	if number == 0 {
		return c.isExplainedOn(append([]*version{{}}, later...))
	}
	candidates := c.byNumber[number]
	for _, v := range candidates {
		if v.acknowledged {
			candidates = []*version{v}
		}
	}
	if len(candidates) == 0 {
		return c.fail("number %d is there, or is the base of what is, and nobody declared it, or it was refused", number)
	}
	for _, v := range candidates {
		if v.Base >= v.Number {
			c.fail("%s was taken", v)
			continue
		}
		if between, lost := c.neededBetween(v.Base, v.Number); lost {
			c.fail("%s was taken, and number %d between the two was acknowledged or read", v, between)
			continue
		}
		if c.isExplainedBack(v.Base, append([]*version{v}, later...)) {
			return true
		}
	}
	return false
}

// neededBetween returns what the calls require between two versions.
func (c *checker) neededBetween(above, below uint64) (number uint64, ok bool) {
	for _, number := range c.needed {
		if above < number && number < below {
			return number, true
		}
	}
	return 0, false
}

// isExplainedOn tries a chain as it is, and then with unclear versions after its newest: nobody has read them, but calls may have been
// refused because of them.
func (c *checker) isExplainedOn(chain []*version) bool {
	c.tries++
	if c.tries > maxAttempts {
		return c.fail("gave up after %d chains", maxAttempts)
	}
	if c.isTimely(chain) {
		return true
	}
	tip := chain[len(chain)-1]
	for _, v := range c.byBase[tip.Number] {
		if !v.acknowledged && v.Number > tip.Number && c.isExplainedOn(append(slices.Clone(chain), v)) {
			return true
		}
	}
	return false
}

// timing bounds the moment at which each version of a chain took effect, given as the last event before it.
type timing struct {
	least, most []int
	why         []string // of most
}

// either is the choice that a refusal leaves: its base came after the call began, or was replaced before the call ended.
type either struct {
	base       int // place in the chain
	begin, end int
}

// isTimely reports whether the versions of a chain can be given moments, in the chain's order, that agree with all calls and reads. Lower
// bounds rise to their least fixed point. A refusal's base must come later only once it is certain that it cannot have been replaced
// earlier.
func (c *checker) isTimely(chain []*version) bool {
	t, position := begin(chain)
	if !c.boundByReads(chain, position, &t) {
		return false
	}
	choices := c.boundByRefusals(chain, position, &t)
	for moving := true; moving; {
		moving = false
		raise := func(i, to int) {
			if t.least[i] < to {
				t.least[i], moving = to, true
			}
		}
		for i := 1; i < len(chain); i++ {
			raise(i, t.least[i-1])
		}
		for _, e := range choices {
			replaced := e.base+1 < len(chain) && t.least[e.base+1] < e.end
			if !replaced {
				raise(e.base, e.begin)
			}
		}
	}
	for i := range chain {
		if t.least[i] > t.most[i] {
			return c.fail("%s took effect after event %d at the earliest, but %s", chain[i], t.least[i], t.why[i])
		}
	}
	return true
}

// begin bounds each version by its own calls. The first version of a chain is the empty one, which was always there.
func begin(chain []*version) (t timing, position map[uint64]int) {
	t = timing{make([]int, len(chain)), make([]int, len(chain)), make([]string, len(chain))}
	position = map[uint64]int{}
	t.why[0] = "it was there from the beginning"
	for i, v := range chain {
		position[v.Number] = i
		if i == 0 {
			continue
		}
		t.least[i], t.most[i] = math.MaxInt, math.MaxInt
		for _, made := range v.calls {
			t.least[i] = min(t.least[i], made.begin)
			if made.outcome == Acknowledged {
				t.bound(i, made.end, "its acknowledgement")
			}
		}
	}
	return t, position
}

// bound requires a version to take effect before an event.
func (t *timing) bound(i, event int, what string) {
	if t.most[i] > event-1 {
		t.most[i] = event - 1
		t.why[i] = fmt.Sprintf("%s is event %d", what, event)
	}
}

// boundByReads applies the bounds that follow from the reads.
func (c *checker) boundByReads(chain []*version, position map[uint64]int, t *timing) bool {
	contents := make([]map[string]string, len(chain))
	for i, v := range chain {
		contents[i] = map[string]string{}
		if i > 0 && !v.Full {
			contents[i] = maps.Clone(contents[i-1])
		}
		for _, name := range v.Removed {
			delete(contents[i], name)
		}
		maps.Copy(contents[i], v.Items)
	}
	for _, r := range c.reads {
		i := position[r.number] // all numbers read are in the chain
		if !maps.Equal(contents[i], r.items) {
			return c.fail("a read shows %v under number %d, which is %v", r.items, r.number, contents[i])
		}
		if i > 0 {
			t.bound(i, r.end, "a read that shows it")
		}
		if i+1 < len(chain) {
			t.least[i+1] = max(t.least[i+1], r.begin)
		}
	}
	return true
}

// boundByRefusals applies the bounds that follow from the refused calls.
func (c *checker) boundByRefusals(chain []*version, position map[uint64]int, t *timing) (choices []either) {
	for _, made := range c.refused {
		i, ok := position[made.Base]
		taken := ok && i+1 < len(chain) && chain[i+1].identity() == made.identity()
		switch {
		case !ok || made.Number <= made.Base:
			// never fitted
		case taken:
			t.least[i] = max(t.least[i], made.begin) // refused before its base came; afterwards it either fits or is known
		default:
			choices = append(choices, either{i, made.begin, made.end})
		}
	}
	return choices
}
