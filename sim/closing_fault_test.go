package sim

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
)

var (
	closingSeeds = flag.Int("closing-seeds", 6, "how many random days that end with a closing fault are played")
	closingFirst = flag.Uint64("closing-first", 1, "the seed of the first of them")
)

// Days with faults in series and overlapping, that end with a loss of power, a kill or a lost disk right after a change was acknowledged:
// all proxies serve with that change within the limit, and every core shows it. A seed need not come out alike.
func TestServiceReturnsAfterClosingFault(t *testing.T) {
	t.Parallel()
	for seed := *closingFirst; seed < *closingFirst+uint64(*closingSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			inReplaceable(t, 330+seed, 4, 1, func(is *is.I, f *replaceable) {
				d := &closingDay{replaceable: f, t: t, draw: rand.New(rand.NewPCG(seed, 46))}
				d.play(is)
			})
		})
	}
}

// closingDay is one random day.
type closingDay struct {
	*replaceable
	t       *testing.T
	draw    *rand.Rand
	trouble sync.WaitGroup // faults that end by themselves
	// lostUntil is when the machine that lost its disk last counts as caught up: no other disk is lost before.
	lostUntil time.Time
}

const (
	closingAgents = 3
	// applyLimit is how long after its acknowledgement a change may take to be in force at all proxies in calm times.
	applyLimit = 2 * time.Second
)

func (d *closingDay) play(is *is.I) {
	for range closingAgents {
		d.startAgent(0, 1, 2)
	}
	d.untilAllServe(d.t)
	for range 2 + d.draw.IntN(4) {
		d.lose()
		for range d.draw.IntN(4) {
			d.change()
			time.Sleep(d.upTo(400 * time.Millisecond))
		}
		if d.draw.IntN(3) > 0 {
			d.trouble.Wait()
			d.untilWhole(recoverLimit)
			time.Sleep(catchUpTime)
			d.change()
			d.Until(applyLimit, "a change is in force at all proxies", d.allHaveNewest)
		}
	}
	if d.draw.IntN(2) == 0 {
		d.trouble.Wait()
		d.untilWhole(recoverLimit)
		time.Sleep(catchUpTime)
	}
	if d.draw.IntN(3) == 0 {
		d.loseTwice()
	} else {
		d.disturbDisks()
		d.change()
		d.closing(d.closingLoss(), func() {})
	}
	d.untilAllServe(d.t)
	d.Until(recoverLimit, "all proxies have the newest configuration", d.allHaveNewest)
	d.trouble.Wait()
	d.checkNothingLost(is)
}

func (d *closingDay) upTo(most time.Duration) time.Duration {
	return time.Duration(d.draw.Int64N(int64(most)))
}

func (d *closingDay) anyCore() int { return d.live[d.draw.IntN(len(d.live))] }

// change has a random core take one to twenty configurations.
func (d *closingDay) change() {
	count := 1
	if d.draw.IntN(4) == 0 {
		count = 20
	}
	for range count {
		path := fmt.Sprint("p", d.number+1)
		d.declareAnywhere(path)
		d.paths = append(d.paths, path)
		d.checkReads()
	}
	d.sendInvalid()
}

// checkReads wants no older configuration than the newest acknowledged one from any core that answers.
func (d *closingDay) checkReads() {
	for _, core := range d.live {
		if d.draw.IntN(3) > 0 || d.core(core) == nil {
			continue
		}
		if number, _, err := d.declared(core); err == nil && number < d.number {
			d.t.Errorf("core %d shows %d, and %d was acknowledged", core+1, number, d.number)
		}
	}
}

// sendInvalid sends a random core a configuration that must not be taken: two paths for one place, as written or by hosts that differ in
// case alone, a pool that there is not, an old number, or one that is based on another than the present number.
func (d *closingDay) sendInvalid() {
	core := d.core(d.anyCore())
	if core == nil {
		return
	}
	number, base, path := d.number+1, d.number, "invalid"
	kind := d.draw.IntN(4)
	switch kind {
	case 2:
		number = d.number
	case 3:
		base = d.number - 1
	}
	invalid := numbered(number, base, false, path)
	changed := config.Path{Name: path, Address: "/" + path + "/", Pool: "web", DeadlineMs: 1000, Public: true, MaxBody: 1000, Cost: 1}
	switch {
	case kind == 0 && number%2 == 0:
		changed.Address = "/" + d.paths[len(d.paths)-1] + "/"
	case kind == 0:
		twin := changed
		twin.Name, twin.Host, changed.Host = path+"-twin", "map.example", "Map.Example"
		invalid.Items.Apply(config.Field("path/"+twin.Name, twin))
	case kind == 1:
		changed.Pool = "unknown"
	}
	invalid.Items.Apply(config.Field("path/"+path, changed))
	short, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	if core.SubmitConfig(short, invalid) == nil {
		d.t.Fatalf("an invalid configuration was taken: kind %d, number %d on %d", kind, number, base) // the next change would not be taken
	}
}

