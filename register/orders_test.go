package register_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
	"asterridge/sim"
)

var (
	orderSeeds = flag.Int("orderseeds", 300, "schedules of operators' orders to play")
	orderFirst = flag.Uint64("orderfirst", 0, "the first one's seed")
)

// order is a configuration as one of the operators sends it, as often as it takes.
type order struct {
	config.NumberedConfig
	verdicts []string // in order of their coming, also of copies that came late
}

func (o *order) String() string {
	return fmt.Sprintf("%d on %d %s: %v", o.Number, o.BasedOn, o.Digest, o.verdicts)
}

// send has a core take an order, and notes the verdict if the answer is not lost on its way.
func (w *world) send(core int, o *order) string {
	_, err := w.at(core).owner.Change(context.Background(), config.Key, func(now register.Fields, version uint64) (register.Fields, error) {
		return config.ApplyNumbered(now, version, o.NumberedConfig)
	})
	verdict := "unclear"
	switch {
	case err == nil:
		verdict = "accepted"
	case apierror.Is(err, apierror.Conflict), apierror.Is(err, apierror.OutOfRange):
		verdict = "refused"
	}
	if w.isLost() {
		return "unclear"
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	o.verdicts = append(o.verdicts, verdict)
	return verdict
}

// read gives the present number as a confirmed owner knows it.
func (w *world) read(core int) (number uint64, isRead bool) {
	_, err := w.at(core).owner.Change(context.Background(), config.Key, func(now register.Fields, _ uint64) (_ register.Fields, err error) {
		number, err = config.Number(now)
		return nil, err
	})
	return number, err == nil
}

func someOrder(number, basedOn uint64, digest string) *order {
	b := config.Empty()
	if basedOn == 0 {
		b.Pools["web"] = config.Pool{Name: "web", Kind: "web"}
	}
	items := b.Fields()
	delete(items, "hold")
	return &order{NumberedConfig: config.NumberedConfig{Number: number, BasedOn: basedOn, Full: basedOn == 0, Digest: digest, Items: items}}
}

// Two to eight operators send configurations to any core, again while the first is under way, and again much later; messages and answers
// are lost, late or doubled, and cores crash. No order gets both verdicts, no number two contents, and no read goes back.
func TestOperatorsOrdersGetOneVerdictUnderRandomSchedules(t *testing.T) {
	sums := map[string]int{}
	for seed := *orderFirst; seed < *orderFirst+uint64(*orderSeeds); seed++ {
		synctest.Test(t, func(t *testing.T) { playOrders(t, seed, sums) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("verdicts: %v", sums)
	if sums["accepted"] < 2**orderSeeds || sums["refused"] < 2**orderSeeds {
		t.Error("the schedules are too rough to show anything")
	}
}

func playOrders(t *testing.T, seed uint64, sums map[string]int) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 3))
	cores := 3 + random.IntN(3)
	w := &world{t: t, random: random, loss: 0.02 + 0.12*random.Float64(), nodes: make([]*node, cores), settled: map[register.Revision]int{}}
	defer time.Sleep(time.Minute) // all that is under way ends
	for range cores {
		w.disks = append(w.disks, sim.NewDisk())
	}
	for i := range cores {
		w.start(i)
	}
	pick := func(n int) int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return random.IntN(n)
	}
	var mu sync.Mutex
	var all []*order
	highest := uint64(0) // that was read or acknowledged so far
	met := func(number uint64) {
		mu.Lock()
		defer mu.Unlock()
		highest = max(highest, number)
	}
	var operators sync.WaitGroup
	for operator := range 2 + pick(7) {
		operators.Go(func() {
			var known uint64
			var own []*order
			for n := range 6 {
				time.Sleep(w.delay() * 2)
				mu.Lock()
				least := highest
				mu.Unlock()
				if number, read := w.read(pick(cores)); read {
					if number < least {
						t.Errorf("read %d after %d", number, least)
					}
					known = number
					met(number)
				}
				o := someOrder(known+1+uint64(pick(3)), known, fmt.Sprint(operator, ".", n))
				own = append(own, o)
				mu.Lock()
				all = append(all, o)
				mu.Unlock()
				if pick(3) == 0 { // a copy that is under way at the same time
					core := pick(cores)
					operators.Go(func() { w.send(core, o) })
				}
				for range 4 {
					verdict := w.send(pick(cores), o)
					if verdict == "accepted" {
						met(o.Number)
					}
					if verdict != "unclear" {
						break
					}
				}
				w.send(pick(cores), own[pick(len(own))]) // an older one again
			}
		})
	}
	crashing, stop := context.WithCancel(t.Context())
	var crashes sync.WaitGroup
	crashes.Go(func() {
		for crashing.Err() == nil {
			time.Sleep(w.delay() * 30)
			w.start(pick(cores))
		}
	})
	operators.Wait()
	stop()
	crashes.Wait()
	w.mu.Lock()
	w.loss = 0
	w.mu.Unlock()
	time.Sleep(5 * time.Second)
	for _, o := range all { // all is well again: each has a verdict now
		if verdict := w.send(pick(cores), o); verdict == "unclear" {
			verdict = w.send(pick(cores), o)
			is.True(verdict != "unclear")
		}
	}
	accepted := map[uint64]string{}
	for _, o := range all {
		last := o.verdicts[len(o.verdicts)-1]
		for _, verdict := range o.verdicts {
			if verdict != "unclear" && verdict != last {
				t.Errorf("%v", o)
			}
		}
		if last == "accepted" {
			is.Equal(accepted[o.Number], "") // one content a number
			accepted[o.Number] = o.Digest
		}
		sums[last]++
	}
	number, isRead := w.read(0)
	is.True(isRead)
	for taken := range accepted {
		is.True(taken <= number)
	}
	is.True(number == 0 || accepted[number] != "")
	is.True(number >= highest)
}

// The orders of a long day, each sent again at the end: to any core, whatever else runs there.
func TestThousandOrdersSentAgainAreAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{t: t, random: rand.New(rand.NewPCG(7, 7)), nodes: make([]*node, 4), settled: map[register.Revision]int{}}
		defer time.Sleep(time.Minute)
		for i := range 4 {
			w.disks = append(w.disks, sim.NewDisk())
			w.start(i)
		}
		var all []*order
		for n := uint64(1); n <= 1000; n++ {
			o := someOrder(n, n-1, fmt.Sprint("text ", n))
			is.Equal(w.send(int(n/50%4), o), "accepted")
			all = append(all, o)
		}
		raw, err := json.Marshal(w.at(3).acceptor.Read(config.Key).Fields)
		is.NoErr(err)
		t.Logf("the register has %d bytes after 1000 changes", len(raw))
		is.True(len(raw) < 40*1000)
		for i := range 4 {
			w.start(i) // all lose power
		}
		w.mu.Lock()
		w.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		w.mu.Unlock()
		for i, o := range all {
			is.Equal(w.send(i/9%4, o), "accepted")
		}
		revision, err := w.at(0).owner.Commit(context.Background(), config.Key, false)
		is.NoErr(err)
		is.Equal(revision.Version, uint64(1000)) // nothing was written
	})
}
