package throttle

import (
	"slices"
	"sync"
	"time"
)

const (
	// rejectionWindow is the longest time between two rejections that are counted together.
	rejectionWindow = 10 * time.Second
	// recentlyServed is how recently another tenant must have been served for the replicas to count as serving.
	recentlyServed = time.Second
	// sampleRetention is the age at which a delay sample is ignored.
	sampleRetention = 30 * time.Second
	// slowSamples is how many slow delays in a row count as a signal.
	slowSamples = 6
	// smoothing is the weight of a new sample.
	smoothing = 0.25
	// normalRatio is the ratio to the other tenants' delay below which a tenant counts as not slowed.
	normalRatio = 1.5
	// maxRatio limits the ratio of one sample, so that a single one cannot dominate the average.
	maxRatio = 20
	// minDifferenceSeconds is the smallest difference in delay that counts, minBaseSeconds the smallest base that delays
	// are compared with.
	minDifferenceSeconds = 0.1
	minBaseSeconds       = 0.001
)

// Signals tells a throttled tenant from an unhealthy replica: a throttled tenant is rejected or slowed by replicas that serve other tenants
// normally. Replicas, tenants and request kinds are dense indices.
type Signals struct {
	mu sync.Mutex // guards what follows
	// rejections has the rejections of each tenant since it was last served.
	rejections map[int]*rejections
	// lastServed is when the latest served request had been sent, lastRejected when the last rejection arrived.
	lastServed   map[replicaTenant]time.Time
	lastRejected map[replicaTenant]time.Time
	// delays has the average delay of each tenant, by replica and kind of request.
	delays  map[replicaKind]map[int]*movingAverage
	tenants map[int]*slowness
}

type replicaTenant struct{ replica, tenant int }

type replicaKind struct{ replica, kind int }

// rejections counts the rejections of one tenant since it was last served by any replica.
type rejections struct {
	count   int
	last    time.Time
	firstBy map[int]time.Time // by replica
}

// movingAverage is an exponentially smoothed value.
type movingAverage struct {
	value float64
	at    time.Time // of the last sample
}

func (a *movingAverage) add(value float64, now time.Time) {
	if a.at.IsZero() {
		a.value = value
	}
	a.value += smoothing * (value - a.value)
	a.at = now
}

// slowness compares a tenant's delays with those of the other tenants.
type slowness struct {
	ratio movingAverage
	// slowInRow is the number of slow samples in a row, slowSince the time of the first of them.
	slowInRow int
	slowSince time.Time
	slow      bool
}

// NewSignals returns an empty Signals.
func NewSignals() *Signals {
	return &Signals{
		rejections:   map[int]*rejections{},
		lastServed:   map[replicaTenant]time.Time{},
		lastRejected: map[replicaTenant]time.Time{},
		delays:       map[replicaKind]map[int]*movingAverage{},
		tenants:      map[int]*slowness{},
	}
}

// Rejected records a rejection that gives no reason, and reports whether the tenant is being throttled. A tenant that was rejected twice and
// not served since is throttled if a replica that rejected it serves another tenant. It is also throttled if two replicas rejected it and no
// other tenant was served recently; if others are served, but only by other replicas, the rejecting replicas may be unhealthy.
func (s *Signals) Rejected(replica, tenant int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r := s.rejections[tenant]
	if r == nil || now.Sub(r.last) > rejectionWindow {
		r = &rejections{firstBy: map[int]time.Time{}}
		s.rejections[tenant] = r
	}
	r.count++
	r.last = now
	if r.firstBy[replica].IsZero() {
		r.firstBy[replica] = now
	}
	s.lastRejected[replicaTenant{replica, tenant}] = now
	if r.count < 2 {
		return false
	}
	anotherServedRecently := false
	for pair, sent := range s.lastServed {
		first, rejecting := r.firstBy[pair.replica]
		if pair.tenant != tenant && rejecting && sent.After(first) && now.Sub(s.lastRejected[pair]) > rejectionWindow {
			return true
		}
		anotherServedRecently = anotherServedRecently || pair.tenant != tenant && now.Sub(sent) < recentlyServed
	}
	return len(r.firstBy) > 1 && !anotherServedRecently
}

