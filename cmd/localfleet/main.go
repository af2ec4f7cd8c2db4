// Command localfleet runs a whole fleet as processes on this machine's loopback, with fakes around it, and checks the ledgers afterwards.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

func main() {
	set := flag.NewFlagSet("localfleet", flag.ExitOnError)
	set.Usage = func() {
		fmt.Fprintln(set.Output(), "localfleet: runs a whole fleet on this machine and checks the rules that must never be broken\n\nScripts:")
		for _, s := range scripts {
			fmt.Fprintf(set.Output(), "  %-12s %s\n", s.name, s.purpose)
		}
		fmt.Fprintln(set.Output(), "\nOne fault, for some seconds:")
		for _, made := range faults {
			fmt.Fprintf(set.Output(), "  %-12s %s\n", made.name, made.purpose)
		}
		fmt.Fprintln(set.Output(), "\nFlags:")
		set.PrintDefaults()
	}
	o := options{}
	set.StringVar(&o.bin, "bin", filepath.Dir(os.Args[0]), "`folder` of the programs")
	set.StringVar(&o.other, "other", "", "`folder` of another build, from which every second core, agent and proxy comes")
	set.StringVar(&o.data, "data", "", "`folder` for disks, logs and ledgers; a new one below the temporary folder by default")
	set.StringVar(&o.deployment, "deployment", "trails", "trails or archive")
	set.StringVar(&o.examples, "examples", "examples", "`folder` of the example configurations")
	set.IntVar(&o.proxies, "proxies", 8, "machines with an agent and a proxy")
	set.IntVar(&o.replicas, "replicas", 18, "model replicas")
	set.IntVar(&o.count, "count", 0, "requests; 0: as the deployment has it")
	set.IntVar(&o.rate, "rate", 0, "requests a second; 0: as the deployment has it")
	set.Uint64Var(&o.seed, "seed", 1, "seed of the callers' mix and of the script")
	set.BoolVar(&o.observe, "observe", false, "hold in observe-only mode: for paired runs without the shared hold")
	set.IntVar(&o.index, "index", 200000, "entries of each proxy's index of kept prompts; 0: none")
	script := set.String("script", "throttle", "what happens during the run")
	_ = set.Parse(os.Args[1:]) // ExitOnError
	chosen, err := findScript(*script)
	if err == nil {
		err = o.check()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	f, err := start(ctx, o)
	f.closing = *script == "random"
	if err == nil {
		err = f.play(ctx, chosen)
	}
	f.stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
	breaches := f.report()
	fmt.Printf("repeat with: fleet -deployment %s -script %s -seed %d -count %d -rate %d -proxies %d -replicas %d\n",
		o.deployment, *script, o.seed, o.count, o.rate, o.proxies, o.replicas)
	if breaches > 0 {
		os.Exit(1)
	}
}

type options struct {
	bin, other, data, deployment, examples string
	proxies, replicas, count, rate         int
	seed                                   uint64
	observe                                bool
	index                                  int
}

func (o *options) check() error {
	if o.deployment != "trails" && o.deployment != "archive" {
		return fmt.Errorf("deployment: %q is neither trails nor archive", o.deployment)
	}
	if o.proxies < 1 || o.proxies > 64 || o.replicas < 2 || o.replicas > 64 {
		return fmt.Errorf("proxies and replicas: 1 to 64 and 2 to 64")
	}
	if o.rate == 0 {
		o.rate = map[string]int{"trails": 40, "archive": 60}[o.deployment]
	}
	if o.count == 0 {
		o.count = o.rate * 15
	}
	if o.data == "" {
		folder, err := os.MkdirTemp("", "asterridge-")
		if err != nil {
			return err
		}
		o.data = folder
	}
	return os.MkdirAll(o.data, 0o755)
}

// script is what happens while the clients send requests.
type script struct {
	name, purpose string
	play          func(ctx context.Context, f *fleet) error
}

func findScript(name string) (script, error) {
	for _, s := range scripts {
		if s.name == name {
			return s, nil
		}
	}
	for _, made := range faults {
		if made.name == name {
			return scriptOf(made), nil
		}
	}
	return script{}, fmt.Errorf("script: there is no %q; see fleet -h", name)
}

// eventually repeats a question within the limit until the answer is yes.
func eventually(ctx context.Context, limit time.Duration, what string, so func() bool) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !so() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("not within %v: %s", limit, what)
		case <-ticker.C:
		}
	}
	return nil
}
