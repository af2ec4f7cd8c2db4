package throttle

import (
	"slices"
	"sync"
	"time"
)

// Signals tells a throttled tenant from a sick replica (§4.3). Names are dense indices given at the door.
type Signals struct {
	mu       sync.Mutex
	refusals map[int]*refusals    // by tenant
	served   map[[2]int]time.Time // replica and tenant → when the last request that was served was sent
	rejected map[[2]int]time.Time // replica and tenant → last refusal
	baseline map[[2]int]*baseline // replica and kind
	tenants  map[int]*slowness
}

// refusals of one tenant since it was last served anywhere.
type refusals struct {
	count int
	last  time.Time
	first map[int]time.Time // by replica
}

// baseline has each tenant's moving first-piece delay on one replica for one kind.
type baseline struct{ delays map[int]*moving }

type moving struct {
	value float64
	count int
	at    time.Time
}

type slowness struct {
	ratio moving
	run   int       // slow samples in a row
	began time.Time // of the run
	slow  bool
}

const (
	window   = 10 * time.Second // refusals further apart are not seen together
	lately   = time.Second
	memory   = 30 * time.Second
	needed   = 6
	smoothed = 0.25
	calm     = 1.5
	leastGap = 0.1 // seconds
)

// NewSignals makes an empty observer.
func NewSignals() *Signals {
	return &Signals{refusals: map[int]*refusals{}, served: map[[2]int]time.Time{}, rejected: map[[2]int]time.Time{},
		baseline: map[[2]int]*baseline{}, tenants: map[int]*slowness{}}
}

// Rejected takes a refusal that does not name its ground, and says whether the tenant is it. Refused twice and not served since, it is, if a
// replica that refused it serves another tenant; or if two different replicas refused it and nobody else has lately been served at all:
// while others are served, but not by those who refuse, those may be sick.
func (s *Signals) Rejected(replica, tenant int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r := s.refusals[tenant]
	if r == nil || now.Sub(r.last) > window {
		r = &refusals{first: map[int]time.Time{}}
		s.refusals[tenant] = r
	}
	r.count++
	r.last = now
	if r.first[replica].IsZero() {
		r.first[replica] = now
	}
	s.rejected[[2]int{replica, tenant}] = now
	if r.count < 2 {
		return false
	}
	anotherServed := false
	for at, sent := range s.served {
		first, refuser := r.first[at[0]]
		if at[1] != tenant && refuser && sent.After(first) && now.Sub(s.rejected[at]) > window {
			return true
		}
		anotherServed = anotherServed || at[1] != tenant && now.Sub(sent) < lately
	}
	return len(r.first) > 1 && !anotherServed
}

// HasRejected says whether a replica refused the tenant, which was not served since.
func (s *Signals) HasRejected(replica, tenant int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.refusals[tenant]
	return r != nil && !r.first[replica].IsZero() && time.Since(r.last) < window
}

// Began takes the delay to the first piece of a request. cold is how long reading the whole prompt anew may take: a delay that this explains
// is no signal. It says whether the tenant has just shown as slowed.
func (s *Signals) Began(replica, kind, tenant int, delay, prefill time.Duration, slowRatio float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	sent := now.Add(-delay)
	s.served[[2]int{replica, tenant}] = sent
	if r := s.refusals[tenant]; r != nil && sent.After(r.last) {
		delete(s.refusals, tenant) // what was sent before the last refusal says nothing of it
	}
	at := [2]int{replica, kind}
	b := s.baseline[at]
	if b == nil {
		b = &baseline{delays: map[int]*moving{}}
		s.baseline[at] = b
	}
	var others []float64
	for other, m := range b.delays {
		if other != tenant && now.Sub(m.at) < memory {
			others = append(others, m.value)
		}
	}
	own := b.delays[tenant]
	if own == nil {
		own = &moving{}
		b.delays[tenant] = own
	}
	own.add(delay.Seconds(), now)
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	base := max(others[(len(others)-1)/2], prefill.Seconds(), 0.001)
	t := s.tenants[tenant]
	if t == nil || now.Sub(t.ratio.at) > memory {
		t = &slowness{}
		s.tenants[tenant] = t
	}
	ratio := delay.Seconds() / base
	if delay.Seconds()-base < leastGap {
		ratio = min(ratio, 1) // too small a gap to matter, however large the ratio
	}
	t.ratio.add(min(ratio, 20), now)
	if t.ratio.value < calm {
		t.slow = false
	}
	if ratio < calm {
		t.run = 0
		return false
	}
	if t.run++; t.run == 1 {
		t.began = now
	}
	if t.run < needed || t.ratio.value <= slowRatio || !s.isAnotherCalm(tenant, t.began) {
		return false
	}
	t.slow, t.run = true, 0 // each full run that is still slow is a signal of its own
	return true
}

// isAnotherCalm says whether some other tenant was served at its usual pace since: else everyone is slow.
func (s *Signals) isAnotherCalm(tenant int, since time.Time) bool {
	for other, t := range s.tenants {
		if other != tenant && t.ratio.at.After(since) && t.ratio.value < calm {
			return true
		}
	}
	return false
}

// IsSlow says whether a tenant is between the two marks of the hysteresis.
func (s *Signals) IsSlow(tenant int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tenants[tenant]
	return t != nil && t.slow
}

func (m *moving) add(value float64, now time.Time) {
	if m.count == 0 && m.at.IsZero() {
		m.value = value
	}
	m.value += smoothed * (value - m.value)
	m.count++
	m.at = now
}
