package router

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// However a stream is split into chunks, only complete events come out, in order, and the ID of the last one is known. The incomplete
// rest is returned by dropPartial, and none of it is left in later events.
func TestEventStreamReturnsOnlyCompleteEvents(t *testing.T) {
	is := is.New(t)
	const events = "id: 7\ndata: one\n\nid:8\ndata: id: 99\ndata: more\n\n: a comment\n\ndata: without an id\n\nid: x\ndata: no number\n\nevent: end\nid: 12\ndata:\n\n"
	const remaining = "id: 13\ndata: cut o"
	ids := map[int]uint64{1: 7, 2: 8, 3: 8, 4: 8, 5: 8, 6: 12} // last ID by number of events
	check := func(cuts func() int) {
		e, out := newEventStream(5), ""
		for left := events + remaining; left != ""; {
			n := min(len(left), cuts())
			piece := []byte(left[:n])
			left = left[n:]
			whole := e.complete(piece)
			for i := range piece {
				piece[i] = '#' // the caller reuses the buffer
			}
			out += string(whole)
			is.True(len(whole) == 0 || strings.HasSuffix(string(whole), "\n\n"))
			is.True(strings.HasPrefix(events, out))
			if count := strings.Count(out, "\n\n"); count > 0 {
				is.Equal(e.lastID, ids[count])
			} else {
				is.Equal(e.lastID, uint64(5)) // none yet: the ID that the client resumed after
			}
		}
		is.Equal(out, events)
		is.Equal(string(e.dropPartial()), remaining)
		is.Equal(len(e.dropPartial()), 0)
		is.Equal(string(e.complete([]byte("id: 14\n\n"))), "id: 14\n\n") // nothing is left of the dropped event
		is.Equal(e.lastID, uint64(14))
	}
	check(func() int { return 1 })
	check(func() int { return len(events + remaining) })
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		check(func() int { return 1 + random.IntN(20) })
	}
}

func newEventStream(last uint64) *eventStream { return &eventStream{lastID: last} }
