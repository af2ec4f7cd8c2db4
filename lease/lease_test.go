package lease

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/apierror"
	"asterridge/register"
)

// store is a candidate's view of a shared register, from which it may be disconnected.
type store struct {
	mu             *sync.Mutex
	present        *Grant
	isDisconnected *bool
	known          Grant
}

func (s *store) Read(string) Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !*s.isDisconnected {
		s.known = *s.present
	}
	return s.known
}

func (s *store) Acquire(_ context.Context, _ string, grant, expected Grant) (uint64, error) {
	time.Sleep(20 * time.Millisecond) // round trip to a majority, in fake time
	s.mu.Lock()
	defer s.mu.Unlock()
	if *s.isDisconnected || *s.present != expected {
		return 0, errors.New("disconnected, or the grant has changed")
	}
	grant.Version = expected.Version + 1
	*s.present = grant
	return grant.Version, nil
}

// The holder is repeatedly disconnected and reconnected. There are never two holders, and another candidate takes over each time.
func TestAtMostOneHolderAndAnotherTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		var present Grant
		const length = 2 * time.Second
		var candidates []*Candidate
		disconnected := make([]bool, 3)
		for i := range 3 {
			candidates = append(candidates, New(Options{Role: "d", Holder: string(rune('a' + i)), Length: length, Margin: length / 8,
				Store: &store{mu: &mu, present: &present, isDisconnected: &disconnected[i]}, Log: zerolog.Nop()}))
		}
		currentHolders := func() (holders []int) {
			for i, candidate := range candidates {
				if _, held := candidate.Held(); held {
					holders = append(holders, i)
				}
			}
			return holders
		}
		takeovers, lastHolder, ticksWithoutHolder := 0, -1, 0
		for tick := range 600 {
			time.Sleep(50 * time.Millisecond)
			holders := currentHolders()
			is.True(len(holders) <= 1)
			if len(holders) == 1 && holders[0] != lastHolder {
				takeovers, lastHolder = takeovers+1, holders[0]
			}
			if len(holders) == 0 {
				ticksWithoutHolder++
			}
			mu.Lock()
			if tick%150 == 100 { // disconnect the holder; a suspended process looks the same to the others
				disconnected[lastHolder] = true
			} else if tick%150 == 0 {
				disconnected = append(disconnected[:0], false, false, false)
			}
			mu.Unlock()
			if tick%8 == 0 {
				for _, candidate := range candidates {
					candidate.Campaign(t.Context())
				}
			}
		}
		is.True(takeovers >= 4)             // another candidate took over after each disconnection
		is.True(ticksWithoutHolder < 600/4) // and there was a holder most of the time
	})
}

// Two grants have the same version: one is only on this candidate's disk, the other was accepted by a majority. They are different leases: the
// candidate waits a whole lease length from when it sees the second, and cannot replace the register's grant by expecting the wrong one.
func TestGrantsOfTheSameVersionAreDistinguishedByNonce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		disconnected := false
		lost := Grant{Holder: "a", Nonce: "lost", Version: 7}
		committed := Grant{Holder: "b", Nonce: "stands", Version: 7}
		present := lost
		const length = 2 * time.Second
		candidate := New(Options{Role: "d", Holder: "c", Length: length,
			Store: &store{mu: &mu, present: &present, isDisconnected: &disconnected}, Log: zerolog.Nop()})
		step := func(after time.Duration) bool {
			time.Sleep(after)
			candidate.Campaign(t.Context())
			_, held := candidate.Held()
			return held
		}
		is.True(!step(0))
		time.Sleep(length - time.Millisecond)
		present = committed
		is.True(!step(2 * time.Millisecond))
		is.True(!step(length - 2*time.Millisecond))
		is.True(step(2 * time.Millisecond))

		_, err := lost.Replace(committed)(register.Fields{"holder": []byte(`"a"`), "mark": []byte(`"lost"`)}, 7)
		is.True(apierror.Is(err, apierror.Conflict))
		_, err = lost.Replace(committed)(register.Fields{"holder": []byte(`"b"`), "mark": []byte(`"stands"`)}, 7)
		is.NoErr(err)
	})
}

// A register with an unreadable holder counts as held; one with an empty holder was released.
func TestUnreadableHolderCountsAsHolder(t *testing.T) {
	is := is.New(t)
	is.True(ReadGrant(nil, 0).IsFree())
	is.True(!ReadGrant(register.Fields{"holder": []byte(`{"torn`), "mark": []byte(`"m"`)}, 3).IsFree())
	is.True(ReadGrant(register.Fields{"holder": []byte(`""`), "mark": []byte(`"m"`)}, 3).IsReleased())
	is.Equal(ReadGrant(register.Fields{"holder": []byte(`"a"`)}, 3), Grant{Holder: "a", Version: 3})
}

// A released lease is acquired by another candidate's next campaign, and the candidate that released it never acquires it again. If the release
// cannot be written, the other candidate waits for the lease to expire.
func TestReleasedLeaseIsAcquiredAtOnce(t *testing.T) {
	for _, releaseFails := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			var present Grant
			const length = 2 * time.Second
			disconnected := make([]bool, 2)
			var candidates []*Candidate
			for i := range 2 {
				candidates = append(candidates, New(Options{Role: "d", Holder: string(rune('a' + i)), Length: length, Margin: length / 8,
					Store: &store{mu: &mu, present: &present, isDisconnected: &disconnected[i]}, Log: zerolog.Nop()}))
			}
			candidates[0].Campaign(t.Context())
			fence, held := candidates[0].Held()
			is.True(held)
			candidates[1].Campaign(t.Context())
			disconnected[0] = releaseFails
			candidates[0].Release(t.Context())
			_, held = candidates[0].Held()
			is.True(!held)
			candidates[1].Campaign(t.Context())
			nextFence, held := candidates[1].Held()
			is.Equal(held, !releaseFails)
			if releaseFails {
				time.Sleep(length)
				candidates[1].Campaign(t.Context())
				nextFence, held = candidates[1].Held()
				is.True(held)
			}
			is.True(nextFence > fence)
			if !releaseFails { // replicas that do not check fencing tokens must still get no orders for one lease length
				is.True(time.Until(candidates[1].PreviousLeaseEnd()) > length/2)
			}
			disconnected[0] = false
			time.Sleep(2 * length)
			candidates[0].Campaign(t.Context())
			_, held = candidates[0].Held()
			is.True(!held)
		})
	}
}
