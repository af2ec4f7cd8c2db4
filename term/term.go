// Package term has the leases of duties that one daemon does: granted by a majority through a register, counted from when the asking
// began, and given up before their end (docs/design.md §2.7).
package term

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Board is where terms are written: a register that every candidate reads and changes.
type Board interface {
	// Read gives the holder and the version that this daemon knows.
	Read(duty string) (holder string, version uint64)
	// Take writes the holder if the version is still the expected one, on a majority.
	Take(ctx context.Context, duty, holder string, expect uint64) (version uint64, err error)
}

// Options of a seat.
type Options struct {
	Duty   string
	Holder string // unique to this life of this daemon
	Length time.Duration
	Margin time.Duration // given up so long before the end
	Board  Board
	Log    zerolog.Logger
}

// Seat is one candidate for one duty.
type Seat struct {
	options Options
	mu      sync.Mutex
	number  uint64    // version of our own term; the fence of what is done under it
	until   time.Time // ours until then; zero while it is not
	seen    uint64    // version of another's term, and since when it stands unchanged here
	seenAt  time.Time
	quiet   time.Time // when the term of the holder before us was over at the latest; zero if there was none
}

// New makes a seat.
func New(options Options) *Seat { return &Seat{options: options} }

// Holds says whether the term is ours now, and its number.
func (s *Seat) Holds() (number uint64, isOurs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.number, time.Now().Before(s.until)
}

// Holder is the name under which this seat holds its duty.
func (s *Seat) Holder() string { return s.options.Holder }

// QuietUntil is when the term of the holder before us was over at the latest; zero if there was none.
func (s *Seat) QuietUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quiet
}

// Watch notes how long another's term has stood, for a candidate that does not want the duty yet.
func (s *Seat) Watch() {
	_, version := s.options.Board.Read(s.options.Duty)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); !now.Before(s.until) && (version != s.seen || s.seenAt.IsZero()) {
		s.seen, s.seenAt = version, now
	}
}

// Step renews our term, or takes one whose holder has been silent for a whole term on our clock. It is called a few times a term.
func (s *Seat) Step(ctx context.Context) {
	o := s.options
	holder, version := o.Board.Read(o.Duty)
	s.mu.Lock()
	now := time.Now()
	isOurs := now.Before(s.until)
	expect := version
	if isOurs {
		expect = max(s.number, version)
	} else {
		if version != s.seen || s.seenAt.IsZero() {
			s.seen, s.seenAt = version, now
		}
		// The holder counts from before it asked, we count from after its term showed here: ours ends later.
		if version != 0 && now.Sub(s.seenAt) < o.Length {
			s.mu.Unlock()
			return
		}
	}
	if isOurs && holder != o.Holder && version > s.number {
		s.until = time.Time{} // cannot be while we hold it; give way all the same
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	asking, stop := context.WithTimeout(ctx, o.Length/2)
	defer stop()
	number, err := o.Board.Take(asking, o.Duty, o.Holder, expect)
	if err != nil {
		return // what we hold runs on to its end
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isOurs && version != 0 && holder != o.Holder {
		s.quiet = s.seenAt.Add(o.Length)
	}
	s.number, s.until = number, now.Add(o.Length-o.Margin)
	if !isOurs {
		o.Log.Info().Str("event", "term").Str("duty", o.Duty).Uint64("number", number).Msg("")
	}
}
