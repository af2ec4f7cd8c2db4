package router

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// However a stream is split, only whole events come out, all of them in order, and the last one's id is known; what is not whole at the
// end is given up or given out by the last call.
func TestEventsComeOutWhole(t *testing.T) {
	is := is.New(t)
	const events = "id: 7\ndata: one\n\nid:8\ndata: id: 99\ndata: more\n\n: a comment\n\ndata: without an id\n\nid: x\ndata: no number\n\nevent: end\nid: 12\ndata:\n\n"
	const remaining = "id: 13\ndata: cut o"
	ids := map[int]uint64{1: 7, 2: 8, 3: 8, 4: 8, 5: 8, 6: 12} // after so many events
	check := func(cuts func() int) {
		e, out := events0(5), ""
		for left := events + remaining; left != ""; {
			n := min(len(left), cuts())
			piece := []byte(left[:n])
			left = left[n:]
			whole := e.complete(piece)
			for i := range piece {
				piece[i] = '#' // the buffer is used again
			}
			out += string(whole)
			is.True(len(whole) == 0 || strings.HasSuffix(string(whole), "\n\n"))
			is.True(strings.HasPrefix(events, out))
			if count := strings.Count(out, "\n\n"); count > 0 {
				is.Equal(e.lastID, ids[count])
			} else {
				is.Equal(e.lastID, uint64(5)) // none yet: what the caller has
			}
		}
		is.Equal(out, events)
		is.Equal(string(e.dropPartial()), remaining)
		is.Equal(len(e.dropPartial()), 0)
		is.Equal(string(e.complete([]byte("id: 14\n\n"))), "id: 14\n\n") // nothing of what was given up is left
		is.Equal(e.lastID, uint64(14))
	}
	check(func() int { return 1 })
	check(func() int { return len(events + remaining) })
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		check(func() int { return 1 + random.IntN(20) })
	}
}

func events0(last uint64) *eventStream { return &eventStream{lastID: last} }
