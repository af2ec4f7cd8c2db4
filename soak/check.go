package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Bounds of the checks.
const (
	// contact is how long before a request its machine must have been without unplanned trouble for a cut to count.
	contact = time.Second
	// lossSlack is the time after which a whole request counts as read though it reached no replica.
	lossSlack = 200 * time.Millisecond
	// stopSendWindow is how long after a stop a request may be sent whose work may outlast the grace.
	stopSendWindow = 3 * time.Second
	// maxMemoryMB and maxDescriptors are what no process may have at rest.
	maxMemoryMB    = 284
	maxDescriptors = 200
)

// check compares what clients, replicas and operators saw with the rules.
type check struct {
	fleet    *Fleet
	plan     Plan
	runs     map[string][]*Run // by tag
	faults   map[string][]span // unplanned, by machine
	stops    map[string][]time.Time
	findings []string
	involved map[string]bool // machines that findings name
}

// span is a time with trouble.
type span struct{ from, until time.Time }

func newCheck(f *Fleet, plan Plan) *check {
	return &check{fleet: f, plan: plan, runs: map[string][]*Run{}, faults: map[string][]span{}, stops: map[string][]time.Time{}, involved: map[string]bool{}}
}

// find notes a finding about a machine.
func (c *check) find(machine, format string, args ...any) {
	c.findings = append(c.findings, fmt.Sprintf(format, args...))
	c.involved[machine] = true
}

// stories are the logs of the machines that findings name.
func (c *check) stories() string {
	var out strings.Builder
	for _, m := range c.fleet.Machines {
		if c.involved[m.Name] {
			out.WriteString(c.fleet.Story(m.Name + "/"))
		}
	}
	return out.String()
}

// machineOf is the machine that a process's name begins with.
func machineOf(p *Process) string {
	machine, _, _ := strings.Cut(p.Command.Name, "/")
	return machine
}

// all makes the checks that need no running fleet.
func (c *check) all() {
	for _, text := range c.fleet.Ledger.failures {
		c.find("", "%s", text)
	}
	for _, run := range c.fleet.Ledger.runs {
		c.runs[run.Tag] = append(c.runs[run.Tag], run)
	}
	for _, p := range c.fleet.Lives() {
		c.checkProcess(p)
	}
	for _, a := range c.fleet.Ledger.attempts {
		c.attempt(a)
	}
	for tag, runs := range c.runs {
		if work := c.workOf(tag); work != nil && !work.Kind.IsIdempotent() && len(runs) > 1 {
			c.find("", "TWICE: %s was executed by %s and %s", tag, runs[0].Stamp, runs[1].Stamp)
		}
	}
	c.changes()
}

// workOf is what a request asked for.
func (c *check) workOf(tag string) *Work {
	for _, a := range c.fleet.Ledger.attempts {
		if a.Tag == tag {
			return &a.Work
		}
	}
	return nil
}

// checkProcess checks how a process ended, and notes the trouble that it had.
func (c *check) checkProcess(p *Process) {
	machine := machineOf(p)
	var frozen time.Time
	for _, s := range p.Signals() {
		switch s.Signal {
		case syscall.SIGSTOP:
			frozen = s.At
		case syscall.SIGCONT:
			c.faults[machine] = append(c.faults[machine], span{frozen, s.At})
		case syscall.SIGKILL:
			c.faults[machine] = append(c.faults[machine], span{s.At, s.At.Add(restartDelay)})
		}
	}
	stop, stopped := p.Sent(syscall.SIGTERM, syscall.SIGINT)
	if stopped {
		c.stops[machine] = append(c.stops[machine], stop.At)
	}
	_, killed := p.Sent(syscall.SIGKILL, syscall.SIGQUIT)
	if p.Runs() || p.ExitedInOrder() && stopped || isEndedEarly(p) {
		return
	}
	_, froze := p.Sent(syscall.SIGSTOP)
	switch {
	case killed && stopped && !froze && p.Ended().Sub(stop.At) >= c.plan.Size.Grace:
		c.find(machine, "STUCK: %s had to be killed %v after %v", p.Command.Name, c.plan.Size.Grace, stop.Signal)
	case killed:
	case stopped:
		c.find(machine, "EXIT: %s was told to stop and ended with %s", p.Command.Name, p.Exit())
	default:
		c.find(machine, "EXIT: %s ended by itself with %s", p.Command.Name, p.Exit())
		c.faults[machine] = append(c.faults[machine], span{p.Ended(), p.Ended().Add(restartDelay)})
	}
}

