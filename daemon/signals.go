package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

// Exit statuses of a daemon.
const (
	exitStopped     = 0
	exitFailed      = 1
	exitBadSettings = 2
)

// Signals takes a process's signals over from their default actions, which would end it at once and cut what it serves. It keeps them from
// CatchSignals on until the process is gone, in every phase between: they are never given back.
//
// SIGTERM and SIGINT tell the process to stop; what follows the first of them changes nothing. SIGHUP tells it to read its settings again.
// SIGPIPE is ignored: a log that nobody reads is lost, the process is not.
type Signals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

// CatchSignals is the first thing that a daemon does. The signals that come before Run are acted upon by Run.
func CatchSignals() *Signals {
	// One place each: a signal that is pending already says the same, and a flood of one kind does not crowd out the other.
	s := &Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Run calls work, and gives the process's exit status once work has returned: 0 without an error, else 1. The context of work ends when the
// process is told to stop; reload is called at each SIGHUP, also after that. A process that was told to stop before Run does not begin work.
func (s *Signals) Run(log zerolog.Logger, reload func() error, work func(ctx context.Context) error) (status int) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	select {
	case received := <-s.stop:
		logStop(log, received)
		stop()
	default:
		go s.awaitStop(log, stop)
		go s.handleReloads(log, reload)
	}
	if ctx.Err() == nil {
		if err := work(ctx); err != nil {
			log.Error().Err(err).Msg("process failed")
			return exitFailed
		}
	}
	log.Info().Msg("process ended")
	return exitStopped
}

// awaitStop ends the context of work at the first signal to stop. Later ones stay where they are.
func (s *Signals) awaitStop(log zerolog.Logger, stop context.CancelFunc) {
	received := <-s.stop
	stop() // before the line, which may take long to write
	logStop(log, received)
}

// handleReloads reads the settings again at each SIGHUP until the process is gone.
func (s *Signals) handleReloads(log zerolog.Logger, reload func() error) {
	for range s.reload {
		log.Info().AnErr("failure", reload()).Msg("settings read again")
	}
}

// logStop writes which signal told the process to stop. A process that ends without this line and "process ended" was killed or failed.
func logStop(log zerolog.Logger, received os.Signal) {
	log.Info().Str("signal", received.String()).Msg("stop requested")
}
