package router_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
)

// Also on a path with an aim a stream goes on that breaks off late within the request's time: how long it may wait for its turn counts
// from then.
func TestStreamOnAPathWithAnAimGoesOnLate(t *testing.T) {
	resumed(t, config.Path{Resumable: true, DeadlineMs: 8000, LatencyTargetMs: 400}, func(is *is.I, s *streamer, ask func(...string) stream, _ func(string) int64) {
		s.runs = []run{{sends: 4, pause: time.Second}, {sends: -1}}
		got := ask()
		is.NoErr(got.err)
		is.Equal(got.text, eventsFrom(1, lastEvent))
	})
}
