package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// event is something that happens to the fleet.
type event struct {
	at   time.Duration
	what string
	do   func(r *run)
}

// series draws events that belong together: several of one kind to one machine or process, some milliseconds to some seconds apart.
type series struct {
	name     string
	weight   int
	generate func(s *scriptWriter, at time.Duration) []event
}

// allSeries are the series of a script. They overlap.
var allSeries = []series{
	{"stop", 10, (*scriptWriter).stop},
	{"reload", 6, (*scriptWriter).reload},
	{"kill", 3, (*scriptWriter).kill},
	{"freeze", 3, (*scriptWriter).freeze},
	{"signals at a start", 4, (*scriptWriter).atStart},
	{"changes", 6, (*scriptWriter).changes},
	{"replica drains", 2, (*scriptWriter).drainReplica},
	{"core loses its disk", 1, (*scriptWriter).replaceCore},
}

// scriptWriter draws a script. Trouble with cores is kept apart, so that no more of them are lost at a time than the fleet has to bear.
type scriptWriter struct {
	random    *rand.Rand
	fleet     *Fleet
	length    time.Duration
	coresFree time.Duration // from when on the next core may be in trouble
}

// seriesInterval is the mean time between two series of a machine.
const seriesInterval = 6 * time.Second

// write draws the script of a run.
func (s *scriptWriter) write() (all []event) {
	count := int(s.length.Seconds()/seriesInterval.Seconds()*float64(len(s.fleet.Machines))) + 1
	total := 0
	for _, one := range allSeries {
		total += one.weight
	}
	for range count {
		at := time.Duration(s.random.Int64N(int64(s.length)))
		n := s.random.IntN(total)
		for _, one := range allSeries {
			if n -= one.weight; n < 0 {
				all = append(all, one.generate(s, at)...)
				break
			}
		}
	}
	slices.SortStableFunc(all, func(a, b event) int { return int(a.at - b.at) })
	return all
}

// between draws a time between two, small ones as often as large ones.
func (s *scriptWriter) between(shortest, longest time.Duration) time.Duration {
	low, high := math.Log(float64(shortest)), math.Log(float64(longest))
	return time.Duration(math.Exp(low + s.random.Float64()*(high-low)))
}

// target draws a machine, and some or all of its processes. An edge machine is drawn where cores have to be spared.
func (s *scriptWriter) target(at time.Duration, harmsCore bool) (m Machine, roles []int) {
	all := s.fleet.Machines
	if harmsCore && at < s.coresFree {
		all = s.fleet.Edges()
	}
	m = all[s.random.IntN(len(all))]
	if m.IsCore {
		if harmsCore {
			s.coresFree = at + s.fleet.Size.Grace + coreRecovery
		}
		return m, []int{0}
	}
	return m, [][]int{{0, 1}, {0, 1}, {0}, {1}}[s.random.IntN(4)]
}

// coreRecovery is how long after the last trouble of a core the next core may be in trouble.
const coreRecovery = 5 * time.Second

// signal is an event that sends a signal to some of a machine's processes.
func signal(at time.Duration, m Machine, roles []int, sent syscall.Signal) event {
	return event{at, fmt.Sprintf("%s%v gets %v", m.Name, roles, sent), func(r *run) { r.signal(m, roles, sent) }}
}

// pickSignal picks one of some signals.
func (s *scriptWriter) pickSignal(from []syscall.Signal) syscall.Signal {
	return from[s.random.IntN(len(from))]
}

// stop tells processes to stop, and sends them signals meanwhile.
func (s *scriptWriter) stop(at time.Duration) (all []event) {
	m, roles := s.target(at, true)
	all = append(all, signal(at, m, roles, s.pickSignal([]syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT})))
	for range s.random.IntN(6) {
		later := at + s.between(time.Millisecond, s.fleet.Size.Grace)
		all = append(all, signal(later, m, roles, s.pickSignal([]syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGPIPE})))
	}
	return all
}

// reload tells processes to read their settings again, several times.
func (s *scriptWriter) reload(at time.Duration) (all []event) {
	m, roles := s.target(at, false)
	for range 1 + s.random.IntN(10) {
		all = append(all, signal(at, m, roles, s.pickSignal(harmless)))
		at += s.between(time.Millisecond, time.Second)
	}
	return all
}

