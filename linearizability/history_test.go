package linearizability

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// amendment is a declaration that adds one item of its own.
func amendment(number, base uint64, digest string) Write {
	return Write{Number: number, Base: base, Digest: digest, Items: map[string]string{fmt.Sprint("item-", number): digest}}
}

// contents are the items after the amendments of these numbers, all with the same digest.
func contents(digest string, numbers ...int) map[string]string {
	items := map[string]string{}
	for _, number := range numbers {
		items[fmt.Sprint("item-", number)] = digest
	}
	return items
}

func (r *Recorder) declared(d Write, outcome Outcome) { r.Declare(d)(outcome) }

func (r *Recorder) shown(number uint64, items map[string]string) { r.Read()(number, items) }

type planted struct {
	name  string
	wants string // part of the finding; none: the history is explained
	play  func(r *Recorder)
}

var histories = []planted{
	{"nothing", "", func(*Recorder) {}},
	{"a chain, repeated and read", "", func(r *Recorder) {
		r.shown(0, nil)
		r.declared(amendment(3, 0, "a"), Acknowledged)
		r.declared(amendment(5, 3, "a"), Acknowledged)
		r.declared(amendment(3, 0, "a"), Acknowledged)
		r.shown(5, contents("a", 3, 5))
	}},
	{"a whole one replaces all", "", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Acknowledged)
		r.declared(Write{Number: 2, Base: 1, Digest: "b", Full: true, Items: contents("b", 2)}, Acknowledged)
		r.declared(Write{Number: 3, Base: 2, Digest: "c", Removed: []string{"item-2"}}, Acknowledged)
		r.shown(3, nil)
	}},
	{"one of two wins, the other is refused", "", func(r *Recorder) {
		one, other := r.Declare(amendment(1, 0, "a")), r.Declare(amendment(1, 0, "b"))
		other(Refused)
		one(Acknowledged)
	}},
	{"an unclear one is the base of an acknowledged one", "", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Unclear)
		r.declared(amendment(1, 0, "b"), Unclear)
		r.declared(amendment(2, 1, "b"), Acknowledged)
		r.shown(2, contents("b", 1, 2))
	}},
	{"an unclear one takes effect after its end", "", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Unclear)
		r.shown(0, nil)
		r.shown(1, contents("a", 1))
	}},
	{"a refusal because of an unclear one that nobody sees", "", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Acknowledged)
		r.declared(amendment(2, 1, "a"), Unclear)
		r.declared(amendment(3, 2, "a"), Unclear)
		r.declared(amendment(4, 1, "a"), Refused)
		r.declared(amendment(5, 2, "a"), Refused)
	}},
	{"refused before its base came, taken later", "", func(r *Recorder) {
		first := r.Declare(amendment(1, 0, "a"))
		r.declared(amendment(2, 1, "a"), Refused)
		first(Acknowledged)
		r.declared(amendment(2, 1, "a"), Acknowledged)
	}},
	{"a rejected one is sent again", "", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Rejected)
		r.declared(amendment(1, 0, "a"), Acknowledged)
	}},
	{"an acknowledged change is lost", "between the two was acknowledged", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Acknowledged)
		r.declared(amendment(2, 1, "a"), Acknowledged)
		r.declared(amendment(3, 1, "a"), Acknowledged)
	}},
	{"an acknowledged change is lost, then read", "at the earliest", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Acknowledged)
		r.declared(amendment(2, 1, "a"), Acknowledged)
		r.shown(1, contents("a", 1))
	}},
	{"two contents under one number", "two contents", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Acknowledged)
		r.declared(amendment(1, 0, "b"), Acknowledged)
	}},
	{"refused out of an old copy", "at the earliest", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Acknowledged)
		r.declared(amendment(2, 1, "a"), Acknowledged)
		r.declared(amendment(3, 2, "a"), Refused)
		r.declared(amendment(4, 2, "a"), Acknowledged)
	}},
	{"refused while nothing else was declared", "at the earliest", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Refused)
	}},
	{"refused after it was acknowledged", "at the earliest", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Acknowledged)
		r.declared(amendment(2, 1, "a"), Acknowledged)
		r.declared(amendment(2, 1, "a"), Refused)
	}},
	{"refused, and taken all the same", "nobody declared it", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Acknowledged)
		r.declared(amendment(2, 1, "a"), Refused)
		r.shown(2, contents("a", 1, 2))
	}},
	{"rejected, and taken all the same", "nobody declared it", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Rejected)
		r.shown(1, contents("a", 1))
	}},
	{"acknowledged on a base that was refused", "nobody declared it", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Refused)
		r.declared(amendment(2, 1, "a"), Acknowledged)
	}},
	{"a number that does not rise", "was taken", func(r *Recorder) {
		r.declared(amendment(3, 0, "a"), Acknowledged)
		r.declared(amendment(2, 3, "a"), Acknowledged)
	}},
	{"a stale read", "at the earliest", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Acknowledged)
		r.shown(0, nil)
	}},
	{"a read goes back", "at the earliest", func(r *Recorder) {
		first := r.Declare(amendment(1, 0, "a"))
		r.shown(1, contents("a", 1))
		r.shown(0, nil)
		first(Acknowledged)
	}},
	{"a read in parts", "a read shows", func(r *Recorder) {
		r.declared(amendment(1, 0, "a"), Acknowledged)
		r.declared(amendment(2, 1, "a"), Acknowledged)
		r.shown(2, contents("a", 2))
	}},
	{"a read of what nobody declared", "nobody declared it", func(r *Recorder) { r.shown(7, nil) }},
	{"taken before it was declared", "at the earliest", func(r *Recorder) {
		done := r.Read()
		done(1, contents("a", 1))
		r.declared(amendment(1, 0, "a"), Acknowledged)
	}},
}

