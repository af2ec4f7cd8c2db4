// Command asterridgectl is the command line for operators: it queries the fleet's state and sends orders to it.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"

	"asterridge/apierror"
	"asterridge/controlplane"
	"asterridge/router"
	"asterridge/rpc"
)

const usage = `asterridgectl: asks a fleet for its state and orders changes

  asterridgectl -cores IP:PORT,… COMMAND     one command
  asterridgectl -cores IP:PORT,…             commands line by line from standard input

Commands (docs/asterridgectl.md has the grammar):
  show THING [where FIELD = VALUE [and …]]   THING: ` + "%s" + `
  why request ID | why hold SCOPE
  create|set tenant|pool|path|adapter NAME FIELD = VALUE, …      set hold FIELD = VALUE, …
  remove tenant|pool|path|adapter NAME
  accept weights VERSION for POOL | accept build BUILD of ADAPTER for MODEL
  grant key KEY to TENANT | revoke key KEY of TENANT
  apply FILE [expect VERSION] | merge FILE [expect VERSION]
  admit core NAME | retire core NAME
  retire model OLD for NEW | undo retirement [of OLD]
  help | quit

Exit: 0 done, 1 rejected, 2 cannot be read, 3 no core answers.

Flags:
`

func main() {
	flags := flag.NewFlagSet("asterridgectl", flag.ExitOnError)
	cores := flags.String("cores", os.Getenv("ASTERRIDGE_CORES"), "`ip:port`s of cores, with commas; also from ASTERRIDGE_CORES")
	fleet := flags.String("fleet", "asterridge", "the fleet's `name`")
	format := flags.String("format", "table", "table or json")
	key := flags.String("key", "", "idempotency `key` of the order, as a lost answer's message gives it; empty: a new one for each order")
	printUsage := func(w io.Writer) {
		fmt.Fprintf(w, usage, strings.Join(rowKinds, " "))
		flags.SetOutput(w)
		flags.PrintDefaults()
	}
	flags.Usage = func() { printUsage(os.Stderr) }
	_ = flags.Parse(os.Args[1:]) // never returns an error: with flag.ExitOnError the process exits instead
	s := &session{client: rpc.NewClient(*fleet, &rpc.TCP{}), key: *key, out: os.Stdout, jsonOutput: *format == "json", printUsage: printUsage}
	for _, core := range strings.Split(*cores, ",") {
		if core = strings.TrimSpace(core); core != "" {
			s.cores = append(s.cores, core)
		}
	}
	if *format != "table" && *format != "json" {
		fmt.Fprintf(os.Stderr, "format: %q is neither table nor json\n", *format)
		os.Exit(2)
	}
	if flags.NArg() > 0 {
		os.Exit(s.execute(strings.Join(flags.Args(), " ")))
	}
	prompt := func() {}
	if at, err := os.Stdin.Stat(); err == nil && at.Mode()&os.ModeCharDevice != 0 {
		prompt = func() { fmt.Print("asterridge> ") } // standard input is a terminal
	}
	lines, worst := bufio.NewScanner(os.Stdin), 0
	for prompt(); lines.Scan(); prompt() {
		if strings.TrimSpace(lines.Text()) == "quit" {
			break
		}
		if text := strings.TrimSpace(lines.Text()); text != "" && text[0] != '#' {
			worst = max(worst, s.execute(text))
		}
	}
	os.Exit(worst)
}

// session executes commands against the cores of one fleet.
type session struct {
	client *rpc.Client
	cores  []string
	// key is an idempotency key given by the operator, followed by a colon and the version known before the order was first sent. If it is
	// empty, a new key is generated for each order.
	key        string
	out        io.Writer
	jsonOutput bool
	printUsage func(io.Writer)
}

