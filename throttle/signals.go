package throttle

import (
	"slices"
	"sync"
	"time"
)

const (
	// rejectionWindow is the time beyond which rejections are not seen together.
	rejectionWindow = 10 * time.Second
	// recentlyServed is how long ago another tenant was served for the replicas to count as serving.
	recentlyServed = time.Second
	// sampleRetention is the age at which a delay says nothing any more.
	sampleRetention = 30 * time.Second
	// slowSamples is how many slow delays in a row are a signal.
	slowSamples = 6
	// smoothing is the weight of a new sample.
	smoothing = 0.25
	// calmRatio is the ratio to the others' delay below which a tenant is at its usual pace.
	calmRatio = 1.5
	// maxRatio bounds what one sample counts.
	maxRatio = 20
	// minGapSeconds is the least difference in delay that matters, minBaseSeconds the least delay to compare with.
	minGapSeconds  = 0.1
	minBaseSeconds = 0.001
)

// Signals tells a throttled tenant from an unhealthy replica, by whom a replica rejects or slows while it serves others. Replicas, tenants and
// request kinds are dense indices.
type Signals struct {
	mu sync.Mutex // guards what follows
	// rejections are those of a tenant since it was last served, by tenant.
	rejections map[int]*rejections
	// served is when the last request that was served was sent, rejected when the last rejection came.
	served   map[replicaTenant]time.Time
	rejected map[replicaTenant]time.Time
	// delays has the tenants' delays on one replica for one kind of request.
	delays  map[replicaKind]map[int]*average
	tenants map[int]*slowness
}

type replicaTenant struct{ replica, tenant int }

type replicaKind struct{ replica, kind int }

// rejections of one tenant since it was last served anywhere.
type rejections struct {
	count int
	last  time.Time
	first map[int]time.Time // by replica
}

// average is an exponentially smoothed value.
type average struct {
	value float64
	at    time.Time // of the last sample
}

func (a *average) add(value float64, now time.Time) {
	if a.at.IsZero() {
		a.value = value
	}
	a.value += smoothing * (value - a.value)
	a.at = now
}

// slowness is how a tenant's delays compare with the others'.
type slowness struct {
	ratio average
	// run is the number of slow samples in a row, began when the run did.
	run   int
	began time.Time
	slow  bool
}

// NewSignals makes an empty observer.
func NewSignals() *Signals {
	return &Signals{
		rejections: map[int]*rejections{},
		served:     map[replicaTenant]time.Time{},
		rejected:   map[replicaTenant]time.Time{},
		delays:     map[replicaKind]map[int]*average{},
		tenants:    map[int]*slowness{},
	}
}

// Rejected takes a rejection that does not name its ground, and reports whether the ground is the tenant. A tenant that was rejected twice
// and not served since is throttled if a replica that rejected it serves another tenant; or if two replicas rejected it and nobody else was
// served lately at all: while others are served, but not by those that reject, these may be unhealthy.
func (s *Signals) Rejected(replica, tenant int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r := s.rejections[tenant]
	if r == nil || now.Sub(r.last) > rejectionWindow {
		r = &rejections{first: map[int]time.Time{}}
		s.rejections[tenant] = r
	}
	r.count++
	r.last = now
	if r.first[replica].IsZero() {
		r.first[replica] = now
	}
	s.rejected[replicaTenant{replica, tenant}] = now
	if r.count < 2 {
		return false
	}
	anotherServed := false
	for at, sent := range s.served {
		first, rejecting := r.first[at.replica]
		if at.tenant != tenant && rejecting && sent.After(first) && now.Sub(s.rejected[at]) > rejectionWindow {
			return true
		}
		anotherServed = anotherServed || at.tenant != tenant && now.Sub(sent) < recentlyServed
	}
	return len(r.first) > 1 && !anotherServed
}

// HasRejected reports whether a replica rejected the tenant, which was not served since.
func (s *Signals) HasRejected(replica, tenant int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rejections[tenant]
	return r != nil && !r.first[replica].IsZero() && time.Since(r.last) < rejectionWindow
}

// Began takes the delay to the first chunk of a request, and reports whether the tenant has just shown as slowed. prefill is how long reading
// the whole prompt may take: a delay that this explains is no signal.
func (s *Signals) Began(replica, kind, tenant int, delay, prefill time.Duration, slowRatio float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	sent := now.Add(-delay)
	s.served[replicaTenant{replica, tenant}] = sent
	if r := s.rejections[tenant]; r != nil && sent.After(r.last) {
		delete(s.rejections, tenant) // what was sent before the last rejection says nothing of it
	}
	others, ok := s.othersDelay(replicaKind{replica, kind}, tenant, delay, now)
	if !ok {
		return false
	}
	base := max(others, prefill.Seconds(), minBaseSeconds)
	ratio := delay.Seconds() / base
	if delay.Seconds()-base < minGapSeconds {
		ratio = min(ratio, 1) // too small a gap to matter, however large the ratio
	}
	return s.addRatio(tenant, ratio, slowRatio, now)
}

// othersDelay gives the median delay of the other tenants there, in seconds, and adds the tenant's own; not ok if there are no others.
func (s *Signals) othersDelay(at replicaKind, tenant int, delay time.Duration, now time.Time) (median float64, ok bool) {
	delays := s.delays[at]
	if delays == nil {
		delays = map[int]*average{}
		s.delays[at] = delays
	}
	var others []float64
	for other, a := range delays {
		if other != tenant && now.Sub(a.at) < sampleRetention {
			others = append(others, a.value)
		}
	}
	if delays[tenant] == nil {
		delays[tenant] = &average{}
	}
	delays[tenant].add(delay.Seconds(), now)
	if len(others) == 0 {
		return 0, false
	}
	slices.Sort(others)
	return others[(len(others)-1)/2], true
}

// addRatio takes a tenant's ratio to the others, and reports whether it completes a run of slow samples while another tenant is calm.
func (s *Signals) addRatio(tenant int, ratio, slowRatio float64, now time.Time) bool {
	t := s.tenants[tenant]
	if t == nil || now.Sub(t.ratio.at) > sampleRetention {
		t = &slowness{}
		s.tenants[tenant] = t
	}
	t.ratio.add(min(ratio, maxRatio), now)
	if t.ratio.value < calmRatio {
		t.slow = false
	}
	if ratio < calmRatio {
		t.run = 0
		return false
	}
	if t.run++; t.run == 1 {
		t.began = now
	}
	if t.run < slowSamples || t.ratio.value <= slowRatio || !s.anotherCalm(tenant, t.began) {
		return false
	}
	t.slow, t.run = true, 0 // each complete run that is still slow is a signal of its own
	return true
}

// anotherCalm reports whether some other tenant was served at its usual pace since a time: else everyone is slow.
func (s *Signals) anotherCalm(tenant int, since time.Time) bool {
	for other, t := range s.tenants {
		if other != tenant && t.ratio.at.After(since) && t.ratio.value < calmRatio {
			return true
		}
	}
	return false
}

// IsSlow reports whether a tenant has shown as slowed and not as calm since.
func (s *Signals) IsSlow(tenant int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tenants[tenant]
	return t != nil && t.slow
}
