package sim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/daemon"
	"asterridge/linearizability"
)

var (
	operatorSeeds = flag.Int("operator-seeds", 4, "how many random runs of operators and members are played")
	operatorFirst = flag.Uint64("operator-first", 1, "the seed of the first of them")
)

// operators declare, race, repeat and read at a fleet's cores, and record all of it.
type operators struct {
	*Fleet
	history linearizability.Recorder
	mu      sync.Mutex
	random  *rand.Rand
	newest  uint64 // the highest number that was acknowledged or read
	sent    []config.NumberedConfig
	calls   sync.WaitGroup
}

func (o *operators) draw(n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.random.IntN(n)
}

func (o *operators) saw(number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = max(o.newest, number)
}

// serving gives a core if it runs now. What a process answers after its end is nobody's answer.
func (o *operators) serving(i int) (*controlplane.Core, bool) {
	o.Fleet.mu.Lock()
	defer o.Fleet.mu.Unlock()
	core := o.Cores[i]
	return core, core != nil && !o.dead[CoreIP(i)]
}

// declare sends a declaration to a core and waits for its answer for a while; then the answer is lost.
func (o *operators) declare(i int, d config.NumberedConfig, patience time.Duration) error {
	core, serving := o.serving(i)
	if !serving {
		return errDead
	}
	done := o.history.Declare(linearizability.Of(d))
	short, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	err := core.SubmitConfig(short, d)
	if now, isServing := o.serving(i); !isServing || now != core {
		return errDead
	}
	done(linearizability.OutcomeOf(err))
	if err == nil {
		o.saw(d.Number)
	}
	return err
}

func (o *operators) read(i int) (number uint64, err error) {
	core, serving := o.serving(i)
	if !serving {
		return 0, errDead
	}
	done := o.history.Read()
	short, stop := context.WithTimeout(context.Background(), 3*time.Second)
	defer stop()
	stored, err := core.ReadConfig(short)
	if now, isServing := o.serving(i); !isServing || now != core {
		return 0, errDead
	}
	if err == nil {
		done(stored.Number, linearizability.Items(stored.Texts))
		o.saw(stored.Number)
	}
	return stored.Number, err
}

// made is a declaration of its sender's own, on top of the newest number that is known, seldom on one before it.
func (o *operators) made() config.NumberedConfig {
	o.mu.Lock()
	defer o.mu.Unlock()
	base := o.newest
	if o.random.IntN(8) == 0 && base > 0 {
		base--
	}
	number := base + 1 + uint64(o.random.IntN(2))
	full := base == 0 || o.random.IntN(10) == 0
	d := numbered(number, base, full, fmt.Sprintf("p%d-%d", number, o.random.IntN(3)))
	d.Digest = fmt.Sprint(d.Digest, base)
	o.sent = append(o.sent, d)
	return d
}

// act is one thing that an operator does.
func (o *operators) act() {
	cores := o.cores()
	core := cores[o.draw(len(cores))]
	switch draw := o.draw(10); {
	case draw < 2:
		_, _ = o.read(core)
	case draw < 4 && o.sentCount() > 0: // one that was sent before, at another core perhaps
		o.mu.Lock()
		d := o.sent[max(0, len(o.sent)-1-o.random.IntN(30))]
		o.mu.Unlock()
		_ = o.declare(core, d, 2*time.Second)
	case draw < 5: // two at once, each on its own
		a, b := o.made(), o.made()
		o.calls.Go(func() { _ = o.declare(cores[o.draw(len(cores))], a, 2*time.Second) })
		_ = o.declare(core, b, 2*time.Second)
	case draw < 6: // the same at two cores at once
		d := o.made()
		o.calls.Go(func() { _ = o.declare(cores[o.draw(len(cores))], d, 2*time.Second) })
		_ = o.declare(core, d, 2*time.Second)
	case draw < 7: // an answer that is lost, and the same again at once
		d := o.made()
		_ = o.declare(core, d, time.Duration(1+o.draw(5))*time.Millisecond)
		_ = o.declare(cores[o.draw(len(cores))], d, 2*time.Second)
	default:
		_ = o.declare(core, o.made(), 2*time.Second)
	}
}

