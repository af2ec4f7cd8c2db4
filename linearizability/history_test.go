package linearizability

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// addItem returns a write that adds one item named after its number.
func addItem(number, base uint64, digest string) Write {
	return Write{Number: number, Base: base, Digest: digest, Items: map[string]string{fmt.Sprint("item-", number): digest}}
}

// contents returns the items after the addItem writes of these numbers, all with the same digest.
func contents(digest string, numbers ...int) map[string]string {
	items := map[string]string{}
	for _, number := range numbers {
		items[fmt.Sprint("item-", number)] = digest
	}
	return items
}

func (r *Recorder) recordWrite(d Write, outcome Outcome) { r.Declare(d)(outcome) }

func (r *Recorder) recordRead(number uint64, items map[string]string) { r.Read()(number, items) }

type historyCase struct {
	name     string
	expected string // part of the error; empty if a sequence explains the history
	record   func(r *Recorder)
}

var histories = []historyCase{
	{"nothing", "", func(*Recorder) {}},
	{"a chain, repeated and read", "", func(r *Recorder) {
		r.recordRead(0, nil)
		r.recordWrite(addItem(3, 0, "a"), Acknowledged)
		r.recordWrite(addItem(5, 3, "a"), Acknowledged)
		r.recordWrite(addItem(3, 0, "a"), Acknowledged)
		r.recordRead(5, contents("a", 3, 5))
	}},
	{"a full write replaces all items", "", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Acknowledged)
		r.recordWrite(Write{Number: 2, Base: 1, Digest: "b", Full: true, Items: contents("b", 2)}, Acknowledged)
		r.recordWrite(Write{Number: 3, Base: 2, Digest: "c", Removed: []string{"item-2"}}, Acknowledged)
		r.recordRead(3, nil)
	}},
	{"one of two concurrent writes is acknowledged, the other is refused", "", func(r *Recorder) {
		one, other := r.Declare(addItem(1, 0, "a")), r.Declare(addItem(1, 0, "b"))
		other(Refused)
		one(Acknowledged)
	}},
	{"an unclear write is the base of an acknowledged one", "", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Unclear)
		r.recordWrite(addItem(1, 0, "b"), Unclear)
		r.recordWrite(addItem(2, 1, "b"), Acknowledged)
		r.recordRead(2, contents("b", 1, 2))
	}},
	{"an unclear write takes effect after its end", "", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Unclear)
		r.recordRead(0, nil)
		r.recordRead(1, contents("a", 1))
	}},
	{"a refusal because of an unclear write that nobody reads", "", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Acknowledged)
		r.recordWrite(addItem(2, 1, "a"), Unclear)
		r.recordWrite(addItem(3, 2, "a"), Unclear)
		r.recordWrite(addItem(4, 1, "a"), Refused)
		r.recordWrite(addItem(5, 2, "a"), Refused)
	}},
	{"refused before its base took effect, acknowledged later", "", func(r *Recorder) {
		first := r.Declare(addItem(1, 0, "a"))
		r.recordWrite(addItem(2, 1, "a"), Refused)
		first(Acknowledged)
		r.recordWrite(addItem(2, 1, "a"), Acknowledged)
	}},
	{"a rejected write is sent again", "", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Rejected)
		r.recordWrite(addItem(1, 0, "a"), Acknowledged)
	}},
	{"an acknowledged change is lost", "between it and its base, was acknowledged", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Acknowledged)
		r.recordWrite(addItem(2, 1, "a"), Acknowledged)
		r.recordWrite(addItem(3, 1, "a"), Acknowledged)
	}},
	{"an acknowledged change is lost, then read", "at the earliest", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Acknowledged)
		r.recordWrite(addItem(2, 1, "a"), Acknowledged)
		r.recordRead(1, contents("a", 1))
	}},
	{"two contents under one number", "two contents", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Acknowledged)
		r.recordWrite(addItem(1, 0, "b"), Acknowledged)
	}},
	{"refused from an outdated copy", "at the earliest", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Acknowledged)
		r.recordWrite(addItem(2, 1, "a"), Acknowledged)
		r.recordWrite(addItem(3, 2, "a"), Refused)
		r.recordWrite(addItem(4, 2, "a"), Acknowledged)
	}},
	{"refused without any other write", "at the earliest", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Refused)
	}},
	{"refused after it was acknowledged", "at the earliest", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Acknowledged)
		r.recordWrite(addItem(2, 1, "a"), Acknowledged)
		r.recordWrite(addItem(2, 1, "a"), Refused)
	}},
	{"refused, but in effect", "no write of it can have taken effect", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Acknowledged)
		r.recordWrite(addItem(2, 1, "a"), Refused)
		r.recordRead(2, contents("a", 1, 2))
	}},
	{"rejected, but in effect", "no write of it can have taken effect", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Rejected)
		r.recordRead(1, contents("a", 1))
	}},
	{"acknowledged on a base that was refused", "no write of it can have taken effect", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Refused)
		r.recordWrite(addItem(2, 1, "a"), Acknowledged)
	}},
	{"a number lower than its base", "between it and its base", func(r *Recorder) {
		r.recordWrite(addItem(3, 0, "a"), Acknowledged)
		r.recordWrite(addItem(2, 3, "a"), Acknowledged)
	}},
	{"a stale read", "at the earliest", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Acknowledged)
		r.recordRead(0, nil)
	}},
	{"a read returns an older version than an earlier read", "at the earliest", func(r *Recorder) {
		first := r.Declare(addItem(1, 0, "a"))
		r.recordRead(1, contents("a", 1))
		r.recordRead(0, nil)
		first(Acknowledged)
	}},
	{"a partial read", "a read returned", func(r *Recorder) {
		r.recordWrite(addItem(1, 0, "a"), Acknowledged)
		r.recordWrite(addItem(2, 1, "a"), Acknowledged)
		r.recordRead(2, contents("a", 2))
	}},
	{"a read of a number that was never written", "no write of it can have taken effect", func(r *Recorder) { r.recordRead(7, nil) }},
	{"read before it was written", "at the earliest", func(r *Recorder) {
		done := r.Read()
		done(1, contents("a", 1))
		r.recordWrite(addItem(1, 0, "a"), Acknowledged)
	}},
}

