package controlplane

import (
	"testing"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/claim"
	"asterridge/config"
	"asterridge/golden"
	"asterridge/gossip"
	"asterridge/inflight"
	"asterridge/lease"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/replicaclient"
	"asterridge/router"
	"asterridge/throttle"
	"asterridge/watch"
)

// Guards the wire and storage formats: messages between daemons, and records stored by cores, must stay readable by earlier builds.
func TestMessageFormatsUnchanged(t *testing.T) {
	golden.CompareMessages(t, "testdata/messages.txt", []golden.Message{
		{Name: "POST /core/hello: question and answer", Type: protocol.Hello{}},
		{Name: "POST /core/pull, /core/whole, /agent/pull: question", Type: watch.Request{}},
		{Name: "POST /core/pull, /core/whole, /agent/pull: answer", Type: watch.Response{}},
		{Name: "status of an agent, within the question of its link", Type: protocol.AgentStatus{}},
		{Name: "status of a proxy, within the question of its link", Type: router.Status{}},
		{Name: "POST /core/hold, /agent/hold, /op/hold", Type: throttle.Notice{}},
		{Name: "POST /register/promise, /confirm, /accept, /settle: question", Type: RegisterRequest{}},
		{Name: "POST /register/promise: answer", Type: register.Record{}},
		{Name: "a version's file on disk, and the change in an accept", Type: register.Change{}},
		{Name: "POST /ring/beat: question", Type: gossip.Heartbeat{}},
		{Name: "POST /ring/beat: answer", Type: gossip.HeartbeatReply{}},
		{Name: "POST /ring/doubt: question", Type: gossip.Suspicion{}},
		{Name: "POST /ring/doubt: answer", Type: gossip.SuspicionReply{}},
		{Name: "POST /op/" + config.Key, Type: ConfigChange{}},
		{Name: "POST /op/keys", Type: AccessKeyChange{}},
		{Name: "POST /op/replicas", Type: ReplicasChange{}},
		{Name: "POST /op/claim, /agent/claim", Type: claim.Request{}},
		{Name: "POST /op/claim: answer", Type: router.Claim{}},
		{Name: "POST /op/term", Type: LeaseRequest{}},
		{Name: "POST /op/members", Type: membership.Change{}},
		{Name: "POST /op/settle", Type: CommitRequest{}},
		{Name: "POST /op/settle: answer", Type: CommitResponse{}},
		{Name: "POST /op/declaration", Type: config.NumberedConfig{}},
		{Name: "POST /op/models", Type: ModelVersionChange{}},
		{Name: "POST /op/retirement", Type: RetirementChange{}},
		{Name: "POST /op/advance", Type: RetirementStep{}},
		{Name: "POST /core/liveness: question", Type: LivenessRequest{}},
		{Name: "POST /core/liveness: answer", Type: LivenessResponse{}},
		{Name: "POST /core/place", Type: inflight.Request{}},
		{Name: "POST /core/place: answer", Type: inflight.Response{}},
		{Name: "answer to an accepted change", Type: Accepted{}},
		{Name: "answer to a rejected call", Type: apierror.Body{}},
		{Name: "POST /query, /agent/query", Type: Query{}},
		{Name: "POST /query: answer", Type: QueryResponse{}},
		{Name: "question for rows of a proxy", Type: router.Query{}},
		{Name: "report of a replica, with its cache", Type: replicaclient.Report{}},
		{Name: "order to a replica with adapters", Type: router.AdapterOrder{}},
		{Name: "event of an attempt, in the proxy's log", Type: router.Event{}},
		{Name: "stored: a claim", Type: claim.Record{}},
		{Name: "stored: a grant of a lease", Type: lease.Grant{}},
		{Name: "stored: a member", Type: config.Member{}},
		{Name: "stored: a replica", Type: config.Replica{}},
		{Name: "stored: a model", Type: config.Model{}},
		{Name: "stored: a load order", Type: config.LoadOrder{}},
		{Name: "stored: an access key", Type: config.Access{}},
		{Name: "stored: a tenant", Type: config.Tenant{}},
		{Name: "stored: the shared cache scope", Type: config.SharedCache{}},
		{Name: "stored: a pool", Type: config.Pool{}},
		{Name: "stored: a path", Type: config.Path{}},
		{Name: "stored: limits", Type: config.Limits{}},
		{Name: "stored: the hold", Type: config.ThrottleRule{}},
		{Name: "stored: an adapter", Type: config.Adapter{}},
		{Name: "stored: a retirement", Type: config.Retirement{}},
		{Name: "stored: the duty within a retirement", Type: config.RoleHolder{}},
	})
}

// The names under which state is stored and sent must not change.
func TestStoredNamesUnchanged(t *testing.T) {
	is := is.New(t)
	is.Equal([]string{protocol.IdentityFolder, incarnationFile, firstStartFile, membershipVersionFile, unresponsiveFile}, []string{"self", "incarnation", "founder", "members", "silent"})
	is.Equal([]string{membership.PreviousField, membership.HighestIDField, protocol.ThrottlePrefix, leasePrefix}, []string{"~carry", "~next", "hold/", "term/"})
	is.Equal([]string{config.Key, config.ModelsKey, config.LoadsKey, config.RetirementKey, config.ReplicasKey, config.MembersKey, config.KeysPrefix},
		[]string{"blue" + "print", "models", "loads", "retirement", "replicas", "members", "keys/"})
	is.Equal([]string{router.ThrottleKey, router.ModelVersionsKey, router.ProxiesKey, router.ReportsKey, router.CachedPrefix, router.CoresKey},
		[]string{"hold", "named", "proxies", "reports", "kept/", "cores"})
}