func (o *operators) sentCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.sent)
}

// work has some operators act for a while.
func (o *operators) work(count int, span time.Duration) {
	end := time.Now().Add(span)
	for range count {
		o.calls.Go(func() {
			for time.Now().Before(end) {
				o.act()
				time.Sleep(time.Duration(o.draw(300)) * time.Millisecond)
			}
		})
	}
	o.calls.Wait()
}

// coreFaults are those that concern the cores and their disks alone.
var coreFaults = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
	return !slices.Contains([]string{"a core killed", "all cores killed", "a machine frozen", "a disk lost", "a machine cut off", "a machine cut off one way",
		"a link lost", "a link slow", "the core split in two", "a disk full", "a disk slow", "a disk stalled"}, f.name)
})

// membersCheck watches the lists that cores act on.
type membersCheck struct {
	*operators
	lists map[uint64]string // by version
	fault error
}

func (m *membersCheck) watch(stop <-chan struct{}) {
	for m.fault == nil {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
			m.fault = m.look()
		}
	}
}

// look collects the lists that the cores which run act on.
func (m *membersCheck) look() error {
	var acting []controlplane.Membership
	for i := range m.Disks {
		if core, serving := m.serving(i); serving {
			acting = append(acting, core.Membership())
		}
	}
	return m.judge(acting)
}

// judge finds two lists that could decide at the same time: a majority of the members of each acts on it. Each core acts on one list, so two
// such majorities do not meet.
func (m *membersCheck) judge(acting []controlplane.Membership) error {
	count := map[string]int{} // by list
	var deciding []string
	for _, list := range acting {
		if !list.Member {
			continue
		}
		said := describeMembers(list.Members)
		if before, met := m.lists[list.Version]; met && before != said {
			return fmt.Errorf("list %d is %s and %s", list.Version, before, said)
		}
		m.lists[list.Version] = said
		name := fmt.Sprintf("%d (%s)", list.Version, said)
		if count[name]++; count[name] == len(list.Members)/2+1 {
			deciding = append(deciding, name)
		}
	}
	if len(deciding) > 1 {
		return fmt.Errorf("several lists have a majority that acts on them: %s", strings.Join(deciding, "; "))
	}
	return nil
}

// listOf is a list of members as one of them acts on it.
func listOf(version uint64, numbers ...uint32) controlplane.Membership {
	list := controlplane.Membership{Version: version, Member: true}
	for _, number := range numbers {
		list.Members = append(list.Members, config.Member{ID: number, Name: fmt.Sprint("core-", number)})
	}
	return list
}

// The test of the test: lists that change by two members at once can decide beside each other, and one version with two lists is none.
func TestMembersCheckFindsPlantedLists(t *testing.T) {
	is := is.New(t)
	judge := func(acting ...controlplane.Membership) error {
		return (&membersCheck{lists: map[uint64]string{}}).judge(acting)
	}
	old, next := listOf(3, 1, 2, 3, 4), listOf(4, 1, 2, 3, 4, 5)
	is.NoErr(judge(old, old, old, next, next))                                                                // the old one decides, the new one not yet
	is.NoErr(judge(old, next, next, next, next))                                                              // and the other way round
	is.True(judge(old, old, old, listOf(4, 1, 4, 5, 6), listOf(4, 1, 4, 5, 6), listOf(4, 1, 4, 5, 6)) != nil) // two for two
	is.True(judge(listOf(3, 1, 2, 3), listOf(3, 1, 2, 3), listOf(4, 3), listOf(4, 3)) != nil)                 // two taken out at once
	is.True(judge(old, listOf(3, 1, 2, 3, 5)) != nil)                                                         // one version, two lists
}

