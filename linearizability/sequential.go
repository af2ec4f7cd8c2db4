package linearizability

import "math"

// Never is the End of a step that may take effect at any time after its beginning, or not at all.
const Never = math.MaxInt

// maxSteps is how many steps one subject may have: a set of them is one word.
const maxSteps = 64

// Step is one logical call on one subject: all copies of it that were sent. It takes effect at one moment between the events Begin and End.
type Step[State comparable] struct {
	Begin, End int
	// Apply gives the state after the step, and whether the state before it explains what the caller was told.
	Apply func(State) (State, bool)
}

// Explain reports whether the steps on one subject can be put into one sequence that respects the order of their events and explains every
// answer, beginning in a state. Steps without an end may be left out. It panics if there are more than 64 steps.
func Explain[State comparable](initial State, steps []Step[State]) bool {
	if len(steps) > maxSteps {
		panic("too many steps on one subject")
	}
	s := search[State]{steps: steps, failed: map[position[State]]bool{}}
	return s.isExplained(position[State]{state: initial})
}

// position is a set of steps that have taken effect, and the state after them.
type position[State comparable] struct {
	done  uint64
	state State
}

// search remembers the positions that lead nowhere.
type search[State comparable] struct {
	steps  []Step[State]
	failed map[position[State]]bool
}

// isExplained tries each step that may come next: one that began before every step that is left has ended.
func (s *search[State]) isExplained(at position[State]) bool {
	if s.failed[at] {
		return false
	}
	firstEnd := Never
	for i, step := range s.steps {
		if at.done&(1<<i) == 0 {
			firstEnd = min(firstEnd, step.End)
		}
	}
	if firstEnd == Never {
		return true
	}
	for i, step := range s.steps {
		if at.done&(1<<i) != 0 || step.Begin > firstEnd {
			continue
		}
		if next, fits := step.Apply(at.state); fits && s.isExplained(position[State]{at.done | 1<<i, next}) {
			return true
		}
	}
	s.failed[at] = true
	return false
}
