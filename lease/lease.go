// Package lease decides which process performs a singleton role. A lease is granted by a majority, through a register that every candidate
// reads and changes; the holder counts it from before it asked and gives it up before its end, and a candidate counts from when the grant
// showed to it. So at no moment do two hold one lease, whatever is frozen, slow or cut off (docs/design.md §2.7).
//
// Each grant has a version, which only rises: it is the fencing token of what is done under the lease, so that what a former holder sends
// late can be told from what the present one sends.
package lease

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Store is where grants are written.
type Store interface {
	// Read gives the grant that this process knows; the zero grant if there never was one.
	Read(role string) Grant
	// Acquire writes a grant in the place of the expected one, on a majority, and gives its version. After an error it may have been written.
	Acquire(ctx context.Context, role string, grant, expected Grant) (version uint64, err error)
}

// Options of a candidate.
type Options struct {
	Role string
	// Holder names this run of this process; no other run may have the name.
	Holder string
	// Length is how long a lease lasts, Margin by how much its holder gives it up sooner.
	Length time.Duration
	Margin time.Duration
	Store  Store
	Log    zerolog.Logger
}

// Candidate is one process's candidacy for one role.
type Candidate struct {
	options Options

	mu sync.Mutex // guards what follows
	// granted is our last grant, expires when we give it up; zero while we hold none.
	granted Grant
	expires time.Time
	// observed is the grant that stands here, observedSince since when it has stood unchanged.
	observed      Grant
	observedSince time.Time
	// released is set for good once this candidate has given the role up.
	released bool
	// previousEnd is when the lease of the holder before us was over at the latest; zero if there was none.
	previousEnd time.Time
}

// New makes a candidate.
func New(options Options) *Candidate { return &Candidate{options: options} }

// Held reports whether the lease is ours now, with its fencing token.
func (c *Candidate) Held() (fence uint64, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.granted.Version, c.holds(time.Now())
}

// holds is Held; c.mu is held.
func (c *Candidate) holds(now time.Time) bool { return now.Before(c.expires) }

// Holder is the name under which this candidate holds its lease.
func (c *Candidate) Holder() string { return c.options.Holder }

// PreviousLeaseEnd is when the lease of the holder before us was over at the latest; zero if there was none.
func (c *Candidate) PreviousLeaseEnd() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.previousEnd
}

// Observe notes how long another's grant has stood, for a candidate that does not campaign yet.
func (c *Candidate) Observe() {
	current := c.options.Store.Read(c.options.Role)
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); !c.holds(now) {
		c.observe(current, now)
	}
}

// observe notes since when a grant has stood here unchanged; c.mu is held.
func (c *Candidate) observe(current Grant, now time.Time) {
	if current != c.observed || c.observedSince.IsZero() {
		c.observed, c.observedSince = current, now
	}
}

// Released reports whether the role's last holder has released it, as far as is known here.
func (c *Candidate) Released() bool { return c.options.Store.Read(c.options.Role).IsReleased() }

// Release gives our lease up ahead of its end, so that the next candidate need not wait for it, and ends our candidacy. Nothing is done under
// the lease from the call on. If the release cannot be written, the others wait for the lease's end as ever.
func (c *Candidate) Release(ctx context.Context) {
	c.mu.Lock()
	granted, active := c.granted, c.holds(time.Now())
	c.expires, c.released = time.Time{}, true
	c.mu.Unlock()
	if !active {
		return
	}
	_, err := c.options.Store.Acquire(ctx, c.options.Role, Grant{Nonce: rand.Text()}, granted)
	c.options.Log.Info().Str("role", c.options.Role).Uint64("fence", granted.Version).Err(err).Msg("lease released")
}

// Campaign renews our lease, or takes one that was released, or whose grant has stood unchanged for a whole lease on our clock. It is to be
// called a few times a lease. A failure leaves what we hold until its end.
func (c *Candidate) Campaign(ctx context.Context) {
	o := c.options
	current := o.Store.Read(o.Role)
	began := time.Now()
	expected, renewing, due := c.expectedGrant(current, began)
	if !due {
		return
	}
	grant := Grant{Holder: o.Holder, Nonce: rand.Text()}
	ctx, cancel := context.WithTimeout(ctx, o.Length/2)
	defer cancel()
	version, err := o.Store.Acquire(ctx, o.Role, grant, expected)
	if err != nil {
		return
	}
	grant.Version = version
	c.mu.Lock()
	defer c.mu.Unlock()
	c.granted = grant
	if c.released {
		return // meanwhile: nobody counts on us, and the others wait for the lease's end
	}
	c.expires = began.Add(o.Length - o.Margin)
	if !renewing {
		o.Log.Info().Str("role", o.Role).Uint64("fence", version).Msg("lease acquired")
	}
}

// expectedGrant gives the grant that ours is to come in the place of, and reports whether ours is a renewal and whether it is time.
func (c *Candidate) expectedGrant(current Grant, now time.Time) (expected Grant, renewing, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return Grant{}, false, false
	}
	if !c.holds(now) {
		c.observe(current, now)
		if current.Holder == c.options.Holder { // ours, whose answer was lost or that has ended: nobody else had it since
			return current, false, true
		}
		// The holder counts from before it asked, we count from after its grant showed here: our wait ends later than its lease.
		due = current.IsFree() || now.Sub(c.observedSince) >= c.options.Length
		if due && current.Version != 0 {
			c.previousEnd = c.observedSince.Add(c.options.Length)
		}
		return current, false, due
	}
	if current.Holder != c.options.Holder && current.Version > c.granted.Version {
		c.expires = time.Time{} // cannot be while we hold it; give way all the same
		return Grant{}, false, false
	}
	if current.Version < c.granted.Version {
		return c.granted, true, true // this process's own disk has not got it yet
	}
	return current, true, true
}
