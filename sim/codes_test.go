package sim

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/fake"
	"asterridge/register"
	"asterridge/rpc"
)

// The codes that only a fault brings about.
func TestCodesOfFaults(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is, f := is.New(t), NewFleet(options(140))
		defer f.Stop()
		weight := controlplane.ConfigChange{Partial: true, Text: json.RawMessage(`{"tenants":[{"name":"a","weight":7}]}`)}
		_, err := f.Order(0, config.Key, weight)
		is.True(apierror.Is(err, apierror.NotFounded))
		f.Configure()

		// Two disks stall: a change is on two of four, and may or may not stand. Afterwards it is settled one way.
		release := []func(){f.Disks[0].Stall(), f.Disks[1].Stall()}
		_, err = f.Order(2, config.Key, weight)
		is.True(apierror.Is(err, apierror.Undecided) || apierror.Is(err, apierror.NoMajority))
		_, err = f.Order(3, config.Key, weight)
		is.True(apierror.Is(err, apierror.Undecided) || apierror.Is(err, apierror.NoMajority))
		for _, let := range release {
			let()
		}
		f.Until(5*time.Second, "changes are taken again", func() bool {
			_, err := f.Order(3, config.Key, weight)
			return err == nil
		})

		// A member that acts on another list of members.
		asker := string(must(f.Disks[1].Open().Get("self", "incarnation")))
		f.StartCore(1) // the look at its disk has ended the process before
		_, err = rpc.Call[register.Record](context.Background(), f.Wire, At(CoreIP(0)), "/register/promise",
			controlplane.RegisterRequest{From: asker, MembersVersion: 77, Key: config.Key, Epoch: 1 << 40})
		is.True(apierror.Is(err, apierror.OtherMembers))
		time.Sleep(2 * time.Second)

		// A stream that breaks off has ended for the caller; its code is counted.
		f.behave(fake.Behaviour{Tenant: "c", BreakAfter: 1})
		_, _, text := f.Ask(0, "c", "", chat("light"))
		is.True(strings.Contains(text, "broken off"))
		is.Equal(f.sum("bounce_"+apierror.StreamBroken.Name), int64(1))

		// A caller that leaves while it waits did not run.
		f.behave(fake.Behaviour{Tenant: "a", Refusing: true, RetryAfter: "8"})
		ctx, leave := context.WithCancel(context.Background())
		var asking sync.WaitGroup
		asking.Go(func() {
			q := must(http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ProxyAddress(1)+chatAddress, bytes.NewReader([]byte(chat("light")))))
			q.Header.Set("Authorization", "Bearer a-key")
			_, err := f.Client.Do(q)
			is.True(err != nil)
		})
		time.Sleep(time.Second)
		leave()
		asking.Wait()
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.sum("bounce_"+apierror.ClientGone.Name), int64(1))

		// Refused with nothing left for a retry: the answer names the refusal.
		f.behave(fake.Behaviour{Refusing: true})
		var said strings.Builder
		for range 9 {
			_, _, text = f.Ask(2, "b", "", chat("light"))
			said.WriteString(text)
		}
		is.True(strings.Contains(said.String(), "217 replica_refused"))
		noBreach(is, f)
	})
}
