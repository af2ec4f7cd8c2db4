// Package linearizability checks what the callers of the control plane were told. It records the writes of numbered configurations and the
// reads, with the order in which they began and ended, and decides whether one linearizable sequence of versions explains all of them.
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
	// Unclear calls may have taken effect, may take effect later, or may never do so.
	Unclear Outcome = iota
	// Acknowledged calls have taken effect, by this call or by an identical earlier one.
	Acknowledged
	// Refused calls did not fit the content at that time: their base was not the present number, or their number was not higher than it.
	Refused
	// Rejected calls did not take effect, and prove nothing about the content at that time.
	Rejected
)

// Write is a configuration as an operator sends it.
type Write struct {
	Number  uint64
	Base    uint64
	Digest  string
	Full    bool // replaces all items; otherwise only Items and Removed change
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

// call is one write that was sent. Events are numbered from 1. A call without an answer has no end.
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

// Declare records that a write is being sent. The returned function records its outcome, which is Unclear until then.
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

// Read records that a read begins. The returned function records its result. A failed read is not recorded and has no effect.
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

// Check returns nil if a sequence of versions explains the history so far, or an error with the reason why none does.
func (r *Recorder) Check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return newChecker(r.calls, r.reads).check()
}

// version is a write that may have taken effect, with all identical calls of it.
type version struct {
	Write
	calls        []*call
	acknowledged bool
}

// maxAttempts is the maximum number of chains tried, because the search is exponential in the number of unclear calls.
const maxAttempts = 2000

// checker searches for a chain of versions that explains the history. Each version names its base, so the chain back from the newest known
// version is almost determined. A choice exists only between unclear calls with the same number, none of which was acknowledged.
type checker struct {
	reads        []*read
	refused      []*call
	byNumber     map[uint64][]*version
	byBase       map[uint64][]*version
	needed       []uint64 // numbers that were acknowledged or read, ascending
	attempts     int
	firstFailure error
}

