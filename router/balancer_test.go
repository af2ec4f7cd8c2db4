package router

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/inflight"
	"asterridge/register"
	"asterridge/rpc"
)

// A request waits for a core's choice in proportion to its latency target, up to a fixed maximum.
func TestCoreQueryTimeoutFollowsLatencyTarget(t *testing.T) {
	is := is.New(t)
	is.Equal(queryTimeoutOf(0), queryTimeout)
	is.Equal(queryTimeoutOf(600), 30*time.Millisecond)
	is.Equal(queryTimeoutOf(600000), maxQueryTimeout)
}

// A failed core is passed over for the next one in rank until the backoff has passed. A fleet with more replicas than one core owns the loads
// of has several owners, and all proxies agree on each replica's owner.
func TestLoadOwnersAgreeAndSkipFailedCores(t *testing.T) {
	is := is.New(t)
	cores := register.Fields{}
	for i := range 5 {
		cores[fmt.Sprint("core-", i)] = fmt.Appendf(nil, "%q", fmt.Sprint("10.0.0.", i, ":7000"))
	}
	one, other := newBalancer(), newBalancer()
	for _, b := range []*balancer{&one, &other} {
		b.setCores(cores)
		b.setReplicas(replicasPerCore)
	}
	now := time.Now()
	first := one.owners(now)
	is.Equal(len(first), 1)
	is.Equal(first, other.owners(now))
	one.link(first[0]).pausedUntil = now.Add(coreBackoff)
	is.True(one.owners(now)[0] != first[0])
	is.Equal(one.owners(now.Add(coreBackoff)), first)
	one.setReplicas(3*replicasPerCore + 1)
	other.setReplicas(3*replicasPerCore + 1)
	is.Equal(len(one.owners(now.Add(coreBackoff))), 4)
	is.Equal(one.owners(now.Add(coreBackoff)), other.owners(now))
	parts := map[int]int{}
	for i := range 400 {
		name := fmt.Sprint("replica-", i)
		is.Equal(one.shard(name), other.shard(name))
		parts[one.shard(name)]++
	}
	is.Equal(len(parts), 4)
	one.setCores(register.Fields{})
	is.Equal(one.owners(now), []string{"", "", "", ""})
	_, _, request := one.placementRequest(&View{}, []candidate{{replica: &replica{load: newLoad()}, cache: &cacheState{}}}, now)
	is.Equal(request, inflight.Request{}) // there is no core to ask
}

// A core that cannot be reached is paused. A request that is canceled by its client before the core answers does not pause the core: that
// would take a healthy core out of use.
func TestCanceledRequestDoesNotPauseCore(t *testing.T) {
	is := is.New(t)
	r := New(Options{Name: "p", Net: &rpc.TCP{}, Log: zerolog.Nop()})
	left, leave := context.WithCancel(context.Background())
	leave()
	_, err := r.sendLoads(left, "core", "127.0.0.1:1", inflight.Request{}, time.Second)
	is.True(err != nil)
	is.True(r.balancer.link("core").pausedUntil.IsZero())
	_, err = r.sendLoads(context.Background(), "core", "127.0.0.1:1", inflight.Request{}, time.Second)
	is.True(err != nil)
	is.True(time.Now().Before(r.balancer.link("core").pausedUntil))
}
