package sim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/standin"
)

var (
	chaosSeeds = flag.Int("seeds", 6, "how many seeds the random fault runs take")
	chaosFirst = flag.Uint64("first", 100, "the first of them")
)

// fault brings something about and undoes it.
type fault struct {
	name string
	do   func(f *Fleet, random *rand.Rand) (undo func())
}

func anyIP(f *Fleet, random *rand.Rand) string {
	if random.IntN(2) == 0 {
		return CoreIP(random.IntN(f.Options.Cores))
	}
	return ProxyIP(random.IntN(f.Options.Proxies))
}

var faults = []fault{
	{"a core killed", func(f *Fleet, random *rand.Rand) func() {
		i := random.IntN(4)
		f.Kill(CoreIP(i))
		return func() { f.StartCore(i) }
	}},
	{"all cores killed", func(f *Fleet, random *rand.Rand) func() {
		for i := range 4 {
			f.Kill(CoreIP(i))
		}
		return func() {
			for i := range 4 {
				f.StartCore(i)
			}
		}
	}},
	{"a disk lost", func(f *Fleet, random *rand.Rand) func() {
		f.lose(random.IntN(4))
		return func() {}
	}},
	{"a proxy machine killed", func(f *Fleet, random *rand.Rand) func() {
		i := random.IntN(f.Options.Proxies)
		f.Kill(ProxyIP(i))
		return func() { f.StartPair(i) }
	}},
	{"a machine cut off", func(f *Fleet, random *rand.Rand) func() {
		ip := anyIP(f, random)
		f.Net.Cut(ip, "")
		f.Net.Cut("", ip)
		return func() { f.Net.Mend(ip, ""); f.Net.Mend("", ip) }
	}},
	{"a machine cut off one way", func(f *Fleet, random *rand.Rand) func() {
		ip := anyIP(f, random)
		f.Net.Cut(ip, "")
		return func() { f.Net.Mend(ip, "") }
	}},
	{"one link slow", func(f *Fleet, random *rand.Rand) func() {
		from, to := anyIP(f, random), anyIP(f, random)
		f.Net.Slow(from, to, 300*time.Millisecond)
		return func() { f.Net.Slow(from, to, time.Millisecond) }
	}},
	{"the core split in two", func(f *Fleet, random *rand.Rand) func() {
		a, b := []string{CoreIP(0), CoreIP(1)}, []string{CoreIP(2), CoreIP(3)}
		f.Net.Part(a, b, true)
		return func() { f.Net.Part(a, b, false) }
	}},
	{"a disk full", func(f *Fleet, random *rand.Rand) func() {
		d := f.Disks[random.IntN(4)]
		d.Fill(true)
		return func() { d.Fill(false) }
	}},
	{"a disk slow", func(f *Fleet, random *rand.Rand) func() {
		d := f.Disks[random.IntN(4)]
		d.Slow(400 * time.Millisecond)
		return func() { d.Slow(0) }
	}},
	{"a disk stalled", func(f *Fleet, random *rand.Rand) func() { return f.Disks[random.IntN(4)].Stall() }},
	{"a replica killed", func(f *Fleet, random *rand.Rand) func() {
		i := random.IntN(f.Options.Replicas)
		f.Kill(ReplicaIP(i))
		return func() { f.StartReplica(i) }
	}},
	{"a replica gone silent", func(f *Fleet, random *rand.Rand) func() {
		ip := ReplicaIP(random.IntN(f.Options.Replicas))
		f.Net.Cut(ip, "")
		f.Net.Cut("", ip)
		return func() { f.Net.Mend(ip, ""); f.Net.Mend("", ip) }
	}},
	{"a tenant throttled", func(f *Fleet, random *rand.Rand) func() {
		tenant := f.Options.Tenants[random.IntN(len(f.Options.Tenants))]
		f.behave(standin.Behaviour{Tenant: tenant, IsRefusing: true})
		return func() { f.behave(standin.Behaviour{Tenant: tenant}) }
	}},
	{"streams cut", func(f *Fleet, random *rand.Rand) func() {
		tenant := f.Options.Tenants[random.IntN(len(f.Options.Tenants))]
		f.behave(standin.Behaviour{Tenant: tenant, CutAfter: 1 + random.IntN(5)})
		return func() { f.behave(standin.Behaviour{Tenant: tenant}) }
	}},
	{"weights accepted", func(f *Fleet, random *rand.Rand) func() {
		version := fmt.Sprintf("w%d", 2+random.IntN(100))
		_, _ = f.merge(`{"pools":[{"name":"pool","weights":"` + version + `"}]}`)
		return func() {}
	}},
	{"a blueprint accepted", func(f *Fleet, random *rand.Rand) func() {
		_, _ = f.merge(fmt.Sprintf(`{"tenants":[{"name":"a","weight":%d}]}`, 1+random.IntN(100)))
		return func() {}
	}},
}

func (f *Fleet) behave(b standin.Behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.Replicas {
		r.Behave(b)
	}
}

// isOneTooMany: with a disk lost, no other core machine may go with it; one is what the fleet must survive.
func isOneTooMany(a, b string) bool {
	cores := map[string]bool{"a disk lost": true, "a core killed": true, "all cores killed": true}
	return cores[a] && cores[b]
}

// lose kills a core and wipes its disk; it comes back as a stranger.
func (f *Fleet) lose(i int) {
	f.Kill(CoreIP(i))
	f.Disks[i].Wipe()
	f.StartCore(i)
	f.lost = fmt.Sprintf("core-%d", i+1)
}

// readmit brings a core whose disk was lost back among the members.
func (f *Fleet) readmit() {
	if f.lost != "" {
		f.members("retire", f.lost)
		f.members("admit", f.lost)
		f.lost = ""
	}
}

// Random faults, two at a time, under load: no rule is broken, and service is back within 12 s of the last.
func TestRandomFaultsUnderLoad(t *testing.T) {
	t.Parallel()
	for n := range uint64(*chaosSeeds) {
		seed := *chaosFirst + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			inBubble(t, options(seed), func(is *is.I, f *Fleet) {
				random := rand.New(rand.NewPCG(seed, 3))
				var script []string
				all := f.during(900, 20, seed, func() {
					for range 6 {
						a, b := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
						if a.name == b.name || isOneTooMany(a.name, b.name) {
							continue
						}
						script = append(script, a.name+" and "+b.name)
						undoA := a.do(f, random)
						time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
						undoB := b.do(f, random)
						time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
						undoA()
						undoB()
						f.readmit()
						time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
					}
				})
				back := f.Rest(callers[1])
				t.Logf("%s; back after %v; faults %q", standin.Summary(all), back, script)
				noBreach(is, f, 1, 2, 3, 4, 6, 10, 11, 12)
			})
		})
	}
}