func TestCheckOfKnownHistories(t *testing.T) {
	for _, p := range histories {
		t.Run(p.name, func(t *testing.T) {
			r := &Recorder{}
			p.record(r)
			err := r.Check()
			if p.expected == "" {
				is.New(t).NoErr(err)
			} else if err == nil || !strings.Contains(err.Error(), p.expected) {
				t.Errorf("Check returned %v, expected %q", err, p.expected)
			}
		})
	}
}

// referenceStore applies one call at a time according to the rules of numbered configurations.
type referenceStore struct {
	number  uint64
	items   map[string]string
	applied map[identity]bool
}

func (s *referenceStore) apply(d Write) Outcome {
	switch {
	case s.applied[d.identity()]:
		return Acknowledged
	case d.Base != s.number || d.Number <= s.number:
		return Refused
	}
	s.number = d.Number
	s.applied[d.identity()] = true
	for name, value := range d.Items {
		s.items[name] = value
	}
	return Acknowledged
}

// Checks that the checker accepts all histories of a correct store, with overlapping calls and lost answers, and that it rejects most
// histories in which one answer was falsified.
func TestCheckAcceptsHistoriesOfACorrectStore(t *testing.T) {
	detected := 0
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 5))
		if err := randomHistory(random, false).Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if randomHistory(random, true).Check() != nil {
			detected++
		}
	}
	t.Logf("%d of 2000 falsified histories detected", detected)
	if detected < 1000 {
		t.Errorf("only %d of 2000 falsified histories were detected", detected)
	}
}

// randomHistory runs overlapping calls on a correct store. If falsified is set, one outcome is inverted.
func randomHistory(random *rand.Rand, falsified bool) *Recorder {
	r, store := &Recorder{}, &referenceStore{items: map[string]string{}, applied: map[identity]bool{}}
	var steps []func() // pending steps, each of which applies a call or ends it
	falsifiedAt := random.IntN(20)
	for n := range 30 {
		base := store.number - min(store.number, uint64(random.IntN(2)))
		d := addItem(base+1+uint64(random.IntN(2)), base, fmt.Sprint(random.IntN(2)))
		done, lost := r.Declare(d), random.IntN(5) == 0
		steps = append(steps, func() {
			outcome := store.apply(d)
			if falsified && n >= falsifiedAt {
				outcome, falsified = Acknowledged+Refused-outcome, false
			}
			steps = append(steps, func() {
				if !lost {
					done(outcome)
				}
			})
		})
		if random.IntN(4) == 0 {
			shown := r.Read()
			steps = append(steps, func() {
				number, items := store.number, map[string]string{}
				for name, value := range store.items {
					items[name] = value
				}
				steps = append(steps, func() { shown(number, items) })
			})
		}
		for len(steps) > random.IntN(4) {
			i := random.IntN(len(steps))
			step := steps[i]
			steps = append(steps[:i], steps[i+1:]...)
			step()
		}
	}
	return r
}
