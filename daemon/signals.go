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

// Signals handles a process's signals in place of their default actions, which would end it at once and abort the requests in progress. It
// does so from CatchSignals until the process exits; the default actions are never restored.
//
// SIGTERM and SIGINT tell the process to stop; later ones have no effect. SIGHUP makes it read its settings again. SIGPIPE is ignored, so
// that a closed log pipe loses the log but does not end the process.
type Signals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

// CatchSignals starts to receive signals. A daemon calls it first of all; signals that arrive before Run are handled by Run.
func CatchSignals() *Signals {
	// Each channel buffers one signal: a second one of the same kind adds nothing, and many of one kind cannot displace the other kind.
	s := &Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Run calls work and returns the process's exit status: 0 if work returned no error, else 1. The context of work ends when the process is
// told to stop. reload is called at each SIGHUP, even after that. If the process was told to stop before Run, work is not called.
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

// awaitStop ends the context of work at the first stop signal. Later ones are ignored.
func (s *Signals) awaitStop(log zerolog.Logger, stop context.CancelFunc) {
	received := <-s.stop
	stop() // before logging, as the write to the log may block
	logStop(log, received)
}

// handleReloads calls reload at each SIGHUP until the process exits.
func (s *Signals) handleReloads(log zerolog.Logger, reload func() error) {
	for range s.reload {
		log.Info().AnErr("failure", reload()).Msg("settings read again")
	}
}

// logStop logs which signal stopped the process. If neither this line nor "process ended" is in the log, the process was killed or failed.
func logStop(log zerolog.Logger, received os.Signal) {
	log.Info().Str("signal", received.String()).Msg("stop requested")
}