// newChecker indexes a history for the search.
func newChecker(calls []*call, reads []*read) *checker {
	c := &checker{reads: reads, byNumber: map[uint64][]*version{}, byBase: map[uint64][]*version{}}
	all := map[identity]*version{}
	for _, sent := range calls {
		switch sent.outcome {
		case Refused:
			c.refused = append(c.refused, sent)
			continue
		case Rejected:
			continue
		}
		v := all[sent.identity()]
		if v == nil {
			v = &version{Write: sent.Write}
			all[sent.identity()] = v
			c.byNumber[sent.Number] = append(c.byNumber[sent.Number], v)
			c.byBase[sent.Base] = append(c.byBase[sent.Base], v)
		}
		v.calls = append(v.calls, sent)
		v.acknowledged = v.acknowledged || sent.outcome == Acknowledged
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

// check searches for a chain that ends in the newest number that was acknowledged or read, or in unclear versions after it.
func (c *checker) check() error {
	for _, number := range c.needed {
		var acknowledged []string
		for _, v := range c.byNumber[number] {
			if v.acknowledged {
				acknowledged = append(acknowledged, v.String())
			}
		}
		if len(acknowledged) > 1 {
			return fmt.Errorf("one number was acknowledged with two contents: %s", strings.Join(acknowledged, "; "))
		}
	}
	newest := uint64(0)
	if len(c.needed) > 0 {
		newest = c.needed[len(c.needed)-1]
	}
	if c.extendBackward(newest, nil) {
		return nil
	}
	if c.firstFailure == nil {
		return fmt.Errorf("no chain of versions leads from number %d back to the beginning", newest)
	}
	return c.firstFailure
}

// fail records the first reason for which a chain was rejected, and returns false.
func (c *checker) fail(format string, args ...any) bool {
	if c.firstFailure == nil {
		c.firstFailure = fmt.Errorf(format, args...)
	}
	return false
}

// extendBackward searches for the version with a number and for all versions before it. The argument later is the chain after that number,
// oldest first.
func (c *checker) extendBackward(number uint64, later []*version) bool {
	if number == 0 {
		return c.extendForward(append([]*version{{}}, later...))
	}
	candidates := c.byNumber[number]
	for _, v := range candidates {
		if v.acknowledged {
			candidates = []*version{v}
		}
	}
	if len(candidates) == 0 {
		return c.fail("number %d was read, or is the base of a version, but no write of it can have taken effect", number)
	}
	for _, v := range candidates {
		if v.Base >= v.Number {
			c.fail("%s took effect, although its number is not higher than its base", v)
			continue
		}
		if between, lost := c.neededBetween(v.Base, v.Number); lost {
			c.fail("%s took effect, but number %d, between it and its base, was acknowledged or read", v, between)
			continue
		}
		if c.extendBackward(v.Base, append([]*version{v}, later...)) {
			return true
		}
	}
	return false
}

// neededBetween returns the lowest number between two numbers that was acknowledged or read.
func (c *checker) neededBetween(above, below uint64) (number uint64, ok bool) {
	for _, number := range c.needed {
		if above < number && number < below {
			return number, true
		}
	}
	return 0, false
}

// extendForward tries a chain as it is, and then with unclear versions after its newest one. Nobody has read those versions, but calls may
// have been refused because of them.
func (c *checker) extendForward(chain []*version) bool {
	c.attempts++
	if c.attempts > maxAttempts {
		return c.fail("search stopped after %d chains", maxAttempts)
	}
	if c.hasConsistentTiming(chain) {
		return true
	}
	tip := chain[len(chain)-1]
	for _, v := range c.byBase[tip.Number] {
		if !v.acknowledged && v.Number > tip.Number && c.extendForward(append(slices.Clone(chain), v)) {
			return true
		}
	}
	return false
}

// timing bounds the moment at which each version of a chain took effect, as the number of the last event before it.
type timing struct {
	earliest, latest []int
	latestReason     []string // the reason for each latest bound
}

// refusalChoice is a pair of alternatives that a refusal leaves: its base took effect after the call began, or was replaced before the call
// ended.
type refusalChoice struct {
	base       int // index in the chain
	begin, end int
}

// hasConsistentTiming reports whether moments can be assigned to the versions of a chain, in the chain's order, that agree with all calls
// and reads. The lower bounds are raised to their least fixed point. The base of a refused call is moved after the call's beginning only
// when it can't have been replaced before the call's end.
func (c *checker) hasConsistentTiming(chain []*version) bool {
	t, position := initialTiming(chain)
	if !c.boundByReads(chain, position, &t) {
		return false
	}
	choices := c.boundByRefusals(chain, position, &t)
	for changed := true; changed; {
		changed = false
		raise := func(i, to int) {
			if t.earliest[i] < to {
				t.earliest[i], changed = to, true
			}
		}
		for i := 1; i < len(chain); i++ {
			raise(i, t.earliest[i-1])
		}
		for _, e := range choices {
			replaced := e.base+1 < len(chain) && t.earliest[e.base+1] < e.end
			if !replaced {
				raise(e.base, e.begin)
			}
		}
	}
	for i := range chain {
		if t.earliest[i] > t.latest[i] {
			return c.fail("%s took effect after event %d at the earliest, but %s", chain[i], t.earliest[i], t.latestReason[i])
		}
	}
	return true
}

// initialTiming bounds each version by its own calls. The first version of a chain is the empty one, which exists from the beginning.
func initialTiming(chain []*version) (t timing, position map[uint64]int) {
	t = timing{make([]int, len(chain)), make([]int, len(chain)), make([]string, len(chain))}
	position = map[uint64]int{}
	t.latestReason[0] = "it existed from the beginning"
	for i, v := range chain {
		position[v.Number] = i
		if i == 0 {
			continue
		}
		t.earliest[i], t.latest[i] = math.MaxInt, math.MaxInt
		for _, sent := range v.calls {
			t.earliest[i] = min(t.earliest[i], sent.begin)
			if sent.outcome == Acknowledged {
				t.boundLatest(i, sent.end, "its acknowledgement")
			}
		}
	}
	return t, position
}

// boundLatest requires a version to take effect before an event.
func (t *timing) boundLatest(i, event int, what string) {
	if t.latest[i] > event-1 {
		t.latest[i] = event - 1
		t.latestReason[i] = fmt.Sprintf("%s is event %d", what, event)
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
		i := position[r.number] // all numbers that were read are in the chain
		if !maps.Equal(contents[i], r.items) {
			return c.fail("a read returned %v for number %d, which has %v", r.items, r.number, contents[i])
		}
		if i > 0 {
			t.boundLatest(i, r.end, "a read that returned it")
		}
		if i+1 < len(chain) {
			t.earliest[i+1] = max(t.earliest[i+1], r.begin)
		}
	}
	return true
}

// boundByRefusals applies the bounds that follow from the refused calls.
func (c *checker) boundByRefusals(chain []*version, position map[uint64]int, t *timing) (choices []refusalChoice) {
	for _, refused := range c.refused {
		i, ok := position[refused.Base]
		applied := ok && i+1 < len(chain) && chain[i+1].identity() == refused.identity()
		switch {
		case !ok || refused.Number <= refused.Base:
			// it can't have fitted at any time
		case applied:
			t.earliest[i] = max(t.earliest[i], refused.begin) // refused before its base took effect; afterwards it fits or is applied
		default:
			choices = append(choices, refusalChoice{i, refused.begin, refused.end})
		}
	}
	return choices
}
