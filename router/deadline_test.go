package router_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/config"
	"asterridge/router"
	"asterridge/sim"
)

// deadlineProtocol is plainDialect with replicas that are told the request's deadline.
type deadlineProtocol struct{ plainDialect }

func (deadlineProtocol) SendsDeadline() bool { return true }

// requestStalledStream requests a stream whose replica sends one event after each pause and then nothing until its connection is closed. It returns
// how long the client's stream lasted, what the client received, and the number of retries.
func requestStalledStream(t *testing.T, protocol router.Protocol, p config.Path, pauses ...time.Duration) (duration time.Duration, text string, secondAttempts int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		testbed := sim.NewTestbed(router.Options{Name: "proxy-1", Protocol: protocol, Log: zerolog.Nop()})
		defer testbed.Stop()
		testbed.Serve("10.0.2.1:80", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
			w.Header().Set("Content-Type", "text/event-stream")
			for i, pause := range pauses {
				time.Sleep(pause)
				_, _ = io.WriteString(w, event(i+1))
				_ = http.NewResponseController(w).Flush()
			}
			<-q.Context().Done()
		}))
		b := config.Empty()
		p.Name, p.Address, p.Pool, p.Public, p.MaxBody, p.Cost = "stream", "/s/", "pool", true, 1000, 1
		b.Paths["stream"] = p
		b.Pools["pool"] = config.Pool{Name: "pool", Kind: "web"}
		testbed.Configure(b, config.Replica{Name: "one", Address: "10.0.2.1:80", Pool: "pool", State: "present", Limit: 8})
		q, err := http.NewRequest(http.MethodPost, "http://"+sim.TestbedAddress+"/s/x", strings.NewReader("a body"))
		is.NoErr(err)
		q.Header.Set("X-Request-Id", "r1")
		began := time.Now()
		answer, err := testbed.Client.Do(q)
		is.NoErr(err)
		raw, err := io.ReadAll(answer.Body)
		is.True(err != nil) // the truncated stream must not look complete
		duration, text = time.Since(began), string(raw)
		rows, err := testbed.Router.Rows(context.Background(), router.Query{What: "counts"})
		is.NoErr(err)
		secondAttempts, _ = rows[0]["second_shots"].(int64)
	})
	return duration, text, secondAttempts
}

// A stream ends at most a quarter of a second after the deadline that the replica was told, whatever the replica does; what arrived by
// then is passed on, and no retry is spent.
func TestStreamEndsAtTheDeadlineSentToItsReplica(t *testing.T) {
	is := is.New(t)
	for _, path := range []config.Path{{DeadlineMs: 8000}, {DeadlineMs: 8000, Resumable: true}} {
		duration, text, secondAttempts := requestStalledStream(t, deadlineProtocol{}, path, time.Second, 3*time.Second, 4050*time.Millisecond, time.Minute)
		is.Equal(text, eventsFrom(1, 3))
		is.True(duration >= 8*time.Second && duration < 8250*time.Millisecond)
		is.Equal(secondAttempts, int64(0)) // no retry after the deadline
	}
}

// Until the deadline, a replica that sends nothing does not have its answer ended.
func TestStreamWithoutDataContinuesUntilTheDeadline(t *testing.T) {
	is := is.New(t)
	duration, text, _ := requestStalledStream(t, deadlineProtocol{}, config.Path{DeadlineMs: 300000}, time.Second, 200*time.Second)
	is.Equal(text, eventsFrom(1, 2))
	is.True(duration >= 300*time.Second && duration < 300250*time.Millisecond)
}

// Where replicas are not told the deadline, it limits the first chunk alone; the stream ends a chunk time-out after its last chunk.
func TestStreamContinuesAfterADeadlineNotSentToItsReplica(t *testing.T) {
	is := is.New(t)
	duration, text, _ := requestStalledStream(t, plainDialect{}, config.Path{DeadlineMs: 2000}, time.Second, 50*time.Second, 50*time.Second)
	is.Equal(text, eventsFrom(1, 3))
	is.True(duration >= 161*time.Second && duration < 162*time.Second)
}
