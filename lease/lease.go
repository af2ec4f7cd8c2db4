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
	// Take writes a grant in the place of the one that was met, on a majority, and gives its version.
	Take(ctx context.Context, duty string, made, met Grant) (version uint64, err error)
}

// Options of a candidate.
type Options struct {
	Duty   string
	Holder string // unique to this life of this daemon
	Length time.Duration
	Margin time.Duration // given up so long before the end
	Store  Store
	Log    zerolog.Logger
}

// Candidate is one process's candidacy for one duty.
type Candidate struct {
	options Options
	mu      sync.Mutex
	own     Grant     // our last lease; its version is the fence of what is done under it
	until   time.Time // ours until then; zero while it is not
	seen    Grant     // another's lease, and since when it stands unchanged here
	seenAt  time.Time
	quiet   time.Time // when the lease of the holder before us was over at the latest; zero if there was none
}

// New makes a candidate.
func New(options Options) *Candidate { return &Candidate{options: options} }

// Holds says whether the lease is ours now, and its number.
func (s *Candidate) Holds() (number uint64, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own.Version, time.Now().Before(s.until)
}

// Holder is the name under which this candidate holds its duty.
func (s *Candidate) Holder() string { return s.options.Holder }

// QuietUntil is when the lease of the holder before us was over at the latest; zero if there was none.
func (s *Candidate) QuietUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quiet
}

// Watch notes how long another's lease has stood, for a candidate that does not want the duty yet.
func (s *Candidate) Watch() {
	present := s.options.Store.Read(s.options.Duty)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); !now.Before(s.until) && (present != s.seen || s.seenAt.IsZero()) {
		s.seen, s.seenAt = present, now
	}
}

// Step renews our lease, or takes one whose holder has been silent for a whole lease on our clock. It is called a few times a lease.
func (s *Candidate) Step(ctx context.Context) {
	o := s.options
	present := o.Store.Read(o.Duty)
	made := Grant{Holder: o.Holder, Nonce: rand.Text()}
	s.mu.Lock()
	now := time.Now()
	own := now.Before(s.until)
	met := present
	if own {
		if met.Version < s.own.Version {
			met = s.own // this daemon's own disk has not got it yet
		}
	} else {
		if present != s.seen || s.seenAt.IsZero() {
			s.seen, s.seenAt = present, now
		}
		// The holder counts from before it asked, we count from after its lease showed here: ours ends later.
		if present.Version != 0 && now.Sub(s.seenAt) < o.Length {
			s.mu.Unlock()
			return
		}
	}
	if own && present.Holder != o.Holder && present.Version > s.own.Version {
		s.until = time.Time{} // cannot be while we hold it; give way all the same
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	asking, stop := context.WithTimeout(ctx, o.Length/2)
	defer stop()
	version, err := o.Store.Take(asking, o.Duty, made, met)
	if err != nil {
		return // what we hold runs on to its end
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !own && present.Version != 0 && present.Holder != o.Holder {
		s.quiet = s.seenAt.Add(o.Length)
	}
	made.Version = version
	s.own, s.until = made, now.Add(o.Length-o.Margin)
	if !own {
		o.Log.Info().Str("event", "lease").Str("duty", o.Duty).Uint64("number", version).Msg("")
	}
}