// isEndedEarly reports whether a signal ended a process that had not begun to catch signals.
func isEndedEarly(p *Process) bool {
	for _, s := range p.Signals() {
		if s.Phase == Launching && strings.HasPrefix(p.Exit(), "signal: "+s.Signal.String()) {
			return true
		}
	}
	return false
}

// isDisturbed reports whether a machine had unplanned trouble in a time.
func (c *check) isDisturbed(machine string, from, until time.Time) bool {
	for _, t := range c.faults[machine] {
		if t.from.Before(until) && t.until.After(from) {
			return true
		}
	}
	return false
}

// attempt checks one request.
func (c *check) attempt(a *Attempt) {
	runs := c.runs[a.Tag]
	switch {
	case a.CanceledByClient:
	case a.Status == 0 || !a.Complete:
		c.unanswered(a, runs)
	case isRejection(a.Status):
		if len(runs) > 0 && !a.Work.Kind.IsIdempotent() {
			c.find(a.Machine, "REFUSED: %s has status %d and was executed by %s", a.Tag, a.Status, runs[0].Stamp)
		}
	case a.IsServed():
		c.served(a)
	case !c.isDisturbed(a.Machine, a.Began.Add(-contact), a.Ended):
		c.find(a.Machine, "FAILED: %s", a.story(runs))
	}
	if overdue := a.Ended.Sub(a.Sent) - a.Deadline; a.Sent.IsZero() || overdue <= answerSlack/2 || c.isDisturbed(a.Machine, a.Began.Add(-contact), a.Ended) {
		return
	}
	c.find(a.Machine, "LATE: %s", a.story(runs))
}

// isRejection reports whether a status promises that a request was not executed.
func isRejection(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// served checks that an answer is the replica's whole one to this very request.
func (c *check) served(a *Attempt) {
	run := c.fleet.Ledger.runs[a.Stamp]
	switch {
	case run == nil:
		c.find(a.Machine, "MIXED: %s has the stamp %s, which no run has", a.Tag, a.Stamp)
	case run.Tag != a.Tag:
		c.find(a.Machine, "MIXED: %s has the answer to %s", a.Tag, run.Tag)
	case a.Work.Kind == Resumable:
	case run.Body != a.Body || !run.Complete:
		c.find(a.Machine, "MIXED: %s has %d bytes of an answer of %d, complete %v", a.Tag, len(a.Body), len(run.Body), run.Complete)
	}
	if a.Work.Kind.IsStream() {
		c.order(a)
	}
}

// order checks that a stream has every event once, in their order.
func (c *check) order(a *Attempt) {
	next := a.After + 1
	for line := range strings.Lines(a.Body) {
		text, isID := strings.CutPrefix(line, "id: ")
		if !isID {
			continue
		}
		if id, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64); err != nil || id != next {
			c.find(a.Machine, "ORDER: %s has event %q in the place of %d", a.Tag, strings.TrimSpace(text), next)
			return
		}
		next++
	}
	if next != uint64(a.Work.Chunks)+1 && a.After < uint64(a.Work.Chunks) {
		c.find(a.Machine, "ORDER: %s ends as complete before event %d of %d", a.Tag, next, a.Work.Chunks)
	}
}

// unanswered checks a request whose answer did not come whole.
func (c *check) unanswered(a *Attempt, runs []*Run) {
	switch {
	case a.Sent.IsZero() || c.isDisturbed(a.Machine, a.Began.Add(-contact), a.Ended.Add(contact/10)):
	case c.isOutlasting(a):
	case a.Behind != nil && len(runs) == 0 && (a.Behind.Closing || a.Behind.Status == 0 || !a.Behind.Complete):
	case len(runs) == 0 && a.Ended.Sub(a.Sent) <= lossSlack:
	case a.Behind != nil && len(runs) == 0 && a.Ended.Sub(a.Behind.Ended) <= lossSlack:
		// It waited behind another answer, unread, and crossed the close.
	default:
		c.find(a.Machine, "LOST: %s", a.story(runs))
	}
}