// kill kills processes.
func (s *scriptWriter) kill(at time.Duration) []event {
	m, roles := s.target(at, true)
	return []event{signal(at, m, roles, syscall.SIGKILL)}
}

// freeze stops processes for a while, and sends them a signal meanwhile.
func (s *scriptWriter) freeze(at time.Duration) []event {
	m, roles := s.target(at, true)
	thaw := at + s.between(50*time.Millisecond, 2*time.Second)
	return []event{signal(at, m, roles, syscall.SIGSTOP), signal((at+thaw)/2, m, roles, syscall.SIGHUP), signal(thaw, m, roles, syscall.SIGCONT)}
}

// atStart kills processes, and sends signals to their next lives as they begin.
func (s *scriptWriter) atStart(at time.Duration) []event {
	m, roles := s.target(at, true)
	sent := make([]syscall.Signal, 1+s.random.IntN(4))
	gaps := make([]time.Duration, len(sent))
	for n := range sent {
		sent[n], gaps[n] = s.pickSignal([]syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}), s.between(time.Millisecond, 500*time.Millisecond)
	}
	arm := event{at, m.Name + " gets signals at its next start", func(r *run) { r.arm(m, sent, gaps) }}
	return []event{arm, signal(at, m, roles, syscall.SIGKILL)}
}

// changes has the configuration change several times.
func (s *scriptWriter) changes(at time.Duration) (all []event) {
	for range 1 + s.random.IntN(5) {
		kind := ChangeKind(1 + s.random.IntN(int(changeKinds)-1))
		core := s.fleet.Cores()[s.random.IntN(s.fleet.Size.Cores)]
		all = append(all, event{at, fmt.Sprintf("change (%v) by %s", kind, core.Name), func(r *run) { r.operator.submit(core, kind) }})
		at += s.between(10*time.Millisecond, time.Second)
	}
	return all
}

// drainReplica has a replica drain, and another one come in its place.
func (s *scriptWriter) drainReplica(at time.Duration) []event {
	const drain = 4 * time.Second
	position := s.random.IntN(s.fleet.Size.Replicas) // drawn now: events run beside each other
	return []event{{at, fmt.Sprintf("replica %d drains, and another one comes", position), func(r *run) {
		drained := r.fleet.drainReplica(position)
		time.Sleep(drain)
		r.fleet.replaceReplica(drained)
	}}}
}

// replaceCore has a core end without a word and come back with an empty disk.
func (s *scriptWriter) replaceCore(at time.Duration) []event {
	if !s.fleet.System.Contract().AutoMembership || s.fleet.Size.Cores < 4 {
		return nil
	}
	at = max(at, s.coresFree)
	s.coresFree = at + s.fleet.Size.Grace + 2*coreRecovery
	m := s.fleet.Cores()[s.random.IntN(s.fleet.Size.Cores)]
	return []event{{at, m.Name + " loses its disk", func(r *run) {
		r.signal(m, []int{0}, syscall.SIGKILL)
		for _, p := range r.fleet.On(m) {
			<-p.Exited()
		}
		if err := os.RemoveAll(m.Data()); err != nil {
			r.fleet.Ledger.fail("disk: %v", err)
		}
	}}}
}

// armed are signals that a machine's processes get when they start next.
type armed struct {
	mu      sync.Mutex
	signals map[string][]syscall.Signal
	gaps    map[string][]time.Duration
}

// arm has the next life of each of the machine's processes get signals.
func (r *run) arm(m Machine, sent []syscall.Signal, gaps []time.Duration) {
	r.armed.mu.Lock()
	defer r.armed.mu.Unlock()
	r.armed.signals[m.Name], r.armed.gaps[m.Name] = sent, gaps
}

// started sends a new life the signals that are meant for it.
func (r *run) started(m Machine, p *Process) {
	r.armed.mu.Lock()
	signals, gaps := r.armed.signals[m.Name], r.armed.gaps[m.Name]
	delete(r.armed.signals, m.Name)
	r.armed.mu.Unlock()
	r.pending.Go(func() {
		for n, s := range signals {
			time.Sleep(gaps[n])
			r.send(p, s)
		}
	})
}
