// Package lease decides which process performs a singleton role. A lease is granted by a majority, through a register that every candidate
// reads and changes. The holder measures the lease from before its request and stops using it a margin before its end; the other candidates
// measure it from when they first see the grant. So no two processes ever hold a lease at the same time, even if processes are suspended or
// slow, or the network is partitioned (docs/design.md §2.7).
//
// The version of a grant only increases. It is the fencing token for everything done under the lease, so that late messages of a former
// holder can be told from those of the present one.
package lease

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Store reads and writes grants.
type Store interface {
	// Read returns the latest grant that this process knows; the zero Grant if there is none.
	Read(role string) Grant
	// Acquire replaces the expected grant by another one on a majority and returns the new version. After an error the grant may or may not
	// have been written.
	Acquire(ctx context.Context, role string, grant, expected Grant) (version uint64, err error)
}

// Options of a candidate.
type Options struct {
	Role string
	// Holder names this run of this process; it must be unique among all runs of all processes.
	Holder string
	// Length is how long a lease lasts; its holder stops using it Margin earlier.
	Length time.Duration
	Margin time.Duration
	Store  Store
	Log    zerolog.Logger
}

// Candidate competes for one role on behalf of one process.
type Candidate struct {
	options Options

	mu sync.Mutex // guards what follows
	// granted is our last grant. expires is when we stop using it; zero while we hold none.
	granted Grant
	expires time.Time
	// observed is the grant that this process last saw, observedSince when it first saw it.
	observed      Grant
	observedSince time.Time
	// released is set once this candidate has released the role; it is never reset.
	released bool
	// previousEnd is the latest time at which the previous holder's lease can have ended; zero if there was none.
	previousEnd time.Time
}

// New returns a candidate that holds nothing yet.
func New(options Options) *Candidate { return &Candidate{options: options} }

// Held reports whether this candidate holds the lease now, and its fencing token.
func (c *Candidate) Held() (fence uint64, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.granted.Version, c.holds(time.Now())
}

// holds reports whether the lease is held at this time. The caller holds c.mu.
func (c *Candidate) holds(now time.Time) bool { return now.Before(c.expires) }

// Holder returns the name under which this candidate holds its lease.
func (c *Candidate) Holder() string { return c.options.Holder }

// PreviousLeaseEnd returns the latest time at which the previous holder's lease can have ended; zero if there was none.
func (c *Candidate) PreviousLeaseEnd() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.previousEnd
}

// Observe records how long another holder's grant has been unchanged, for a candidate that does not campaign yet.
func (c *Candidate) Observe() {
	current := c.options.Store.Read(c.options.Role)
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); !c.holds(now) {
		c.observe(current, now)
	}
}

// observe records since when the current grant has been unchanged. The caller holds c.mu.
func (c *Candidate) observe(current Grant, now time.Time) {
	if current != c.observed || c.observedSince.IsZero() {
		c.observed, c.observedSince = current, now
	}
}

// Released reports whether, as far as this process knows, the role's last holder has released it.
func (c *Candidate) Released() bool { return c.options.Store.Read(c.options.Role).IsReleased() }

// Release releases the lease before its end, so that the next candidate need not wait for it, and ends this candidacy. The lease counts as not
// held from the start of the call. If the release cannot be written, the other candidates wait for the lease to expire as usual.
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

// Campaign renews our lease, or acquires one that was released or whose grant has been unchanged for a whole lease length on our clock. It is
// to be called several times per lease length. If it fails, a lease that we hold stays valid until it expires.
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
		return // released during the call: the new grant is not used, and the others wait for it to expire
	}
	c.expires = began.Add(o.Length - o.Margin)
	if !renewing {
		o.Log.Info().Str("role", o.Role).Uint64("fence", version).Msg("lease acquired")
	}
}

// expectedGrant returns the grant that ours is to replace, whether that is a renewal, and whether it is time to try.
func (c *Candidate) expectedGrant(current Grant, now time.Time) (expected Grant, renewing, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return Grant{}, false, false
	}
	if !c.holds(now) {
		c.observe(current, now)
		if current.Holder == c.options.Holder { // ours: its answer was lost, or it has expired and nobody else has held it since
			return current, false, true
		}
		// The holder measures its lease from before its request, we measure it from when we saw the grant: our wait ends after its lease.
		due = current.IsFree() || now.Sub(c.observedSince) >= c.options.Length
		if due && current.Version != 0 {
			c.previousEnd = c.observedSince.Add(c.options.Length)
		}
		return current, false, due
	}
	if current.Holder != c.options.Holder && current.Version > c.granted.Version {
		c.expires = time.Time{} // impossible while we hold the lease; give it up to be safe
		return Grant{}, false, false
	}
	if current.Version < c.granted.Version {
		return c.granted, true, true // our last grant has not reached this process's own disk yet
	}
	return current, true, true
}
