package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Command is a program with its arguments and its environment.
type Command struct {
	Name string // of the process, unique in the fleet
	Path string
	Args []string
	Env  []string // beside the variables of this process
	// Settings is the file that the program reads when it starts and at SIGHUP.
	Settings string
}

// SentSignal is a signal that a process was sent.
type SentSignal struct {
	Signal syscall.Signal
	At     time.Time
	Phase  Phase
}

// Phase is a part of a process's life, as its log tells it.
type Phase int

// The phases, in their order.
const (
	Launching Phase = iota // nothing was written yet: the process may not catch signals so early
	Starting               // it does not listen yet
	Joining                // a core that is no member yet, or an agent or proxy that is not current
	Serving
	Draining
	Ending // its work has ended
	phaseCount
)

// String names the phase.
func (p Phase) String() string {
	return [phaseCount]string{"launching", "starting", "joining", "serving", "draining", "ending"}[p]
}

// What the log lines of a phase's beginning have; the last one that stands in a log counts.
var phaseLines = map[Phase][]string{
	Joining:  {" started "},
	Serving:  {"fleet bootstrapped", "member=true", "current=true"},
	Draining: {"stop requested"},
	Ending:   {"proxy stopped", "process ended"},
}

// Process is one life of a command, from its start to its end.
type Process struct {
	Command Command
	Started time.Time

	cmd     *exec.Cmd
	exited  chan struct{}
	mu      sync.Mutex
	output  bytes.Buffer
	signals []SentSignal
	ended   time.Time
}

// Start starts a command. What it writes is kept.
func Start(c Command) (*Process, error) {
	p := &Process{Command: c, Started: time.Now(), exited: make(chan struct{}), cmd: exec.Command(c.Path, c.Args...)}
	p.cmd.Env = append(os.Environ(), c.Env...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", c.Name, err)
	}
	go func() {
		_ = p.cmd.Wait() // how it ended is read from its state
		p.mu.Lock()
		p.ended = time.Now()
		p.mu.Unlock()
		close(p.exited)
	}()
	return p, nil
}

// Write keeps what the process writes.
func (p *Process) Write(text []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(text)
}

// Output is what the process has written.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// PID is the process's number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal and notes it. A process that has ended gets none.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended.IsZero() {
		return
	}
	p.signals = append(p.signals, SentSignal{s, time.Now(), p.phase()})
	_ = p.cmd.Process.Signal(s) // it has just ended
}

// phase is the process's phase; p.mu is held.
func (p *Process) phase() (now Phase) {
	if p.output.Len() > 0 {
		now = Starting
	}
	for phase, lines := range phaseLines {
		for _, line := range lines {
			if phase > now && bytes.Contains(p.output.Bytes(), []byte(line)) {
				now = phase
			}
		}
	}
	return now
}

// Signals are those that the process was sent.
func (p *Process) Signals() []SentSignal {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.signals)
}

// Sent gives the first signal of a kind that the process was sent, if any.
func (p *Process) Sent(s ...syscall.Signal) (first SentSignal, sent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, signal := range p.signals {
		for _, kind := range s {
			if signal.Signal == kind {
				return signal, true
			}
		}
	}
	return first, false
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// EndsWithin waits for the end of the process, and reports whether it came in time.
func (p *Process) EndsWithin(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return !p.Runs()
	}
}

// Runs reports whether the process has not ended.
func (p *Process) Runs() bool { return p.Ended().IsZero() }

// Ended is when the process was seen to have ended; zero while it runs.
func (p *Process) Ended() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Exit says how a process that is gone has ended: its exit status, or the signal that ended it.
func (p *Process) Exit() string { return p.cmd.ProcessState.String() }

// ExitedInOrder reports whether a process that is gone has ended by itself with status 0.
func (p *Process) ExitedInOrder() bool { return p.cmd.ProcessState.Success() }

// Writes waits until the process has written a text, and reports whether that came in time.
func (p *Process) Writes(text string, limit time.Duration) bool {
	return eventually(limit, func() bool { return strings.Contains(p.Output(), text) })
}

// eventually asks again and again until the answer is yes, and reports whether that came in time.
func eventually(limit time.Duration, so func() bool) bool {
	const interval = 5 * time.Millisecond
	for end := time.Now().Add(limit); !so(); time.Sleep(interval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
