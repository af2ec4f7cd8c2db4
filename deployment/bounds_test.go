package deployment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/membership"
	"asterridge/protocol"
)

// The options keep within the deployment's limits: if revoked keys must be rejected everywhere, a proxy serves without news for less than
// KeyRevocation, else for up to 10 s; old versions end before ModelVersion, and a core leaves before the grace period ends.
func TestOptionsFollowFromBounds(t *testing.T) {
	is := is.New(t)
	b := Bounds{RevocationClosed: true, KeyRevocation: 5 * time.Second, ModelVersion: 15 * time.Second, Lease: 3 * time.Second, Grace: 8 * time.Second, MemoryMB: 284, Tolerance: membership.Tolerance{Machines: 2}}
	a, p, c := b.Agent(), b.Proxy(), b.Core()
	is.Equal(a.FreshLimit, 4*time.Second)
	is.Equal(a.UndecidedLimit, 4*time.Second)
	is.Equal(p.OldWeightsLimit, 14*time.Second)
	is.Equal(c.Lease, 3*time.Second)
	is.True(c.AutoMembership)
	is.Equal(c.Tolerance.Machines, 2)
	is.True(c.LeaveTimeout > 0 && c.LeaveTimeout < b.Grace)
	is.Equal(p.PrefixIndexSize, 28400)
	is.Equal(p.BodyMemory, int64(71<<20))
	b.RevocationClosed = false
	is.Equal(b.Agent().FreshLimit, 10*time.Second)
	b.RevocationClosed, b.KeyRevocation = true, time.Minute
	is.Equal(b.Agent().FreshLimit, 10*time.Second)
	b.KeyRevocation = time.Second
	is.Equal(b.Agent().FreshLimit, protocol.FreshLimit) // never below the default, which allows for network delays
}

// For any grace period, a proxy aborts no request before the last sixth, the agent runs longer than its proxy, and every process ends in time.
func TestShutdownFitsIntoGracePeriod(t *testing.T) {
	is := is.New(t)
	for _, grace := range []time.Duration{900 * time.Millisecond, 2 * time.Second, 8 * time.Second, time.Minute} {
		b := Bounds{Grace: grace}
		a, p, c := b.Agent(), b.Proxy(), b.Core()
		is.True(p.ReadinessLinger < p.Grace)
		is.True(p.Grace > grace*5/6 && p.Grace < grace*9/10)
		is.True(p.Grace < a.Grace)
		is.True(a.CloseTimeout > 0 && a.Grace+a.CloseTimeout < grace)
		is.True(c.LeaveTimeout > 0 && c.CloseTimeout > 0 && c.LeaveTimeout+c.CloseTimeout < grace)
	}
}
