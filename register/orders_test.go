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
	orderSeeds = flag.Int("orderseeds", 300, "number of random schedules of configuration submissions to run")
	orderFirst = flag.Uint64("orderfirst", 0, "seed of the first schedule")
)

// submission is a configuration that an operator sends, possibly several times.
type submission struct {
	config.NumberedConfig
	outcomes []string // in order of arrival, including the outcomes of late duplicates
}

func (o *submission) String() string {
	return fmt.Sprintf("%d on %d %s: %v", o.Number, o.BasedOn, o.Digest, o.outcomes)
}

// submit sends a submission to a core, and records the outcome unless the answer is lost.
func (w *lossyCluster) submit(core int, o *submission) string {
	_, err := w.node(core).owner.Change(context.Background(), config.Key, func(current register.Fields, version uint64) (register.Fields, error) {
		return config.ApplyNumbered(current, version, o.NumberedConfig)
	})
	outcome := "unclear"
	switch {
	case err == nil:
		outcome = "accepted"
	case apierror.Is(err, apierror.Conflict), apierror.Is(err, apierror.OutOfRange):
		outcome = "refused"
	}
	if w.dropsMessage() {
		return "unclear"
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	o.outcomes = append(o.outcomes, outcome)
	return outcome
}

// read returns the number of the present configuration, as confirmed by a majority.
func (w *lossyCluster) read(core int) (number uint64, ok bool) {
	_, err := w.node(core).owner.Change(context.Background(), config.Key, func(current register.Fields, _ uint64) (_ register.Fields, err error) {
		number, err = config.Number(current)
		return nil, err
	})
	return number, err == nil
}

func newSubmission(number, basedOn uint64, digest string) *submission {
	content := config.Empty()
	if basedOn == 0 {
		content.Pools["web"] = config.Pool{Name: "web", Kind: "web"}
	}
	items := content.Fields()
	delete(items, "hold")
	return &submission{NumberedConfig: config.NumberedConfig{Number: number, BasedOn: basedOn, Full: basedOn == 0, Digest: digest, Items: items}}
}

// Guards against contradictory answers. Two to eight operators send configurations to random cores, concurrently and again much later,
// while messages and answers are lost, delayed or duplicated, and cores crash. No submission may be both accepted and refused, no number
// may get two contents, and no read may return an older number than an earlier one.
func TestSubmissionsGetOneOutcomeUnderRandomSchedules(t *testing.T) {
	outcomeCounts := map[string]int{}
	for seed := *orderFirst; seed < *orderFirst+uint64(*orderSeeds); seed++ {
		synctest.Test(t, func(t *testing.T) { runOperators(t, seed, outcomeCounts) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("outcomes: %v", outcomeCounts)
	if outcomeCounts["accepted"] < 2**orderSeeds || outcomeCounts["refused"] < 2**orderSeeds {
		t.Error("too many faults for the test to be meaningful")
	}
}

func runOperators(t *testing.T, seed uint64, outcomeCounts map[string]int) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 3))
	cores := 3 + random.IntN(3)
	w := &lossyCluster{t: t, random: random, lossRate: 0.02 + 0.12*random.Float64(), nodes: make([]*node, cores), committedSizes: map[register.Revision]int{}}
	defer time.Sleep(time.Minute) // lets everything in progress end
	for range cores {
		w.disks = append(w.disks, sim.NewDisk())
	}
	for i := range cores {
		w.startNode(i)
	}
	pick := func(n int) int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return random.IntN(n)
	}
	var mu sync.Mutex
	var submissions []*submission
	highest := uint64(0) // highest number read or acknowledged so far
	observe := func(number uint64) {
		mu.Lock()
		defer mu.Unlock()
		highest = max(highest, number)
	}
	var operators sync.WaitGroup
	for operator := range 2 + pick(7) {
		operators.Go(func() {
			var known uint64
			var ownSubmissions []*submission
			for n := range 6 {
				time.Sleep(w.delay() * 2)
				mu.Lock()
				minimum := highest
				mu.Unlock()
				if number, ok := w.read(pick(cores)); ok {
					if number < minimum {
						t.Errorf("read %d after %d", number, minimum)
					}
					known = number
					observe(number)
				}
				o := newSubmission(known+1+uint64(pick(3)), known, fmt.Sprint(operator, ".", n))
				ownSubmissions = append(ownSubmissions, o)
				mu.Lock()
				submissions = append(submissions, o)
				mu.Unlock()
				if pick(3) == 0 { // a concurrent duplicate
					core := pick(cores)
					operators.Go(func() { w.submit(core, o) })
				}
				for range 4 {
					outcome := w.submit(pick(cores), o)
					if outcome == "accepted" {
						observe(o.Number)
					}
					if outcome != "unclear" {
						break
					}
				}
				w.submit(pick(cores), ownSubmissions[pick(len(ownSubmissions))]) // resends an earlier submission
			}
		})
	}
	restarting, stop := context.WithCancel(t.Context())
	var restarts sync.WaitGroup
	restarts.Go(func() {
		for restarting.Err() == nil {
			time.Sleep(w.delay() * 30)
			w.startNode(pick(cores))
		}
	})
	operators.Wait()
	stop()
	restarts.Wait()
	w.mu.Lock()
	w.lossRate = 0
	w.mu.Unlock()
	time.Sleep(5 * time.Second)
	for _, o := range submissions { // the faults are over: every submission must get an outcome now
		if outcome := w.submit(pick(cores), o); outcome == "unclear" {
			outcome = w.submit(pick(cores), o)
			is.True(outcome != "unclear")
		}
	}
	accepted := map[uint64]string{}
	for _, o := range submissions {
		last := o.outcomes[len(o.outcomes)-1]
		for _, outcome := range o.outcomes {
			if outcome != "unclear" && outcome != last {
				t.Errorf("%v", o)
			}
		}
		if last == "accepted" {
			is.Equal(accepted[o.Number], "") // each number has one content
			accepted[o.Number] = o.Digest
		}
		outcomeCounts[last]++
	}
	number, ok := w.read(0)
	is.True(ok)
	for acceptedNumber := range accepted {
		is.True(acceptedNumber <= number)
	}
	is.True(number == 0 || accepted[number] != "")
	is.True(number >= highest)
}

