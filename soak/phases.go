package soak

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Signals that never end a process, and those that tell it to stop. Neither ends one that is stopping already.
var (
	harmless = []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGPIPE}
	stopping = []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}
)

const (
	phaseGrace = 8 * time.Second
	// floodLength is how long a process is sent signals while a phase lasts, floodGap the time between two.
	floodLength = 400 * time.Millisecond
	floodGap    = 3 * time.Millisecond
	// startedLine ends the message that every process logs once it listens.
	startedLine = " started "
)

// PlayPhases sends each of a system's processes each signal in each phase of its life (docs/operators.md, "Signals").
func PlayPhases(t *testing.T, system System) {
	t.Run("starting", func(t *testing.T) { t.Parallel(); playStarting(t, system) })
	t.Run("alone", func(t *testing.T) { t.Parallel(); playAlone(t, system) })
	t.Run("log without a reader", func(t *testing.T) { t.Parallel(); playMute(t, system) })
	t.Run("frozen", func(t *testing.T) { t.Parallel(); playFrozen(t, system) })
	t.Run("in a fleet", func(t *testing.T) { t.Parallel(); playFleet(t, system) })
}

// flood sends a process signals in turn until the end of the time or of the process.
func flood(p *Process, length time.Duration, signals ...syscall.Signal) {
	for end, n := time.Now().Add(length), 0; time.Now().Before(end) && p.Runs(); n++ {
		p.Signal(signals[n%len(signals)])
		time.Sleep(floodGap)
	}
}

// expectRunning fails the test unless the process runs.
func expectRunning(t *testing.T, p *Process) {
	t.Helper()
	if !p.Runs() {
		t.Errorf("%s ended by itself: %s\n%s", p.Command.Name, p.Exit(), p.Output())
	}
}

// expectOrderlyEnd fails the test unless the process ends by itself with status 0, while signals go on until it is gone.
func expectOrderlyEnd(t *testing.T, p *Process) {
	t.Helper()
	flood(p, phaseGrace, append(harmless, stopping...)...)
	if !p.EndsWithin(0) || !p.ExitedInOrder() || !strings.Contains(p.Output(), "process ended") {
		exit := "it runs"
		if !p.Runs() {
			exit = p.Exit()
		}
		t.Errorf("%s did not end in order: %s\n%s", p.Command.Name, exit, p.Output())
	}
}

// eachCommand calls a part of a test for each process of a core and of an edge machine, in a fleet of which nothing runs.
func eachCommand(t *testing.T, system System, play func(t *testing.T, c Command)) {
	f, err := AllocateFleet(t.TempDir(), system, Size{Cores: 3, Edges: 1, Grace: phaseGrace})
	defer f.Stop()
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range []Machine{f.Cores()[0], f.Edges()[0]} {
		commands, err := f.Prepare(m)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range commands {
			t.Run(c.Name, func(t *testing.T) { play(t, c) })
		}
	}
}

// started starts a command and waits until it listens.
func started(t *testing.T, c Command) *Process {
	t.Helper()
	p, err := Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Signal(syscall.SIGKILL); <-p.Exited() })
	if !p.Writes(startedLine, phaseGrace) {
		t.Fatalf("%s did not start: %s", c.Name, p.Output())
	}
	return p
}

// playStarting holds processes up while they read their settings.
func playStarting(t *testing.T, system System) {
	for _, last := range append(harmless, stopping...) {
		t.Run(last.String(), func(t *testing.T) {
			eachCommand(t, system, func(t *testing.T, c Command) {
				is := is.New(t)
				settings, err := os.ReadFile(c.Settings)
				is.NoErr(err)
				is.NoErr(os.Remove(c.Settings))
				is.NoErr(syscall.Mkfifo(c.Settings, 0o600))
				p, err := Start(c)
				is.NoErr(err)
				defer func() { p.Signal(syscall.SIGKILL); <-p.Exited() }()
				writer, err := os.OpenFile(c.Settings, os.O_WRONLY, 0) // when the process has opened it
				is.NoErr(err)
				flood(p, floodLength, last)
				expectRunning(t, p)
				is.NoErr(os.Remove(c.Settings))
				is.NoErr(os.WriteFile(c.Settings, settings, 0o600)) // for what reads it again
				_, err = writer.Write(settings)
				is.NoErr(err)
				is.NoErr(writer.Close())
				if last != syscall.SIGTERM && last != syscall.SIGINT {
					is.True(p.Writes(startedLine, phaseGrace))
				}
				expectOrderlyEnd(t, p)
			})
		})
	}
}

