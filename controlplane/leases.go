package controlplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"asterridge/lease"
	"asterridge/rpc"
)

// leasePrefix is the key prefix of the registers that hold leases, one for each singleton role.
const leasePrefix = "term/"

// The singleton roles held under a lease, as named in the keys of their registers.
const (
	weightsRole    = "rollout"
	loadingRole    = "loading"
	retirementRole = "retirement"
)

const (
	// roleLease is the duration of the leases for weights rollouts and retirements.
	roleLease = 3 * time.Second
	// campaignsPerLease is how often per lease duration the holder renews the lease and other candidates try to acquire it.
	campaignsPerLease = 5
	// leaseMarginDivisor determines the safety margin: a holder gives up its lease an eighth of its duration before it ends.
	leaseMarginDivisor = 8
	// prunesPerRetention is how often claims are pruned per retention period.
	prunesPerRetention = 20
)

// LeaseRequest replaces a role's grant, provided that it is still the one the candidate expects.
type LeaseRequest struct {
	Role     string      `json:"duty"`
	Grant    lease.Grant `json:"made"`
	Expected lease.Grant `json:"met"`
}

func (r LeaseRequest) register() string { return leasePrefix + r.Role }

func (c *Core) grantLease(ctx context.Context, request LeaseRequest) (Accepted, error) {
	revision, err := c.owner.Change(ctx, request.register(), request.Grant.Replace(request.Expected))
	return Accepted{Version: revision.Version}, err
}

// leaseStore stores the grants of singleton roles in registers.
type leaseStore struct{ core *Core }

var _ lease.Store = leaseStore{}

// Read implements lease.Store.
func (s leaseStore) Read(role string) lease.Grant {
	record := s.core.acceptor.Read(leasePrefix + role)
	return lease.ReadGrant(record.Fields, record.Revision.Version)
}

// Acquire implements lease.Store.
func (s leaseStore) Acquire(ctx context.Context, role string, grant, expected lease.Grant) (version uint64, err error) {
	request := LeaseRequest{Role: role, Grant: grant, Expected: expected}
	accepted, err := rpc.Call[Accepted](ctx, s.core.rpc, s.core.host.Address, "/op/term", request)
	return accepted.Version, err
}

// newCandidate makes this core a candidate for a role. Its holder name is unique to this run of the process.
func (c *Core) newCandidate(role string, length time.Duration) *lease.Candidate {
	candidate := lease.New(lease.Options{
		Role:   role,
		Holder: c.host.Name + "." + c.incarnation + "." + c.peerUpdates.RunID(),
		Length: length,
		Margin: length / leaseMarginDivisor,
		Store:  leaseStore{core: c},
		Log:    c.host.Log,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.candidates = append(c.candidates, candidate)
	return candidate
}

// releaseRoles permanently releases the singleton roles held by this core, before it shuts down.
func (c *Core) releaseRoles(ctx context.Context) {
	c.mu.Lock()
	candidates := slices.Clone(c.candidates)
	c.mu.Unlock()
	var releasing sync.WaitGroup
	for _, candidate := range candidates {
		releasing.Go(func() { candidate.Release(ctx) })
	}
	releasing.Wait()
}

// runRoles performs the singleton roles that need no platform, whenever this core holds them, until the context ends.
func (c *Core) runRoles(ctx context.Context) {
	go rpc.Every(ctx, c.options.ClaimRetention/prunesPerRetention, func() { c.pruneClaims(ctx) })
	if c.options.Backend != nil {
		return // with a platform, replicas get their orders from the model loader
	}
	go c.runRetirements(ctx)
	c.runWeightsRollout(ctx)
}