// Guards against losing the record of accepted submissions. After 1000 submissions and a restart of all cores, each one is sent again to
// some core and must be acknowledged without a write. The register must stay below 40 bytes per submission.
func TestResentSubmissionsAreAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &lossyCluster{t: t, random: rand.New(rand.NewPCG(7, 7)), nodes: make([]*node, 4), committedSizes: map[register.Revision]int{}}
		defer time.Sleep(time.Minute)
		for i := range 4 {
			w.disks = append(w.disks, sim.NewDisk())
			w.startNode(i)
		}
		var submissions []*submission
		for n := uint64(1); n <= 1000; n++ {
			o := newSubmission(n, n-1, fmt.Sprint("text ", n))
			is.Equal(w.submit(int(n/50%4), o), "accepted")
			submissions = append(submissions, o)
		}
		raw, err := json.Marshal(w.node(3).acceptor.Read(config.Key).Fields)
		is.NoErr(err)
		t.Logf("the register has %d bytes after 1000 changes", len(raw))
		is.True(len(raw) < 40*1000)
		for i := range 4 {
			w.startNode(i) // all cores restart from their disks
		}
		w.mu.Lock()
		w.random.Shuffle(len(submissions), func(i, j int) { submissions[i], submissions[j] = submissions[j], submissions[i] })
		w.mu.Unlock()
		for i, o := range submissions {
			is.Equal(w.submit(i/9%4, o), "accepted")
		}
		revision, err := w.node(0).owner.Commit(context.Background(), config.Key, false)
		is.NoErr(err)
		is.Equal(revision.Version, uint64(1000)) // nothing was written
	})
}