func TestHistoriesAreJudged(t *testing.T) {
	for _, p := range histories {
		t.Run(p.name, func(t *testing.T) {
			r := &Recorder{}
			p.play(r)
			err := r.Check()
			if p.wants == "" {
				is.New(t).NoErr(err)
			} else if err == nil || !strings.Contains(err.Error(), p.wants) {
				t.Errorf("judged %v, wants %q", err, p.wants)
			}
		})
	}
}

// truth is a store that takes one call at a time, as the rules say.
type truth struct {
	number uint64
	items  map[string]string
	taken  map[identity]bool
}

func (s *truth) take(d Write) Outcome {
	switch {
	case s.taken[d.identity()]:
		return Acknowledged
	case d.Base != s.number || d.Number <= s.number:
		return Refused
	}
	s.number = d.Number
	s.taken[d.identity()] = true
	for name, value := range d.Items {
		s.items[name] = value
	}
	return Acknowledged
}

// Histories of a correct store, with calls that overlap and answers that are lost, are always explained; with one answer falsified they are
// found out often.
func TestHistoriesOfACorrectStoreAreExplained(t *testing.T) {
	found := 0
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 5))
		if err := randomHistory(random, false).Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if randomHistory(random, true).Check() != nil {
			found++
		}
	}
	t.Logf("%d of 2000 falsified histories found out", found)
	if found < 1000 {
		t.Errorf("only %d of 2000 falsified histories were found out", found)
	}
}

// randomHistory plays overlapping calls on a correct store; falsified: one verdict is turned round.
func randomHistory(random *rand.Rand, falsified bool) *Recorder {
	r, store := &Recorder{}, &truth{items: map[string]string{}, taken: map[identity]bool{}}
	var steps []func() // what is under way; each takes effect or ends
	falsifiedAt := random.IntN(20)
	for n := range 30 {
		base := store.number - min(store.number, uint64(random.IntN(2)))
		d := amendment(base+1+uint64(random.IntN(2)), base, fmt.Sprint(random.IntN(2)))
		done, lost := r.Declare(d), random.IntN(5) == 0
		steps = append(steps, func() {
			outcome := store.take(d)
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
