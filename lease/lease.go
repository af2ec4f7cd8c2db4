// Package lease has the leases of duties that one daemon does: granted by a majority through a register, counted from when the asking
// began, and given up before their end (docs/design.md §2.7).
package lease

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Store is where leases are written: a register that every candidate reads and changes.
type Store interface {
	// Read gives the grant that this daemon knows.
	Read(duty string) Grant
	// Acquire writes a grant in the place of the one that was met, on a majority, and gives its version.
	Acquire(ctx context.Context, duty string, made, met Grant) (version uint64, err error)
}

// Options of a candidate.
type Options struct {
	Role   string
	Holder string // unique to this life of this daemon
	Length time.Duration
	Margin time.Duration // given up so long before the end
	Store  Store
	Log    zerolog.Logger
}

// Candidate is one process's candidacy for one duty.
type Candidate struct {
	options       Options
	mu            sync.Mutex
	granted       Grant     // our last lease; its version is the fence of what is done under it
	expires       time.Time // ours until then; zero while it is not
	observed      Grant     // another's lease, and since when it stands unchanged here
	observedSince time.Time
	previousEnd   time.Time // when the lease of the holder before us was over at the latest; zero if there was none
}

// New makes a candidate.
func New(options Options) *Candidate { return &Candidate{options: options} }

// Held says whether the lease is ours now, and its number.
func (s *Candidate) Held() (number uint64, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted.Version, time.Now().Before(s.expires)
}

// Holder is the name under which this candidate holds its duty.
func (s *Candidate) Holder() string { return s.options.Holder }

// PreviousLeaseEnd is when the lease of the holder before us was over at the latest; zero if there was none.
func (s *Candidate) PreviousLeaseEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.previousEnd
}

// Observe notes how long another's lease has stood, for a candidate that does not want the duty yet.
func (s *Candidate) Observe() {
	current := s.options.Store.Read(s.options.Role)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); !now.Before(s.expires) && (current != s.observed || s.observedSince.IsZero()) {
		s.observed, s.observedSince = current, now
	}
}

// Campaign renews our lease, or takes one whose holder has been silent for a whole lease on our clock. It is called a few times a lease.
func (s *Candidate) Campaign(ctx context.Context) {
	o := s.options
	current := o.Store.Read(o.Role)
	grant := Grant{Holder: o.Holder, Nonce: rand.Text()}
	s.mu.Lock()
	now := time.Now()
	own := now.Before(s.expires)
	expected := current
	if own {
		if expected.Version < s.granted.Version {
			expected = s.granted // this daemon's own disk has not got it yet
		}
	} else {
		if current != s.observed || s.observedSince.IsZero() {
			s.observed, s.observedSince = current, now
		}
		// The holder counts from before it asked, we count from after its lease showed here: ours ends later.
		if current.Version != 0 && now.Sub(s.observedSince) < o.Length {
			s.mu.Unlock()
			return
		}
	}
	if own && current.Holder != o.Holder && current.Version > s.granted.Version {
		s.expires = time.Time{} // cannot be while we hold it; give way all the same
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	acquireCtx, stop := context.WithTimeout(ctx, o.Length/2)
	defer stop()
	version, err := o.Store.Acquire(acquireCtx, o.Role, grant, expected)
	if err != nil {
		return // what we hold runs on to its end
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !own && current.Version != 0 && current.Holder != o.Holder {
		s.previousEnd = s.observedSince.Add(o.Length)
	}
	grant.Version = version
	s.granted, s.expires = grant, now.Add(o.Length-o.Margin)
	if !own {
		o.Log.Info().Str("role", o.Role).Uint64("fence", version).Msg("lease acquired")
	}
}
