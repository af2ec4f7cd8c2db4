package agent

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/config"
	"asterridge/daemon"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/watch"
)

// Guards against dropped cache updates when a response is slow: the core that sent it must still count as live while it is handled, even
// if by their previous responses all cores are unresponsive (§6.4).
func TestCacheUpdatesOfSlowResponseAreForwarded(t *testing.T) {
	is := is.New(t)
	a := New(daemon.Host{Name: "agent-1", Net: &rpc.TCP{}, Log: zerolog.Nop()}, nil, Options{})
	for _, name := range []string{"core-1", "core-2", "core-3", "core-4"} {
		a.members = append(a.members, config.Member{Name: name, Address: name})
		a.cores[name] = watch.NewClient(watch.ClientOptions{Address: name}) // no request was answered recently
	}
	key := router.CachedPrefix + "replica-1"
	response := watch.Response{Snapshot: true, Updates: []watch.KeyUpdate{{Key: key, Fields: register.Fields{"block": []byte("7")}}}}
	a.forwardCached(a.cores["core-3"], response)
	got, err := a.proxyUpdates.Watch(t.Context(), watch.Request{Name: "proxy"})
	is.NoErr(err)
	is.Equal(len(got.Updates), 1)
	is.Equal(string(got.Updates[0].Fields["block"]), "7")
}

// An agent must find the file that an earlier version stored.
func TestCoresFileNameIsUnchanged(t *testing.T) { is.New(t).Equal(coresFile, "cores") }