// declareAnywhere sends the next configuration to one core after the other until one takes it, as operators do.
func (d *closingDay) declareAnywhere(path string) {
	next := numbered(d.number+1, d.number, d.number == 0, path)
	core := d.anyCore()
	d.Until(12*time.Second, fmt.Sprintf("%d is taken", next.Number), func() bool {
		short, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		present := d.core(core)
		core = d.anyCore()
		return present != nil && present.SubmitConfig(short, next) == nil // nil: it has only just been started
	})
	d.number++
}

// lose brings about a loss of one core, or a trouble of the agents, which may still last when it returns.
func (d *closingDay) lose() {
	core := d.anyCore()
	event := d.draw.IntN(10)
	d.t.Log("event ", event, " at core ", core+1)
	switch event {
	case 0: // replaced in order
		d.join()
		time.Sleep(time.Second + d.upTo(4*time.Second))
		d.end(core, true)
	case 1: // replaced without a word
		d.awaitCatchUp()
		d.end(core, false)
		time.Sleep(d.upTo(8 * time.Second))
		d.join()
		d.noteLoss()
	case 2: // another disk may be in trouble meanwhile
		d.awaitCatchUp()
		if other := d.anyCore(); other != core && d.draw.IntN(2) == 0 {
			d.disturbDisk(other)
		}
		d.wipe([]int{core}, d.draw.IntN(2) == 0)
		d.noteLoss()
	case 3:
		d.wipe(nil, true)
	case 4: // frozen
		d.Net.Freeze(CoreIP(core), true)
		d.later(d.upTo(9*time.Second), func() { d.Net.Freeze(CoreIP(core), false) })
	case 5: // cut off from the other cores
		var others []string
		for _, other := range d.live {
			if other != core {
				others = append(others, CoreIP(other))
			}
		}
		d.Net.PartitionGroups([]string{CoreIP(core)}, others, true)
		d.Net.PartitionGroups(others, []string{CoreIP(core)}, true)
		d.later(d.upTo(9*time.Second), func() {
			d.Net.PartitionGroups([]string{CoreIP(core)}, others, false)
			d.Net.PartitionGroups(others, []string{CoreIP(core)}, false)
		})
	case 6: // restarted in order
		d.Terminate(core)
		time.Sleep(d.upTo(8 * time.Second))
		d.StartCore(core)
	case 7: // an agent and its proxy are killed, or suspended
		agent := d.draw.IntN(closingAgents)
		if d.draw.IntN(2) == 0 {
			d.restartAgent(agent)
			return
		}
		d.Net.Freeze(ProxyIP(agent), true)
		d.later(d.upTo(9*time.Second), func() { d.Net.Freeze(ProxyIP(agent), false) })
	case 8: // away while all others are replaced
		d.untilWhole(recoverLimit)
		d.awaitCatchUp()
		d.replaceAllBut(core)
		d.bringBack(core)
	default:
		d.disturbDisks()
	}
}

// awaitWhole waits until all trouble is over, the members are those that run, and the last loss counts as made good.
func (d *closingDay) awaitWhole() {
	d.trouble.Wait()
	d.untilWhole(recoverLimit)
	d.awaitCatchUp()
}

// awaitCatchUp waits until the last machine that lost its disk counts as caught up, whether or not it is a member by then.
func (d *closingDay) awaitCatchUp() { time.Sleep(time.Until(d.lostUntil)) }

// noteLoss records that a machine which lost its disk is back now.
func (d *closingDay) noteLoss() { d.lostUntil = time.Now().Add(catchUpTime) }