// playAlone has processes run without the others that they need: a core that is not founded, an agent without cores, an unready proxy.
func playAlone(t *testing.T, system System) {
	eachCommand(t, system, func(t *testing.T, c Command) {
		p := started(t, c)
		flood(p, floodLength, harmless...)
		expectRunning(t, p)
		expectOrderlyEnd(t, p)
	})
}

// playMute closes what a process writes its log to: each line is a SIGPIPE then.
func playMute(t *testing.T, system System) {
	eachCommand(t, system, func(t *testing.T, c Command) {
		is := is.New(t)
		reader, writer, err := os.Pipe()
		is.NoErr(err)
		command := exec.Command(c.Path, c.Args...)
		command.Env, command.Stderr = append(os.Environ(), c.Env...), writer
		is.NoErr(command.Start())
		is.NoErr(writer.Close())
		_, err = reader.Read(make([]byte, 1)) // it has written a line
		is.NoErr(err)
		is.NoErr(reader.Close())
		ended := make(chan error, 1)
		go func() { ended <- command.Wait() }()
		for range 20 {
			_ = command.Process.Signal(syscall.SIGHUP) // which it logs; the end is looked for below
			time.Sleep(floodGap)
		}
		select {
		case err := <-ended:
			t.Fatalf("%s ended by itself: %v", c.Name, err)
		case <-time.After(floodLength):
		}
		is.NoErr(command.Process.Signal(syscall.SIGTERM))
		select {
		case err := <-ended:
			is.NoErr(err)
		case <-time.After(phaseGrace):
			_ = command.Process.Kill() // it runs, as the failure says
			t.Fatalf("%s did not end", c.Name)
		}
	})
}

// playFrozen freezes processes, sends them signals meanwhile, and thaws them.
func playFrozen(t *testing.T, system System) {
	eachCommand(t, system, func(t *testing.T, c Command) {
		p := started(t, c)
		p.Signal(syscall.SIGSTOP)
		flood(p, floodLength, harmless...)
		p.Signal(syscall.SIGCONT)
		time.Sleep(floodLength)
		expectRunning(t, p)
		p.Signal(syscall.SIGSTOP)
		flood(p, floodLength, append(stopping, harmless...)...)
		p.Signal(syscall.SIGCONT)
		expectOrderlyEnd(t, p)
	})
}

// playFleet sends the signals to all processes of a fleet that serves, and to a core and an edge machine that drain.
func playFleet(t *testing.T, system System) {
	is := is.New(t)
	f, err := NewFleet(t.TempDir(), system, Size{Cores: 3, Edges: len(stopping), Replicas: 2, Grace: phaseGrace})
	defer f.Stop()
	is.NoErr(err)
	streams := make([]*Attempt, len(f.Edges()))
	ended := make(chan *Attempt)
	for n, edge := range f.Edges() {
		connection, err := Connect(system.Speech(), edge)
		is.NoErr(err)
		defer connection.Close()
		streams[n] = connection.NewAttempt(edge.Name, "plain", Work{Kind: Stream, Chunks: 40, Gap: 100 * time.Millisecond, Size: 10}, 20*time.Second, 0)
		is.NoErr(connection.Send(streams[n], "a body", 1, 0))
		go func() {
			connection.Receive(streams[n], time.Now().Add(2*phaseGrace))
			ended <- streams[n]
		}()
	}
	lives := f.Lives()
	for _, p := range lives {
		go flood(p, floodLength, harmless...)
	}
	time.Sleep(2 * floodLength)
	for _, p := range lives {
		expectRunning(t, p)
	}
	var draining []*Process
	for n, s := range stopping {
		for _, p := range append(f.On(f.Cores()[n]), f.On(f.Edges()[n])...) {
			p.Signal(s)
			draining = append(draining, p)
		}
	}
	stopped := make(chan struct{})
	for _, p := range draining {
		go func() { expectOrderlyEnd(t, p); stopped <- struct{}{} }()
	}
	for range streams {
		if stream := <-ended; !stream.IsServed() {
			t.Errorf("no whole stream at %s: status %d %s", stream.Machine, stream.Status, stream.Failure)
		}
	}
	for range draining {
		<-stopped
	}
}