func describeMembers(members []config.Member) string {
	var ids []string
	for _, member := range members {
		ids = append(ids, fmt.Sprintf("%s#%d", member.Name, member.ID))
	}
	return strings.Join(ids, " ")
}

// isFull says whether all cores run, are members and serve, and no change of members is under way: one more disk may be lost.
func (o *operators) isFull() bool {
	var names []string
	for _, i := range o.cores() {
		if _, serving := o.serving(i); !serving {
			return false
		}
		names = append(names, fmt.Sprintf("core-%d", i+1))
	}
	slices.Sort(names)
	return members(o.membership()) == strings.Join(names, " ")
}

// isWithin waits until something is so, for a while.
func (o *operators) isWithin(limit time.Duration, so func() bool) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		if so() {
			return true
		}
	}
	return false
}

// comeBack waits until the fleet is whole again, takes one more declaration, and shows it at every core.
func (o *operators) comeBack() error {
	if !o.isWithin(30*time.Second, o.isFull) {
		return errors.New("the fleet is not whole again")
	}
	var last error
	if !o.isWithin(10*time.Second, func() bool {
		if _, last = o.read(0); last == nil {
			last = o.declare(0, o.made(), 2*time.Second)
		}
		return last == nil
	}) {
		return fmt.Errorf("no declaration is taken: %w", last)
	}
	for _, i := range o.cores() {
		if !o.isWithin(5*time.Second, func() bool { _, last = o.read(i); return last == nil }) {
			return fmt.Errorf("core %d shows nothing: %w", i+1, last)
		}
	}
	return nil
}

// playOperators runs operators under random faults of the cores, and gives what they recorded.
func playOperators(t *testing.T, seed uint64) (o *operators, fault error) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 9))
		options := numberedOptions(seed, 3+random.IntN(3))
		options.Proxies = 0
		founded := false
		options.ChangeCoreHost = func(_ int, p *daemon.Host) { p.Bootstrapped = founded }
		f := NewFleet(options)
		defer f.Stop()
		o = &operators{Fleet: f, random: rand.New(rand.NewPCG(seed, 10))}
		o.Until(15*time.Second, "the fleet is whole", o.isFull)
		founded = true
		check := &membersCheck{operators: o, lists: map[uint64]string{}}
		stop := make(chan struct{})
		var watching sync.WaitGroup
		watching.Go(func() { check.watch(stop) })
		var working sync.WaitGroup
		working.Go(func() { o.work(4, 40*time.Second) })
		c := &chaos{Fleet: f, random: random}
		for range 3 { // a disk may be lost in each stretch, once the one before is made good
			played := c.script(12*time.Second, coreFaults)
			t.Logf("seed %d: %q", seed, played)
			if c.harmed != "" && o.isFull() {
				c.harmed = ""
			}
		}
		working.Wait()
		late := o.comeBack()
		close(stop)
		watching.Wait()
		fault = check.fault
		if fault == nil {
			fault = o.history.Check()
		}
		if fault == nil && late != nil {
			fault = fmt.Errorf("%w: %s; lists %v", late, o.membership(), check.lists)
		}
	})
	return o, fault
}

// Operators that race, repeat and lose answers at cores under random faults: one sequence of versions explains all that they were told, and
// never do two lists of members decide at once.
func TestOperatorsHistoryUnderRandomFaults(t *testing.T) {
	t.Parallel()
	for n := range uint64(*operatorSeeds) {
		seed := *operatorFirst + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o, fault := playOperators(t, seed)
			t.Logf("seed %d: %d acknowledged, %d refused, %d rejected, %d unclear", seed, o.history.Count(linearizability.Acknowledged), o.history.Count(linearizability.Refused),
				o.history.Count(linearizability.Rejected), o.history.Count(linearizability.Unclear))
			if fault != nil {
				t.Errorf("seed %d (-operator-seeds 1 -operator-first %d): %v", seed, seed, fault)
			}
			is.New(t).True(o.history.Count(linearizability.Acknowledged) > 20)
		})
	}
}
