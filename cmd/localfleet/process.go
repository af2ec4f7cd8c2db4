package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// process is a process that this program has started.
type process struct {
	name    string
	program string
	args    []string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// run starts a program; its log goes to the data folder.
func (f *fleet) run(name, program string, args ...string) error {
	log, err := os.OpenFile(f.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p := &process{name: name, program: program, args: args, ended: make(chan struct{})}
	folder := f.options.bin
	if n := name[len(name)-1]; f.options.other != "" && program != "fakebackend" && (n-'0')%2 == 0 {
		folder = f.options.other
	}
	p.cmd = exec.Command(filepath.Join(folder, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() { _ = p.cmd.Wait(); close(p.ended) }() // the exit code says nothing of a killed process
	if f.processes[name] == nil {
		f.started = append(f.started, name)
	}
	f.processes[name] = p
	return nil
}

// signal sends a signal to a process that this program has started.
func (f *fleet) signal(name string, s syscall.Signal) error {
	return f.processes[name].cmd.Process.Signal(s)
}

// end stops processes with SIGKILL or SIGTERM and waits until they have ended.
func (f *fleet) end(s syscall.Signal, names ...string) error {
	for _, name := range names {
		if err := f.signal(name, s); err != nil {
			return err
		}
	}
	for _, name := range names {
		<-f.processes[name].ended
	}
	return nil
}

func (f *fleet) runs(name string) bool {
	select {
	case <-f.processes[name].ended:
		return false
	default:
		return true
	}
}

// ensure starts those of the processes that do not run.
func (f *fleet) ensure(names ...string) error {
	return f.again(slices.DeleteFunc(slices.Clone(names), f.runs)...)
}

// again starts processes again with their former arguments.
func (f *fleet) again(names ...string) error {
	for _, name := range names {
		p := f.processes[name]
		if err := f.run(name, p.program, p.args...); err != nil {
			return err
		}
	}
	return nil
}

// daemons names the fleet's own processes: cores, agents, proxies.
func (f *fleet) daemons() (all []string) {
	for _, name := range f.started {
		if p := f.processes[name].program; p == "core" || p == "agent" || p == "proxy" {
			all = append(all, name)
		}
	}
	return all
}

// stop ends all processes that this program has started: first with SIGTERM, then with SIGKILL.
func (f *fleet) stop() {
	for i := len(f.started) - 1; i >= 0; i-- {
		_ = f.processes[f.started[i]].cmd.Process.Signal(syscall.SIGTERM) // one that has ended already is what is wanted
	}
	limit := time.After(6 * time.Second)
	for _, name := range f.started {
		select {
		case <-f.processes[name].ended:
		case <-limit:
			_ = f.processes[name].cmd.Process.Kill() // as above
			<-f.processes[name].ended
		}
	}
}
