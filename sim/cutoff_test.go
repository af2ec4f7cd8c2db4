package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/claim"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/rendezvous"
	"asterridge/router"
)

const longCut = 20 * time.Second

// ownerOf gives the core that a key is drawn to while all four live, and another one.
func ownerOf(key string) (owner, other int) {
	name := rendezvous.Pick(key, strings.Fields(allFour))
	number, _ := strconv.Atoi(strings.TrimPrefix(name, "core-"))
	return number - 1, number % 4
}

// isolate cuts a core off from all other cores: what it sends, what is sent to it, or both. Operators and the platform reach it as before.
func (f *Fleet) isolate(core int, sending, receiving, cut bool) {
	for other := range f.Disks {
		if other == core {
			continue
		}
		if sending {
			f.Net.setPartitioned(CoreIP(core), CoreIP(other), cut)
		}
		if receiving {
			f.Net.setPartitioned(CoreIP(other), CoreIP(core), cut)
		}
	}
}

// isRefusal says whether operators' tools would take an answer for a refusal, after which they give up.
func isRefusal(err error) bool {
	return apierror.Is(err, apierror.Conflict) || err != nil && apierror.Of(err).Code.Number < 200
}

// untilRefused has a core refuse a configuration that lost its race; until it does, it says nothing clear, and never yes.
func (f *Fleet) untilRefused(is *is.I, core int, d config.NumberedConfig) {
	is.Helper()
	f.Until(6*time.Second, fmt.Sprintf("%d is refused", d.Number), func() bool {
		err := f.core(core).SubmitConfig(context.Background(), d)
		is.True(err != nil)
		return apierror.Is(err, apierror.Conflict)
	})
}

// untilDeclared reads the configuration from a core until it answers.
func (f *Fleet) untilDeclared(core int) (number uint64, names []string) {
	f.Until(6*time.Second, "the configuration is read", func() bool {
		var err error
		number, names, err = f.declared(core)
		return err == nil
	})
	return number, names
}

// A core that owned the configuration is cut off from the other cores for twenty seconds, both ways or one way, or frozen and woken, while
// operators still reach it and the others go on: it refuses no proper order and shows no old configuration, and afterwards it takes orders again.
func TestCutOffOwnerRefusesNothingAndShowsNothingOld(t *testing.T) {
	t.Parallel()
	for at, cut := range [][2]bool{{true, true}, {true, false}, {false, true}, {false, false}} { // sending, receiving; neither: frozen
		inNumbered(t, numberedOptions(uint64(700+at), 4), func(is *is.I, f *Fleet) {
			f.untilMembership(10*time.Second, allFour)
			owner, other := ownerOf(config.Key)
			f.declare(other, numbered(1, 0, true, "a"))
			f.declare(owner, numbered(2, 1, false, "b"))
			frozen := !cut[0] && !cut[1]
			if frozen {
				f.Net.Freeze(CoreIP(owner), true)
			} else {
				f.isolate(owner, cut[0], cut[1], true)
			}
			f.declare(other, numbered(3, 2, false, "c"))
			ask := func() {
				short, stop := context.WithTimeout(context.Background(), time.Second)
				defer stop()
				err := f.core(owner).SubmitConfig(short, numbered(4, 3, false, "d"))
				is.True(!isRefusal(err))
				if err == nil { // frozen, and woken meanwhile
					return
				}
				if number, _, err := f.declared(owner); err == nil {
					is.True(number >= 3)
				}
			}
			for since := time.Now(); time.Since(since) < longCut; time.Sleep(time.Second) {
				if !frozen {
					ask()
				}
			}
			f.Net.Freeze(CoreIP(owner), false)
			f.isolate(owner, true, true, false)
			ask()
			f.declare(owner, numbered(4, 3, false, "d"))
			for core := range 4 {
				f.declare(core, numbered(1, 0, true, "a")) // each that was taken is acknowledged again everywhere
				f.declare(core, numbered(2, 1, false, "b"))
				f.declare(core, numbered(3, 2, false, "c"))
				number, names := f.untilDeclared(core)
				is.Equal(number, uint64(4))
				is.Equal(names, []string{"a", "b", "c", "d"})
				f.untilRefused(is, core, numbered(4, 3, false, "lost the race"))
			}
		})
	}
}

// Orders in the product's own language at such a core: what rests on an older state is no verdict either.
func TestCutOffOwnerGivesNoVerdictOnItsOwnLanguage(t *testing.T) {
	t.Parallel()
	inBubble(t, options(710), func(is *is.I, f *Fleet) {
		key := config.KeysPrefix + "a"
		owner, other := ownerOf(key)
		hash := config.HashKey("another")
		_, err := f.Order(owner, "keys", controlplane.AccessKeyChange{Tenant: "a", Hash: hash, Revoked: true}) // the owner holds the key from here on
		is.True(apierror.Is(err, apierror.NotFound))
		f.isolate(owner, true, true, true)
		f.Until(6*time.Second, "the others take the key", func() bool {
			_, err := f.Order(other, "keys", controlplane.AccessKeyChange{Tenant: "a", Hash: hash})
			return err == nil
		})
		for since := time.Now(); time.Since(since) < longCut; time.Sleep(time.Second) {
			_, err = f.Order(owner, "keys", controlplane.AccessKeyChange{Tenant: "a", Hash: hash, Revoked: true})
			is.True(err != nil && !apierror.Is(err, apierror.NotFound))
		}
		f.isolate(owner, true, true, false)
		f.Until(6*time.Second, "the key is revoked", func() bool {
			_, err := f.Order(owner, "keys", controlplane.AccessKeyChange{Tenant: "a", Hash: hash, Revoked: true})
			return err == nil
		})
	})
}

