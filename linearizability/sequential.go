package linearizability

import "math"

// Never is the End of a step that may take effect at any time after its beginning, or not at all.
const Never = math.MaxInt

// maxSteps is the maximum number of steps on one subject, because a set of steps is stored as the bits of one word.
const maxSteps = 64

// Step is one logical call on one subject, including all copies of it that were sent. It takes effect at one moment between the events Begin
// and End.
type Step[State comparable] struct {
	Begin, End int
	// Apply returns the state after the step, and whether the answer to the caller is consistent with the state before it.
	Apply func(State) (State, bool)
}

// Explain reports whether the steps on one subject can be ordered into one sequence that starts in the initial state, respects the order of
// events, and explains every answer. Steps without an end may be left out. It panics if there are more than 64 steps.
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

// search is a depth-first search that memoizes the positions from which no sequence was found.
type search[State comparable] struct {
	steps  []Step[State]
	failed map[position[State]]bool
}

// isExplained tries each step that may come next: one that began before any of the remaining steps has ended.
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
