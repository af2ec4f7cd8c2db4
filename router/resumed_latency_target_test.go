package router_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
)

// On a path with a latency target, a stream that breaks off long after the request arrived can still be resumed: the queueing limit
// that is derived from the target counts from the request's arrival, and must not apply to it.
func TestStreamOnAPathWithLatencyTargetResumesLate(t *testing.T) {
	runResumed(t, config.Path{Resumable: true, DeadlineMs: 8000, LatencyTargetMs: 400}, func(is *is.I, s *fakeReplicas, ask func(...string) stream, _ func(string) int64) {
		s.runs = []replicaRun{{sends: 4, pause: time.Second}, {sends: -1}}
		got := ask()
		is.NoErr(got.err)
		is.Equal(got.text, eventsFrom(1, lastEvent))
	})
}
