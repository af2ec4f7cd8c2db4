package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/go-faster/jx"
	"github.com/rs/zerolog"

	"asterridge/apierror"
	"asterridge/rpc"
)

// Settings are a program's flags, which a settings file may give too; a flag beats the file.
type Settings struct {
	set    *flag.FlagSet
	usage  func()
	file   *string
	level  *string
	Host   Host
	listen string
	seeds  *string
	check  []func() error
}

// NewSettings has the flags that every daemon knows.
func NewSettings(program, purpose string) *Settings {
	s := &Settings{set: flag.NewFlagSet(program, flag.ContinueOnError)}
	s.usage = func() {
		fmt.Fprintf(s.set.Output(), "%s: %s\n\nFlags (a settings file is a JSON object with the same names):\n", program, purpose)
		s.set.PrintDefaults()
	}
	s.file = s.set.String("settings", "", "settings `file`")
	s.level = s.set.String("log", "info", "least `level` logged: debug, info, warn, error")
	s.set.StringVar(&s.Host.Name, "name", "", "this daemon's `name`, unique in the fleet")
	s.set.StringVar(&s.Host.Fleet, "fleet", "asterridge", "the fleet's `name`; messages from another fleet are refused")
	s.set.StringVar(&s.Host.Zone, "zone", "", "the `zone` of this machine")
	s.set.StringVar(&s.Host.Address, "address", "", "`ip:port` at which other machines reach this daemon")
	s.set.StringVar(&s.listen, "listen", "", "`ip:port` to listen at, where that is another than -address; a daemon calls others from the IP that it listens at")
	s.seeds = s.set.String("seeds", "", "up to three `ip:port`s of other daemons, with commas")
	return s
}

// Text adds a flag.
func (s *Settings) Text(name, value, usage string) *string { return s.set.String(name, value, usage) }

// Integer adds a flag with a range.
func (s *Settings) Integer(name string, value, least, most int, usage string) *int {
	n := s.set.Int(name, value, usage)
	s.check = append(s.check, func() error {
		if *n < least || *n > most {
			return bad(name, "%d is not within %d to %d", *n, least, most)
		}
		return nil
	})
	return n
}

// Address adds a flag that takes ip:port.
func (s *Settings) Address(name, usage string) *string {
	text := s.set.String(name, "", usage)
	s.check = append(s.check, func() error { return checkAddress(name, *text) })
	return text
}

// Needed marks flags that may not stay empty.
func (s *Settings) Needed(names ...string) {
	for _, name := range names {
		s.check = append(s.check, func() error {
			if s.set.Lookup(name).Value.String() == "" {
				return bad(name, "is needed")
			}
			return nil
		})
	}
}

func bad(name, format string, args ...any) error {
	f := apierror.New(apierror.Settings, format, args...)
	f.Field = name
	return f
}

func checkAddress(name, text string) error {
	if text == "" {
		return nil
	}
	host, port, err := net.SplitHostPort(text)
	if n, bad := strconv.Atoi(port); err == nil && (net.ParseIP(host) == nil || bad != nil || n < 0 || n > 65535) {
		err = errors.New("not an IP number and a port")
	}
	if err != nil {
		return bad(name, "%q: %v", text, err)
	}
	return nil
}

// Read takes the command line and the file. Errors name the field.
func (s *Settings) Read(args []string) error {
	s.set.SetOutput(io.Discard) // one line of our own, without the whole list of flags
	err := s.set.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		s.set.SetOutput(os.Stdout)
		s.usage()
		return err
	}
	if err != nil {
		return apierror.Wrap(err, apierror.Settings, "flags")
	}
	if s.set.NArg() > 0 {
		return bad(s.set.Arg(0), "is no flag")
	}
	if err := s.readFile(); err != nil {
		return err
	}
	for _, seed := range strings.Split(*s.seeds, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			if err := checkAddress("seeds", seed); err != nil {
				return err
			}
			s.Host.Seeds = append(s.Host.Seeds, seed)
		}
	}
	if len(s.Host.Seeds) > 3 {
		return bad("seeds", "at most three, not %d", len(s.Host.Seeds))
	}
	if err := checkAddress("address", s.Host.Address); err != nil {
		return err
	}
	if err := checkAddress("listen", s.listen); err != nil {
		return err
	}
	for _, check := range s.check {
		if err := check(); err != nil {
			return err
		}
	}
	level, err := zerolog.ParseLevel(*s.level)
	if err != nil || *s.level == "" {
		return bad("log", "%q is no level", *s.level)
	}
	s.Host.Log = Logger(os.Stderr, level).With().Str("daemon", s.Host.Name).Logger()
	network := &rpc.TCP{}
	if host, _, err := net.SplitHostPort(s.listenAt()); err == nil && !net.ParseIP(host).IsUnspecified() {
		network.LocalAddr = &net.TCPAddr{IP: net.ParseIP(host)}
	}
	s.Host.Net = network
	return nil
}

func (s *Settings) listenAt() string {
	if s.listen != "" {
		return s.listen
	}
	return s.Host.Address
}

// Listen opens the port that other machines reach.
func (s *Settings) Listen() (net.Listener, error) { return s.Host.Net.Listen(s.listenAt()) }

func (s *Settings) readFile() error {
	if *s.file == "" {
		return nil
	}
	text, err := os.ReadFile(*s.file)
	if err != nil {
		return bad("settings", "%v", err)
	}
	isGiven := map[string]bool{}
	s.set.Visit(func(f *flag.Flag) { isGiven[f.Name] = true })
	met := map[string]bool{}
	err = jx.DecodeBytes(text).Obj(func(d *jx.Decoder, name string) error {
		if met[name] {
			return bad(name, "stands twice in %s", filepath.Base(*s.file))
		}
		met[name] = true
		if s.set.Lookup(name) == nil || name == "settings" {
			return bad(name, "is no setting")
		}
		var value string
		switch d.Next() {
		case jx.String:
			value, err = d.Str()
		case jx.Number, jx.Bool:
			var raw jx.Raw
			raw, err = d.Raw()
			value = raw.String()
		default:
			return bad(name, "needs a string, a number or true or false")
		}
		if err != nil || isGiven[name] {
			return err
		}
		if err := s.set.Set(name, value); err != nil {
			return bad(name, "%v", err)
		}
		return nil
	})
	return apierror.Wrap(err, apierror.Settings, filepath.Base(*s.file))
}

// Logger writes one key=value line an event.
func Logger(w io.Writer, level zerolog.Level) zerolog.Logger {
	lines := zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		FormatLevel:     func(l any) string { return fmt.Sprintf("level=%v", l) },
		FormatMessage:   func(any) string { return "" },
		FormatTimestamp: func(t any) string { return fmt.Sprintf("time=%v", t) },
	}
	return zerolog.New(lines).Level(level).With().Timestamp().Logger()
}

// Main reads the settings, runs the daemon until it is told to stop, and exits: 0 after a stop, 2 for bad settings, 1 for a failure.
func Main(s *Settings, run func(ctx context.Context) error) {
	err := s.Read(os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(0)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		s.Host.Log.Error().Str("event", "failed").Err(err).Msg("")
		os.Exit(1)
	}
}
