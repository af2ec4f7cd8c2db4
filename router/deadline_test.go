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

// tellingDialect tells replicas the deadline of a request.
type tellingDialect struct{ plainDialect }

func (tellingDialect) SendsDeadline() bool { return true }

// stalled asks for a stream whose replica sends one event after each pause, and is silent from then on until it is left. It gives how long
// the caller had the connection, what came, and how many retries there were.
func stalled(t *testing.T, dialect router.Protocol, p config.Path, pauses ...time.Duration) (state time.Duration, text string, secondAttempts int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stand := sim.NewTestbed(router.Options{Name: "proxy-1", Protocol: dialect, Log: zerolog.Nop()})
		defer stand.Stop()
		stand.Serve("10.0.2.1:80", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
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
		stand.Configure(b, config.Replica{Name: "one", Address: "10.0.2.1:80", Pool: "pool", State: "present", Limit: 8})
		q, err := http.NewRequest(http.MethodPost, "http://"+sim.TestbedAddress+"/s/x", strings.NewReader("a body"))
		is.NoErr(err)
		q.Header.Set("X-Request-Id", "r1")
		began := time.Now()
		answer, err := stand.Client.Do(q)
		is.NoErr(err)
		raw, err := io.ReadAll(answer.Body)
		is.True(err != nil) // it does not look complete
		state, text = time.Since(began), string(raw)
		rows, err := stand.Router.Rows(context.Background(), router.Query{What: "counts"})
		is.NoErr(err)
		secondAttempts, _ = rows[0]["second_shots"].(int64)
	})
	return state, text, secondAttempts
}

// An answer is held for no more than a quarter of a second past its deadline, whatever its replica does; what came by then is passed on.
func TestStreamEndsWithTheDeadlineThatItsReplicaWasTold(t *testing.T) {
	is := is.New(t)
	for _, path := range []config.Path{{DeadlineMs: 8000}, {DeadlineMs: 8000, Resumable: true}} {
		state, text, secondAttempts := stalled(t, tellingDialect{}, path, time.Second, 3*time.Second, 4050*time.Millisecond, time.Minute)
		is.Equal(text, eventsFrom(1, 3))
		is.True(state >= 8*time.Second && state < 8250*time.Millisecond)
		is.Equal(secondAttempts, int64(0)) // nothing is spent on an answer whose time is over
	}
}

// Until the deadline, a replica's silence is no reason to end its answer.
func TestSilenceBeforeTheDeadlineEndsNoStream(t *testing.T) {
	is := is.New(t)
	state, text, _ := stalled(t, tellingDialect{}, config.Path{DeadlineMs: 300000}, time.Second, 200*time.Second)
	is.Equal(text, eventsFrom(1, 2))
	is.True(state >= 300*time.Second && state < 300250*time.Millisecond)
}

// Where replicas are not told the deadline, it is the first piece's alone.
func TestStreamOutlivesADeadlineThatItsReplicaWasNotTold(t *testing.T) {
	is := is.New(t)
	state, text, _ := stalled(t, plainDialect{}, config.Path{DeadlineMs: 2000}, time.Second, 50*time.Second, 50*time.Second)
	is.Equal(text, eventsFrom(1, 3))
	is.True(state >= 161*time.Second && state < 162*time.Second)
}
