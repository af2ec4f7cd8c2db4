package linearizability

import (
	"testing"

	"github.com/matryer/is"
)

// set and see are the write and the read of a register with one value.
func set(begin, end, value int) Step[int] {
	return Step[int]{begin, end, func(int) (int, bool) { return value, true }}
}

func see(begin, end, value int) Step[int] {
	return Step[int]{begin, end, func(state int) (int, bool) { return state, state == value }}
}

func TestExplainOfKnownHistories(t *testing.T) {
	is := is.New(t)
	for _, h := range []struct {
		name      string
		steps     []Step[int]
		explained bool
	}{
		{"nothing", nil, true},
		{"one after the other", []Step[int]{set(1, 2, 7), see(3, 4, 7)}, true},
		{"an old value after a newer one was acknowledged", []Step[int]{set(1, 2, 7), see(3, 4, 0)}, false},
		{"either value during the write", []Step[int]{set(1, 6, 7), see(2, 3, 0), see(4, 5, 7)}, true},
		{"the old value after the new one was read", []Step[int]{set(1, 6, 7), see(2, 3, 7), see(4, 5, 0)}, false},
		{"an unclear write that took effect late", []Step[int]{set(1, Never, 7), see(2, 3, 0), see(4, 5, 7)}, true},
		{"an unclear write that never took effect", []Step[int]{set(1, Never, 7), see(2, 3, 0)}, true},
		{"an unclear write that took effect twice", []Step[int]{set(1, Never, 7), see(2, 3, 7), set(4, 5, 8), see(6, 7, 7)}, false},
		{"a write that took effect before it was sent", []Step[int]{see(1, 2, 7), set(3, 4, 7)}, false},
	} {
		t.Log(h.name)
		is.Equal(Explain(0, h.steps), h.explained)
	}
}
