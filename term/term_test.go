package term

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// board is a register that a candidate may be cut off from.
type board struct {
	mu      *sync.Mutex
	holder  *string
	version *uint64
	isCut   *bool
	known   struct {
		holder  string
		version uint64
	}
}

func (b *board) Read(string) (string, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !*b.isCut {
		b.known.holder, b.known.version = *b.holder, *b.version
	}
	return b.known.holder, b.known.version
}

func (b *board) Take(_ context.Context, _, holder string, expect uint64) (uint64, error) {
	time.Sleep(20 * time.Millisecond) // the way to a majority, in fake time
	b.mu.Lock()
	defer b.mu.Unlock()
	if *b.isCut || *b.version != expect {
		return 0, errors.New("cut off, or too late")
	}
	*b.holder = holder
	*b.version++
	return *b.version, nil
}

// At no moment do two hold a term, though the holder is cut off, frozen, and comes back.
func TestNeverTwoHoldersAndTheDutyMovesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		var holder string
		var version uint64
		const length = 2 * time.Second
		var seats []*Seat
		cuts := make([]bool, 3)
		for i := range 3 {
			seats = append(seats, New(Options{Duty: "d", Holder: string(rune('a' + i)), Length: length, Margin: length / 8,
				Board: &board{mu: &mu, holder: &holder, version: &version, isCut: &cuts[i]}, Log: zerolog.Nop()}))
		}
		holds := func() (who []int) {
			for i, s := range seats {
				if _, isOurs := s.Holds(); isOurs {
					who = append(who, i)
				}
			}
			return who
		}
		changes, last, without := 0, -1, 0
		for beat := range 600 {
			time.Sleep(50 * time.Millisecond)
			who := holds()
			is.True(len(who) <= 1)
			if len(who) == 1 && who[0] != last {
				changes, last = changes+1, who[0]
			}
			if len(who) == 0 {
				without++
			}
			mu.Lock()
			if beat%150 == 100 { // cut the holder off, which is also what a freeze looks like
				cuts[last] = true
			} else if beat%150 == 0 {
				cuts = append(cuts[:0], false, false, false)
			}
			mu.Unlock()
			if beat%8 == 0 {
				for _, s := range seats {
					s.Step(t.Context())
				}
			}
		}
		is.True(changes >= 4)    // the duty moved on after each cut
		is.True(without < 600/4) // and mostly somebody had it
	})
}
