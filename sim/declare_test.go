package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/daemon"
	"asterridge/membership"
)

// Right after a yes all cores stop at once, and one of them loses its disk: when they are back, the newest configuration is read from each,
// and the one without a disk is a member again within 4 s, whichever it is.
func TestAllStopAndOneDiskIsLost(t *testing.T) {
	t.Parallel()
	for _, cores := range []int{3, 4} {
		for lost := range cores {
			later := false
			o := numberedOptions(uint64(240+lost), cores)
			o.ChangeCoreHost = func(_ int, p *daemon.Host) { p.Bootstrapped = later }
			inNumbered(t, o, func(is *is.I, f *Fleet) {
				all := members("core-1 core-2 core-3 core-4"[:7*cores-1])
				f.untilMembership(10*time.Second, all)
				later = true
				f.declare(0, numbered(1, 0, true, "a"))
				is.NoErr(f.core((lost+1)%cores).SubmitConfig(context.Background(), numbered(2, 1, false, "b")))
				for i := range cores {
					f.Kill(CoreIP(i))
				}
				f.Disks[lost].Wipe()
				for i := range cores {
					f.StartCore((lost + i) % cores)
					time.Sleep(100 * time.Millisecond)
				}
				f.Until(4*time.Second, "all are back", func() bool { return members(f.membership()) == all })
				for i := range cores {
					number, names, err := f.declared(i)
					is.NoErr(err)
					is.Equal(number, uint64(2))
					is.Equal(names, []string{"a", "b"})
				}
			})
		}
	}
}

// Right after a yes all machines stop at once, also those without a disk that counts; one core loses its disk, and another one's is full when it
// is back. Read again and again from each core, the configuration comes within 3 s, and never an older one.
func TestAllStopAndOneDiskIsLostAndAnotherFull(t *testing.T) {
	t.Parallel()
	const contact, gap = 3 * time.Second, 50 * time.Millisecond
	for _, cores := range []int{3, 4} {
		for lost := range cores {
			full, later := (lost+1)%cores, false
			o := numberedOptions(uint64(300+10*cores+lost), cores)
			o.ChangeCoreHost = func(_ int, p *daemon.Host) { p.Bootstrapped = later }
			inNumbered(t, o, func(is *is.I, f *Fleet) {
				f.untilMembership(10*time.Second, members("core-1 core-2 core-3 core-4"[:7*cores-1]))
				later = true
				f.declare(0, numbered(1, 0, true, "a"))
				is.NoErr(f.core((lost+2)%cores).SubmitConfig(context.Background(), numbered(2, 1, false, "b")))
				for i := range cores {
					f.Kill(CoreIP(i))
				}
				for i := range f.Proxies {
					f.Kill(ProxyIP(i))
				}
				f.Disks[lost].Wipe()
				f.Disks[full].Fill(true)
				for i := range cores {
					f.StartCore((lost + i) % cores)
				}
				came := map[int]bool{}
				for end := time.Now().Add(contact); time.Now().Before(end); time.Sleep(gap) {
					for i := range cores {
						if f.core(i) == nil {
							continue
						}
						if number, _, err := f.declared(i); err == nil {
							is.Equal(number, uint64(2))
							came[i] = true
						}
					}
				}
				if len(came) < membership.Majority(cores) {
					t.Errorf("%d cores, %d without its disk, %d full: read from %v", cores, lost, full, came)
				}
			})
		}
	}
}

// A core is killed while a configuration is being taken, at any moment of it. Repeated unchanged at the others, the call is answered with a
// clear word in the end, and what was said stands: a yes is there for good, and after a conflict another one is there.
func TestDeclarationWhileACoreIsKilledIsDecidedOnce(t *testing.T) {
	t.Parallel()
	inNumbered(t, numberedOptions(250, 4), func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, allFour)
		f.declare(0, numbered(1, 0, true, "a"))
		random := rand.New(rand.NewPCG(250, 1))
		for n := uint64(2); n < 42; n++ {
			killed, asked := random.IntN(4), random.IntN(4)
			d := numbered(n, n-1, false, fmt.Sprint("p", n))
			said := make(chan error, 1)
			go func() {
				short, stop := context.WithTimeout(context.Background(), time.Second) // then operators' tools move on
				defer stop()
				said <- f.core(asked).SubmitConfig(short, d)
			}()
			time.Sleep(time.Duration(random.IntN(12000)) * time.Microsecond)
			f.Kill(CoreIP(killed))
			err := <-said
			is.True(err == nil || !apierror.Is(err, apierror.Conflict) && !apierror.Is(err, apierror.OutOfRange)) // nobody else declares
			other := (killed + 1 + random.IntN(3)) % 4
			f.declare(other, d)
			number, names, err := f.declared(other)
			is.NoErr(err)
			is.Equal(number, n)
			is.Equal(len(names), int(n)) // the path a, and one for each number from 2
			f.StartCore(killed)
			f.untilMembership(5*time.Second, allFour)
		}
	})
}

// Access keys that are declared with a tenant open its paths at every proxy, and no longer once they are taken away; a key may go over to
// another tenant.
func TestDeclaredKeysAreGivenAndTakenAway(t *testing.T) {
	t.Parallel()
	inNumbered(t, numberedOptions(251, 4), func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, allFour)
		tenant := func(d *config.NumberedConfig, name string, keys ...string) {
			made := config.Tenant{Name: name, Weight: 1, Backlog: 5, Scope: "pool"}
			for _, key := range keys {
				made.Keys = append(made.Keys, config.HashKey(key+"-key"))
			}
			d.Items.Apply(config.Field("tenant/"+name, made))
			d.Digest += fmt.Sprint(name, keys)
		}
		closed := config.Path{Name: "chat", Address: "/v1/chat/completions", Pool: "web", DeadlineMs: 1000, MaxBody: 1000, Cost: 1}
		d := numbered(1, 0, true)
		d.Items.Apply(config.Field("path/chat", closed))
		tenant(&d, "one", "a", "b")
		f.declare(0, d)
		opens := func(keys ...string) func() bool {
			return func() bool {
				for i := range f.Proxies {
					for _, key := range []string{"a", "b", "c"} {
						_, code, _ := f.Ask(i, key, "", chat("light"))
						if (code == fmt.Sprint(apierror.NoReplica.Number)) != slices.Contains(keys, key) {
							return false
						}
					}
				}
				return true
			}
		}
		f.Until(4*time.Second, "a and b open", opens("a", "b"))
		d = numbered(2, 1, false)
		tenant(&d, "one", "b", "c")
		f.declare(1, d)
		f.Until(2*time.Second, "b and c open", opens("b", "c"))
		d = numbered(3, 2, false)
		d.Removed = []string{"tenant/one"}
		tenant(&d, "two", "a")
		f.declare(2, d)
		f.Until(2*time.Second, "a alone opens", opens("a"))
	})
}