// execute parses and executes one command line and returns its exit code.
func (s *session) execute(text string) int {
	c, err := parse(text)
	if err == nil && c.file != "" {
		err = readInto(c)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		if f := apierror.Of(err); f.Code.Number == apierror.Syntax.Number && f.At > 0 {
			fmt.Fprintf(os.Stderr, "  %s\n  %s^\n", text, strings.Repeat(" ", f.At-1))
		}
		return 2
	case c.help:
		s.printUsage(s.out)
		return 0
	case c.quit:
		return 0
	case c.query != nil:
		a, err := call[controlplane.QueryResponse](s, "/query", c.query)
		if err != nil {
			return s.reportError(err)
		}
		s.printRows(a)
		return 0
	}
	a, err := s.submit(c)
	if err != nil {
		return s.reportError(err)
	}
	if s.jsonOutput {
		_ = json.NewEncoder(s.out).Encode(a) // a terminal that is gone has nobody to tell
	} else {
		fmt.Fprintf(s.out, "accepted as version %d\n", a.Version)
	}
	return 0
}

func readInto(c command) error {
	text, err := os.ReadFile(c.file)
	if err != nil {
		return apierror.Wrap(err, apierror.Syntax, "read file")
	}
	if !json.Valid(text) {
		return apierror.New(apierror.Malformed, "%s is not JSON", c.file)
	}
	c.body.(*controlplane.ConfigChange).Text = text
	return nil
}

// reportError prints the error of a command and returns its exit code.
func (s *session) reportError(err error) int {
	if s.jsonOutput {
		_ = json.NewEncoder(s.out).Encode(apierror.ToBody(err)) // a terminal that is gone has nobody to tell
	}
	fmt.Fprintln(os.Stderr, err)
	if apierror.Is(err, apierror.Unreachable) {
		return 3
	}
	return 1
}

// call sends a request to the cores in turn until one of them responds.
func call[A any](s *session, path string, q any) (A, error) {
	var none A
	err := error(apierror.New(apierror.Unreachable, "no core given: use -cores"))
	for _, core := range s.cores {
		ctx, stop := context.WithTimeout(context.Background(), callTimeout)
		var a A
		a, err = rpc.Call[A](ctx, s.client, core, path, q)
		stop()
		if err == nil || !apierror.Is(err, apierror.Unreachable) {
			return a, err
		}
	}
	return none, err
}

func (s *session) printRows(a controlplane.QueryResponse) {
	if s.jsonOutput {
		_ = json.NewEncoder(s.out).Encode(a) // a terminal that is gone has nobody to tell
		return
	}
	var columns []string
	for _, row := range a.Rows {
		for name := range row {
			if !slices.Contains(columns, name) {
				columns = append(columns, name)
			}
		}
	}
	sort.Slice(columns, func(i, j int) bool { return rank(columns[i]) < rank(columns[j]) })
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(columns, "\t"))
	lines := make([]string, 0, len(a.Rows))
	for _, row := range a.Rows {
		lines = append(lines, formatRow(row, columns))
	}
	if len(a.Rows) > 0 && a.Rows[0]["at"] == nil { // rows with a time are events, which are sorted by time already
		sort.Strings(lines)
	}
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
	_ = w.Flush() // a terminal that is gone has nobody to tell
	fmt.Fprintf(s.out, "%d rows\n", len(a.Rows))
	if len(a.Unresponsive) > 0 {
		fmt.Fprintf(s.out, "no answer from: %s\n", strings.Join(a.Unresponsive, ", "))
	}
}

// rank returns a sort key that puts identifying columns first and the rest in alphabetical order.
func rank(column string) string {
	for i, first := range []string{"scope", "request", "proxy", "name", "key", "replica", "agent", "tenant", "pool"} {
		if column == first {
			return string(rune('0' + i))
		}
	}
	return "~" + column
}

func formatRow(row router.Row, columns []string) string {
	all := make([]string, len(columns))
	for i, name := range columns {
		switch value := row[name].(type) {
		case nil:
		case map[string]any, []any:
			raw, _ := json.Marshal(value) // cannot fail: the value was decoded from JSON
			all[i] = string(raw)
		default:
			all[i] = fmt.Sprint(value)
		}
	}
	return strings.Join(all, "\t")
}
