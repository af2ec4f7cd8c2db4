// Command scalebench measures how the control's costs grow: it runs real cores, agents and routers, many in one process, without callers and
// replicas, at several sizes, and prints what each costs and whether that grows in a line (docs/CAPACITY.md).
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"
)

type options struct {
	measure  string
	sizes    []int
	platform bool
	length   time.Duration // measured for
	settle   time.Duration // left alone before that
	limit    time.Duration
	folder   string // of the pictures; "": none
	start    starter
	hosts    hosts
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == "-child" {
		if err := serveChild(os.Stdin, os.Stdout, onLoopback); err != nil {
			fmt.Fprintln(os.Stderr, "scalebench child:", err)
			os.Exit(1)
		}
		return
	}
	o, err := readFlags(os.Args[1:], os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "scalebench:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	o.start, o.hosts = startProcess, onLoopback
	if err := run(ctx, o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "scalebench:", err)
		os.Exit(1)
	}
}

func readFlags(args []string, out io.Writer) (o options, err error) {
	set := flag.NewFlagSet("scalebench", flag.ContinueOnError)
	set.SetOutput(out)
	set.Usage = func() {
		fmt.Fprintln(out, "scalebench: measures how costs grow, on loopback\n\nSlopes:")
		for _, m := range measurements {
			fmt.Fprintf(out, "  %-9s by %s; with %s; sizes %v\n", m.name, m.grows, m.rest, m.sizes)
		}
		fmt.Fprintln(out, "\nFlags:")
		set.PrintDefaults()
	}
	set.StringVar(&o.measure, "measure", "daemons", "the `slope` to measure")
	sizes := set.String("sizes", "", "`numbers` with commas; as listed by default")
	settings := set.String("settings", "platform", "platform: as on the users' platform, or own: our own defaults")
	set.DurationVar(&o.length, "length", 9*time.Second, "for how `long` each size is measured")
	set.DurationVar(&o.settle, "settle", 5*time.Second, "for how `long` each fleet is left alone before, and as long again for each 40 daemons")
	set.DurationVar(&o.limit, "limit", 10*time.Minute, "after this `time` all ends")
	set.StringVar(&o.folder, "plot", "", "`folder` for a picture of the slope")
	if err = set.Parse(args); err != nil {
		return o, err
	}
	if *settings != "platform" && *settings != "own" {
		return o, fmt.Errorf("-settings: %q is neither platform nor own", *settings)
	}
	if o.length <= 0 || o.settle < 0 || o.limit <= 0 {
		return o, fmt.Errorf("-length, -settle, -limit: times above 0")
	}
	o.platform = *settings == "platform"
	m, err := find(o.measure)
	if err != nil {
		return o, err
	}
	o.sizes = m.sizes
	if *sizes != "" {
		o.sizes = nil
		for _, text := range strings.Split(*sizes, ",") {
			n, err := strconv.Atoi(text)
			if err != nil || n < 1 {
				return o, fmt.Errorf("-sizes: %q is no number above 0", text)
			}
			o.sizes = append(o.sizes, n)
		}
	}
	return o, nil
}

// run measures one slope, prints it, and draws it if that is wanted.
func run(ctx context.Context, o options, out io.Writer) error {
	ctx, stop := context.WithTimeout(ctx, o.limit)
	defer stop()
	m, err := find(o.measure)
	if err != nil {
		return err
	}
	s := series{name: m.name, grows: m.grows, rest: m.rest}
	for _, n := range o.sizes {
		var figures []figure
		if figures, err = m.measure(ctx, o, n); err != nil {
			err = fmt.Errorf("%d %s: %w", n, m.grows, err)
			break
		}
		s.rows = append(s.rows, row{float64(n), figures})
	}
	if len(s.rows) > 0 { // what was measured before a failure is shown too
		print(out, s)
	}
	if err == nil && o.folder != "" {
		err = plotSlope(s, o.folder)
	}
	return err
}

// print writes a line for each figure: its value at each size with its spread, and its slope.
func print(out io.Writer, s series) {
	fmt.Fprintf(out, "by %s; with %s\n", s.grows, s.rest)
	w := tabwriter.NewWriter(out, 2, 4, 2, ' ', 0)
	fmt.Fprintf(w, "figure\t")
	for _, r := range s.rows {
		fmt.Fprintf(w, "%.0f\t", r.size)
	}
	fmt.Fprintln(w, "slope\tat 0\tform")
	for i, f := range s.rows[0].figures {
		name := f.name
		if f.unit != "" {
			name += ", " + f.unit
		}
		fmt.Fprintf(w, "%s\t", name)
		for _, r := range s.rows {
			v := r.figures[i]
			if v.low != v.high {
				fmt.Fprintf(w, "%.4g (%.4g-%.4g)\t", v.value, v.low, v.high)
			} else {
				fmt.Fprintf(w, "%.4g\t", v.value)
			}
		}
		if len(s.rows) < 3 {
			fmt.Fprintln(w)
			continue
		}
		slope, at0, form := fit(s.rows, i)
		fmt.Fprintf(w, "%.3g\t%.3g\t%s\n", slope, at0, form)
	}
	_ = w.Flush() // a terminal that is gone has nobody to tell
}
