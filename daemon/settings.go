package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/go-faster/jx"
	"github.com/rs/zerolog"

	"asterridge/apierror"
	"asterridge/rpc"
)

// Settings are a program's flags. A settings file may set them too; flags on the command line take precedence.
type Settings struct {
	flags        *flag.FlagSet
	usage        func()
	settingsFile *string
	level        *string
	Host         Host
	listen       string
	seeds        *string
	checks       []func() error
}

// NewSettings returns settings with the flags that all daemons share.
func NewSettings(program, purpose string) *Settings {
	s := &Settings{flags: flag.NewFlagSet(program, flag.ContinueOnError)}
	s.usage = func() {
		fmt.Fprintf(s.flags.Output(), "%s: %s\n\nFlags (a settings file is a JSON object with the same names):\n", program, purpose)
		s.flags.PrintDefaults()
	}
	s.settingsFile = s.flags.String("settings", "", "settings `file`")
	s.level = s.flags.String("log", "info", "least `level` logged: debug, info, warn, error")
	s.flags.StringVar(&s.Host.Name, "name", "", "this daemon's `name`, unique in the fleet")
	s.flags.StringVar(&s.Host.Fleet, "fleet", "asterridge", "the fleet's `name`; messages from another fleet are refused")
	s.flags.StringVar(&s.Host.Zone, "zone", "", "the `zone` of this machine")
	s.flags.StringVar(&s.Host.Address, "address", "", "`ip:port` at which other machines reach this daemon")
	s.flags.StringVar(&s.listen, "listen", "", "`ip:port` to listen at, where that is another than -address; a daemon calls others from the IP that it listens at")
	s.seeds = s.flags.String("seeds", "", "up to three `ip:port`s of other daemons, with commas")
	return s
}

// Text adds a flag that takes a string.
func (s *Settings) Text(name, value, usage string) *string { return s.flags.String(name, value, usage) }

// Integer adds a flag that takes an integer from least to most.
func (s *Settings) Integer(name string, value, least, most int, usage string) *int {
	n := s.flags.Int(name, value, usage)
	s.checks = append(s.checks, func() error {
		if *n < least || *n > most {
			return fieldError(name, "%d is not within %d to %d", *n, least, most)
		}
		return nil
	})
	return n
}

// Address adds a flag that takes ip:port.
func (s *Settings) Address(name, usage string) *string {
	text := s.flags.String(name, "", usage)
	s.checks = append(s.checks, func() error { return checkAddress(name, *text) })
	return text
}

// Require marks flags that must not be empty.
func (s *Settings) Require(names ...string) {
	for _, name := range names {
		s.checks = append(s.checks, func() error {
			if s.flags.Lookup(name).Value.String() == "" {
				return fieldError(name, "is needed")
			}
			return nil
		})
	}
}

func fieldError(name, format string, args ...any) error {
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
		return fieldError(name, "%q: %v", text, err)
	}
	return nil
}

// Read parses the command line and the settings file. Its errors name the field.
func (s *Settings) Read(args []string) error {
	s.flags.SetOutput(io.Discard) // errors are reported as one line, without the list of flags
	err := s.flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		s.flags.SetOutput(os.Stdout)
		s.usage()
		return err
	}
	if err != nil {
		return apierror.Wrap(err, apierror.Settings, "flags")
	}
	if s.flags.NArg() > 0 {
		return fieldError(s.flags.Arg(0), "is no flag")
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
		return fieldError("seeds", "at most three, not %d", len(s.Host.Seeds))
	}
	if err := checkAddress("address", s.Host.Address); err != nil {
		return err
	}
	if err := checkAddress("listen", s.listen); err != nil {
		return err
	}
	for _, check := range s.checks {
		if err := check(); err != nil {
			return err
		}
	}
	level, err := zerolog.ParseLevel(*s.level)
	if err != nil || *s.level == "" {
		return fieldError("log", "%q is no level", *s.level)
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

// Listen listens on the address of -listen, or of -address if that is empty.
func (s *Settings) Listen() (net.Listener, error) { return s.Host.Net.Listen(s.listenAt()) }

// readFile applies the settings of the file that are not set on the command line.
func (s *Settings) readFile() error { return s.parseFile(s.flags.Set) }

// checkFile reports whether the settings file can be read, without applying it. Ranges are checked only at the next start.
func (s *Settings) checkFile() error { return s.parseFile(func(string, string) error { return nil }) }

// parseFile calls take with each setting of the file that is not set on the command line.
func (s *Settings) parseFile(take func(name, value string) error) error {
	if *s.settingsFile == "" {
		return nil
	}
	text, err := os.ReadFile(*s.settingsFile)
	if err != nil {
		return fieldError("settings", "%v", err)
	}
	given := map[string]bool{}
	s.flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	met := map[string]bool{}
	err = jx.DecodeBytes(text).Obj(func(d *jx.Decoder, name string) error {
		if met[name] {
			return fieldError(name, "stands twice in %s", filepath.Base(*s.settingsFile))
		}
		met[name] = true
		if s.flags.Lookup(name) == nil || name == "settings" {
			return fieldError(name, "is no setting")
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
			return fieldError(name, "needs a string, a number or true or false")
		}
		if err != nil || given[name] {
			return err
		}
		if err := take(name, value); err != nil {
			return fieldError(name, "%v", err)
		}
		return nil
	})
	return apierror.Wrap(err, apierror.Settings, filepath.Base(*s.settingsFile))
}

// formatMessage formats a log line's message, and returns "" if it has none so that the line starts with its fields.
func formatMessage(message any) string {
	if message == nil {
		return ""
	}
	return fmt.Sprint(message)
}

// Logger returns a logger that writes one line per event: the message followed by key=value fields.
func Logger(w io.Writer, level zerolog.Level) zerolog.Logger {
	lines := zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		FormatLevel:     func(l any) string { return fmt.Sprintf("level=%v", l) },
		FormatMessage:   formatMessage,
		FormatTimestamp: func(t any) string { return fmt.Sprintf("time=%v", t) },
	}
	return zerolog.New(lines).Level(level).With().Timestamp().Logger()
}

// Main reads the settings, runs the daemon and exits: with status 0 after a requested stop, 1 after a failure, 2 for invalid settings.
func Main(s *Settings, run func(ctx context.Context) error) {
	signals := CatchSignals()
	err := s.Read(os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(exitStopped)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadSettings)
	}
	os.Exit(signals.Run(s.Host.Log, s.checkFile, run))
}