// join starts the next machine.
func (d *closingDay) join() {
	d.StartCore(d.next)
	d.live = append(d.live, d.next)
	d.next++
}

// later does something after a time, while the day goes on.
func (d *closingDay) later(after time.Duration, do func()) {
	d.trouble.Go(func() {
		time.Sleep(after)
		do()
	})
}

// disturbDisks lets the disk of some core stall, refuse writes or be slow for some seconds.
func (d *closingDay) disturbDisks() { d.disturbDisk(d.anyCore()) }

// disturbDisk lets a core's disk stall, refuse writes or be slow for some seconds.
func (d *closingDay) disturbDisk(core int) {
	lasting := time.Second + d.upTo(7*time.Second)
	disk := d.Disks[core]
	switch d.draw.IntN(4) {
	case 0:
		d.later(min(lasting, 4*time.Second), disk.Stall())
	case 1:
		disk.Fill(true)
		d.later(min(lasting, 4*time.Second), func() {
			disk.Fill(false)
			d.startAgain(core)
		})
	case 2:
		disk.Slow(60 * time.Millisecond)
		d.later(lasting, func() { disk.Slow(0) })
	}
}

// startAgain starts a core that ended by itself, since its disk was empty and full, as the platform does.
func (d *closingDay) startAgain(core int) {
	d.mu.Lock()
	ended := d.dead[CoreIP(core)]
	d.mu.Unlock()
	if ended && slices.Contains(d.live, core) {
		d.StartCore(core)
	}
}

// restartAgent starts an agent and its proxy anew; its settings name three of the cores that run now.
func (d *closingDay) restartAgent(agent int) {
	d.AgentSeeds = nil
	for _, i := range d.draw.Perm(len(d.live))[:3] {
		d.AgentSeeds = append(d.AgentSeeds, At(CoreIP(d.live[i])))
	}
	d.StartPair(agent)
}

// closingLoss draws the core that loses its disk in the closing fault; -1: none does.
func (d *closingDay) closingLoss() int {
	if d.draw.IntN(2) == 0 {
		return -1
	}
	d.awaitCatchUp()
	return d.anyCore()
}

// loseTwice ends the day with a disk that is lost when another one has had its time to catch up, but could not be admitted since a third
// disk takes no writes until the closing fault.
func (d *closingDay) loseTwice() {
	d.awaitWhole()
	d.change()
	order := d.draw.Perm(len(d.live))
	first, second, disturbed := d.live[order[0]], d.live[order[1]], d.live[order[2]]
	d.t.Log("disk of ", first+1, " lost, then of ", second+1, ", while that of ", disturbed+1, " takes no writes")
	release := d.refuseWrites(disturbed, d.draw.IntN(2) == 0)
	d.wipe([]int{first}, false)
	d.noteLoss()
	d.awaitCatchUp()
	d.closing(second, release)
}

// closing ends all processes, or only the core whose disk is lost (-1: none), right after the last acknowledgement if the disks took it;
// other trouble ends with it. They are back after a moment.
func (d *closingDay) closing(lost int, endTrouble func()) {
	all := lost < 0 || d.draw.IntN(3) > 0
	time.Sleep(d.upTo(3 * time.Millisecond))
	endTrouble()
	d.t.Log("closing: disk of ", lost+1, " lost, all others down ", all)
	var down []int
	for _, core := range d.live {
		if all || core == lost {
			d.Kill(CoreIP(core))
			down = append(down, core)
		}
	}
	if lost >= 0 {
		d.Disks[lost].Wipe()
	}
	if all {
		for agent := range closingAgents {
			d.Kill(ProxyIP(agent))
		}
	}
	time.Sleep(400*time.Millisecond + d.upTo(2*time.Second))
	for _, core := range down {
		d.StartCore(core)
	}
	if all {
		for agent := range closingAgents {
			d.restartAgent(agent)
		}
	}
}

// allHaveNewest reports whether all proxies know the newest path, for which there is no replica.
func (d *closingDay) allHaveNewest() bool {
	newest := d.paths[len(d.paths)-1]
	for agent := range closingAgents {
		answer, err := d.Client.Get("http://" + ProxyAddress(agent) + "/" + newest + "/")
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK || answer.Header.Get("X-Result-Code") != fmt.Sprint(apierror.NoReplica.Number) {
			return false
		}
	}
	return true
}