// HasRejected reports whether a replica rejected the tenant, which has not been served since.
func (s *Signals) HasRejected(replica, tenant int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rejections[tenant]
	return r != nil && !r.firstBy[replica].IsZero() && time.Since(r.last) < rejectionWindow
}

// Began records the delay of a request's first chunk, and reports whether the tenant has just been found to be slowed. prefill is how long the
// prefill of the whole prompt may take: a delay that this explains is not a signal.
func (s *Signals) Began(replica, kind, tenant int, delay, prefill time.Duration, slowRatio float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	sent := now.Add(-delay)
	s.lastServed[replicaTenant{replica, tenant}] = sent
	if r := s.rejections[tenant]; r != nil && sent.After(r.last) {
		delete(s.rejections, tenant) // a request sent before the last rejection would not show that the throttle is over
	}
	othersMedian, ok := s.othersDelay(replicaKind{replica, kind}, tenant, delay, now)
	if !ok {
		return false
	}
	base := max(othersMedian, prefill.Seconds(), minBaseSeconds)
	ratio := delay.Seconds() / base
	if delay.Seconds()-base < minDifferenceSeconds {
		ratio = min(ratio, 1) // the difference is too small to count, however large the ratio
	}
	return s.addRatio(tenant, ratio, slowRatio, now)
}

// othersDelay returns the median delay of the other tenants there, in seconds, and records the tenant's own; not ok if there are no others.
func (s *Signals) othersDelay(at replicaKind, tenant int, delay time.Duration, now time.Time) (median float64, ok bool) {
	delays := s.delays[at]
	if delays == nil {
		delays = map[int]*movingAverage{}
		s.delays[at] = delays
	}
	var others []float64
	for other, a := range delays {
		if other != tenant && now.Sub(a.at) < sampleRetention {
			others = append(others, a.value)
		}
	}
	if delays[tenant] == nil {
		delays[tenant] = &movingAverage{}
	}
	delays[tenant].add(delay.Seconds(), now)
	if len(others) == 0 {
		return 0, false
	}
	slices.Sort(others)
	return others[(len(others)-1)/2], true
}

// addRatio records the ratio of a tenant's delay to that of the others, and reports whether it completes a series of slow samples while
// another tenant is not slowed.
func (s *Signals) addRatio(tenant int, ratio, slowRatio float64, now time.Time) bool {
	t := s.tenants[tenant]
	if t == nil || now.Sub(t.ratio.at) > sampleRetention {
		t = &slowness{}
		s.tenants[tenant] = t
	}
	t.ratio.add(min(ratio, maxRatio), now)
	if t.ratio.value < normalRatio {
		t.slow = false
	}
	if ratio < normalRatio {
		t.slowInRow = 0
		return false
	}
	if t.slowInRow++; t.slowInRow == 1 {
		t.slowSince = now
	}
	if t.slowInRow < slowSamples || t.ratio.value <= slowRatio || !s.anotherTenantNormal(tenant, t.slowSince) {
		return false
	}
	t.slow, t.slowInRow = true, 0 // every further complete series of slow samples is another signal
	return true
}

// anotherTenantNormal reports whether another tenant was served without slowdown since a time; if none was, all tenants are slow alike.
func (s *Signals) anotherTenantNormal(tenant int, since time.Time) bool {
	for other, t := range s.tenants {
		if other != tenant && t.ratio.at.After(since) && t.ratio.value < normalRatio {
			return true
		}
	}
	return false
}

// IsSlow reports whether a tenant was found to be slowed and has not recovered since.
func (s *Signals) IsSlow(tenant int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tenants[tenant]
	return t != nil && t.slow
}