// isOutlasting reports whether a request was cut in the last sixth of the grace of a machine that was told to stop.
func (c *check) isOutlasting(a *Attempt) bool {
	for _, stop := range c.stops[a.Machine] {
		after := a.Ended.Sub(stop)
		if after > c.plan.Size.Grace*5/6 && after < c.plan.Size.Grace+restartDelay && a.Sent.Before(stop.Add(stopSendWindow)) {
			return true
		}
	}
	return false
}

// story tells what happened to a request.
func (a *Attempt) story(runs []*Run) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s (%v, %s, number %d of its connection, %d chunks of %v) to %s, begun %s, sent %s, ended %s: status %d, %d bytes, %s", a.Tag, a.Work.Kind, a.Manner, a.Nth,
		a.Work.Chunks, a.Work.Gap, a.Machine, a.Began.Format(clock), a.Sent.Format(clock), a.Ended.Format(clock), a.Status, len(a.Body), a.Failure)
	if a.Status != 0 && a.Stamp == "" {
		fmt.Fprintf(&out, ", %.200q", a.Body)
	}
	for _, run := range runs {
		fmt.Fprintf(&out, "; executed by %s from %s to %s, complete %v", run.Stamp, run.Began.Format(clock), run.Ended.Format(clock), run.Complete)
	}
	return out.String()
}

// changes checks what operators were told.
func (c *check) changes() {
	for _, change := range c.fleet.Ledger.changes {
		if change.Kind == InvalidChange && change.Verdict == Accepted {
			c.find("", "CONFIG: change %d is invalid and was accepted", change.Number)
		}
		if change.Verdict != Accepted || !c.fleet.System.Contract().CurrentReads {
			continue
		}
		for _, read := range c.fleet.Ledger.reads {
			if read.Sent.After(change.Answered.Add(c.fleet.System.Contract().ConfigApply)) && read.Number < change.Number {
				c.find(read.Core, "CONFIG: %s read %d at %s, after change %d was accepted at %s", read.Core, read.Number, read.Sent.Format(clock), change.Number, change.Answered.Format(clock))
			}
		}
	}
}

// stuck notes processes that did not end in order with the fleet.
func (c *check) stuck(all []*Process) {
	for _, p := range all {
		c.find(machineOf(p), "STUCK: %s did not end with the fleet", p.Command.Name)
	}
}

// inspectIdle looks at what processes hold once the clients have gone, and at the goroutines of one process of each role.
func (c *check) inspectIdle(peaks map[string]Peak) {
	sleep(c.fleet.ctx, idleLength)
	for _, m := range c.fleet.Machines {
		for _, p := range c.fleet.On(m) {
			_, role, _ := strings.Cut(p.Command.Name, "/")
			memory, descriptors := memoryOf(p), descriptorsOf(p)
			peaks[role] = Peak{max(peaks[role].MemoryMB, memory), max(peaks[role].Descriptors, descriptors)}
			if memory > maxMemoryMB || descriptors > maxDescriptors {
				c.find(m.Name, "LEFT OVER: %s has %d MiB and %d descriptors at rest", p.Command.Name, memory, descriptors)
			}
		}
	}
	for _, p := range c.fleet.On(c.fleet.Edges()[0]) {
		c.goroutines(p)
	}
}

// requestFrames are in the stack of each goroutine that serves a client's request.
var requestFrames = []string{"router.(*Router).relay", "router.sendFilter.Handle", "router.queueFilter.Handle"}

// goroutines ends a process with its stacks in its log, and looks for requests in them.
func (c *check) goroutines(p *Process) {
	const limit = 5 * time.Second
	p.Signal(syscall.SIGQUIT)
	if !p.EndsWithin(limit) {
		c.find(machineOf(p), "STUCK: %s goes on after SIGQUIT", p.Command.Name)
		return
	}
	for _, frame := range requestFrames {
		if strings.Contains(p.Output(), frame) {
			c.find(machineOf(p), "LEFT OVER: %s has a goroutine in %s at rest", p.Command.Name, frame)
		}
	}
}

// memoryOf is a process's resident memory at its peak, in MiB; 0 if it has ended.
func memoryOf(p *Process) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if words := strings.Fields(line); len(words) > 1 && words[0] == "VmHWM:" {
			kilobytes, _ := strconv.Atoi(words[1]) // the kernel writes a number
			return kilobytes >> 10
		}
	}
	return 0
}

// descriptorsOf is how many descriptors a process has open; 0 if it has ended.
func descriptorsOf(p *Process) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	if err != nil {
		return 0
	}
	return len(entries)
}
