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

// A core whose answer was long on its way still counts as the reader of its sources, though all are silent by their last answers (§6.4).
func TestNewsOfKeptPromptsCountHoweverLongTheyTook(t *testing.T) {
	is := is.New(t)
	a := New(daemon.Host{Name: "agent-1", Net: &rpc.TCP{}, Log: zerolog.Nop()}, nil, Options{})
	for _, name := range []string{"core-1", "core-2", "core-3", "core-4"} {
		a.members = append(a.members, config.Member{Name: name, Address: name})
		a.cores[name] = watch.NewClient(watch.ClientOptions{Address: name}) // its asks were never answered, or long ago
	}
	key := router.CachedPrefix + "replica-1"
	answer := watch.Response{Snapshot: true, Updates: []watch.KeyUpdate{{Key: key, Fields: register.Fields{"block": []byte("7")}}}}
	a.forwardCached(a.cores["core-3"], answer)
	got, err := a.proxyUpdates.Watch(t.Context(), watch.Request{Name: "proxy"})
	is.NoErr(err)
	is.Equal(len(got.Updates), 1)
	is.Equal(string(got.Updates[0].Fields["block"]), "7")
}

// The file's name on disk stays as it is.
func TestStoredNameKeepsItsForm(t *testing.T) { is.New(t).Equal(coresFile, "cores") }
