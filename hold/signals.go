package hold

import (
	"sync"
	"time"
)

// Signals tells a throttled tenant from a sick replica (§4.3). Names are dense indices given at the door.
type Signals struct {
	mu       sync.Mutex
	replicas map[int]*recent
	baseline map[[2]int]*baseline // replica and kind
	tenants  map[int]*slowness
}

type recent struct {
	served  map[int]time.Time // tenant → last answer begun
	refused map[int]time.Time
}

// baseline has each tenant's moving first-piece delay on one replica for one kind.
type baseline struct{ delays map[int]*moving }

type moving struct {
	value float64
	count int
	at    time.Time
}

type slowness struct {
	ratio  moving
	isSlow bool
}

const (
	window   = time.Second
	memory   = 30 * time.Second
	needed   = 8
	smoothed = 0.25
	calm     = 1.5
	leastGap = 100 * time.Millisecond
)

// NewSignals makes an empty observer.
func NewSignals() *Signals {
	return &Signals{replicas: map[int]*recent{}, baseline: map[[2]int]*baseline{}, tenants: map[int]*slowness{}}
}

func (s *Signals) recent(replica int) *recent {
	r := s.replicas[replica]
	if r == nil {
		r = &recent{served: map[int]time.Time{}, refused: map[int]time.Time{}}
		s.replicas[replica] = r
	}
	return r
}

// Refused takes a refusal; it says whether the tenant is the ground of it. isNamed: the replica says so itself.
func (s *Signals) Refused(replica, tenant int, isNamed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, now := s.recent(replica), time.Now()
	r.refused[tenant] = now
	if isNamed {
		return true
	}
	isServing := false
	for other, at := range r.served {
		if other != tenant && now.Sub(at) < window {
			isServing = true
		}
	}
	for other, at := range r.refused {
		if other != tenant && now.Sub(at) < window {
			return false
		}
	}
	return isServing
}

// Began takes the delay to the first piece; it says whether the tenant has just shown as slowed.
func (s *Signals) Began(replica, kind, tenant int, delay time.Duration, slowRatio float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.recent(replica).served[tenant] = now
	at := [2]int{replica, kind}
	b := s.baseline[at]
	if b == nil {
		b = &baseline{delays: map[int]*moving{}}
		s.baseline[at] = b
	}
	others, count := 0.0, 0
	for other, m := range b.delays {
		if other != tenant && now.Sub(m.at) < memory {
			others += m.value
			count++
		}
	}
	own := b.delays[tenant]
	if own == nil {
		own = &moving{}
		b.delays[tenant] = own
	}
	own.add(delay.Seconds(), now)
	if count == 0 {
		return false
	}
	base := max(others/float64(count), 0.001)
	t := s.tenants[tenant]
	if t == nil {
		t = &slowness{}
		s.tenants[tenant] = t
	}
	if now.Sub(t.ratio.at) > memory {
		*t = slowness{}
	}
	ratio := delay.Seconds() / base
	if delay.Seconds()-base < leastGap.Seconds() {
		ratio = min(ratio, 1) // too small a gap to matter, however large the ratio
	}
	t.ratio.add(min(ratio, 20), now)
	switch {
	case t.ratio.count >= needed && t.ratio.value > slowRatio:
		// Each full set of samples that is still slow is a signal of its own.
		t.isSlow, t.ratio.count = true, 0
		return true
	case t.ratio.value < calm:
		t.isSlow = false
	}
	return false
}

// IsSlow says whether a tenant is between the two marks of the hysteresis.
func (s *Signals) IsSlow(tenant int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tenants[tenant]
	return t != nil && t.isSlow
}

func (m *moving) add(value float64, now time.Time) {
	if m.count == 0 && m.at.IsZero() {
		m.value = value
	}
	m.value += smoothed * (value - m.value)
	m.count++
	m.at = now
}