// A hundred changes by several operators at all cores, while cores are killed, emptied and replaced: all that were acknowledged are
// acknowledged again by every core, each loser of a race is refused, and the numbers read never go back.
func TestOrdersSentAgainAfterCoresWereReplaced(t *testing.T) {
	t.Parallel()
	inNumbered(t, numberedOptions(720, 4), func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, allFour)
		random := rand.New(rand.NewPCG(720, 1))
		var taken, lost []config.NumberedConfig
		for n := uint64(1); n <= 100; n++ {
			one, other := numbered(n, n-1, n == 1, "a", fmt.Sprint("p", n%5)), numbered(n, n-1, n == 1, "b")
			f.declare(random.IntN(4), one)
			err := f.core(random.IntN(4)).SubmitConfig(context.Background(), other)
			is.True(err != nil)
			taken, lost = append(taken, one), append(lost, other)
			if n%25 != 0 {
				continue
			}
			core := int(n/25) - 1
			f.Kill(CoreIP(core))
			if n == 50 {
				f.Disks[core].Wipe()
			}
			f.declare((core+1)%4, one)
			f.StartCore(core)
			f.Until(15*time.Second, "all are members", func() bool { return members(f.membership()) == allFour })
		}
		for core := range 4 {
			for i, d := range taken {
				f.declare(core, d)
				err := f.core((core+i)%4).SubmitConfig(context.Background(), lost[i])
				is.True(apierror.Is(err, apierror.Conflict))
			}
			number, _, err := f.declared(core)
			is.NoErr(err)
			is.Equal(number, uint64(100))
		}
	})
}

// An order that expects a version, sent again after it was taken, is a yes as long as what it asked for stands; another one is refused.
func TestOrderThatExpectsAVersionIsSentAgain(t *testing.T) {
	t.Parallel()
	inBubble(t, options(711), func(is *is.I, f *Fleet) {
		version, _, err := f.config(0)
		is.NoErr(err)
		order := func(weight int) controlplane.ConfigChange {
			return controlplane.ConfigChange{Partial: true, ExpectedVersion: &version, Text: fmt.Appendf(nil, `{"tenants":[{"name":"a","weight":%d}]}`, weight)}
		}
		_, err = f.Order(0, config.Key, order(7))
		is.NoErr(err)
		for core := range 4 {
			_, err = f.Order(core, config.Key, order(7))
			is.NoErr(err)
			_, err = f.Order(core, config.Key, order(8))
			is.True(apierror.Is(err, apierror.Conflict))
		}
	})
}

// A claim that was given back and taken anew is forgotten by its own age, not by that of the claim before.
func TestClaimTakenAnewIsKeptForItsOwnAge(t *testing.T) {
	t.Parallel()
	o := options(712)
	o.ClaimRetention = 20 * time.Second
	inBubble(t, o, func(is *is.I, f *Fleet) {
		claim := func(nonce, state string) error {
			_, err := f.Order(0, "claim", claim.Request{Claim: router.Claim{Tenant: "a", Key: "k", Nonce: nonce, State: state}, Proxy: "p"})
			return err
		}
		is.NoErr(claim("one", "running"))
		time.Sleep(18 * time.Second)
		is.NoErr(claim("one", "free"))
		is.NoErr(claim("two", "running"))
		for range 18 {
			time.Sleep(time.Second)
			is.True(apierror.Is(claim("three", "running"), apierror.KeyUnknown))
		}
		f.Until(10*time.Second, "it is forgotten in the end", func() bool { return claim("three", "running") == nil })
	})
}

// What a former holder of the loading role sent arrives at the register's owner when the next holder has written there: it is refused, whatever
// held it up, and nothing of it stands.
func TestReservationsOfAFormerHolderThatArriveLateAreRefused(t *testing.T) {
	t.Parallel()
	inNumbered(t, numberedOptions(545, 4), func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, allFour)
		write := func(core int, lease, version uint64) error {
			change := config.Field("pool-1", config.LoadOrder{Model: "m", Version: version, Done: true})
			change.Apply(config.Field(config.RoleHolderField, config.RoleHolder{Holder: fmt.Sprint("core-", core), Lease: lease}))
			_, err := f.Order(core, "loads", change)
			return err
		}
		is.NoErr(write(0, 5, 2))
		is.NoErr(write(1, 9, 3))
		for core := range 4 {
			is.True(apierror.Is(write(core, 5, 2), apierror.Superseded))
		}
		is.NoErr(write(2, 9, 4)) // the present holder again
		answer, err := f.Query(2, "fields")
		is.NoErr(err)
		is.True(slices.ContainsFunc(answer.Rows, func(row router.Row) bool {
			value, ok := row["value"].(map[string]any)
			return ok && row["field"] == "pool-1" && value["version"] == 4.0
		}))
	})
}
