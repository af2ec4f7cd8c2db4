package daemon_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/daemon"
	"asterridge/sim"
)

// A request on a keep-alive connection gets its response even if it was read just as the daemon shut down or as the connection's idle
// timeout expired. http.Server alone closes such a connection without a response.
func TestServeAnswersARequestThatWasReadBeforeItsConnectionEnds(t *testing.T) {
	const grace = 8 * time.Second
	for name, end := range map[string]func(stop func()){
		"the daemon stops":         func(stop func()) { stop() },
		"the idle timeout expires": func(func()) {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				listener := sim.NewStalledListener()
				ctx, stop := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { _, _ = io.Copy(w, q.Body) })
				go func() { ended <- daemon.Serve(ctx, listener, handler, grace) }()
				client := listener.Dial()
				answered := func() {
					body, err := client.Answer()
					is.NoErr(err)
					is.Equal(body, "body")
				}
				is.NoErr(client.Send("body"))
				answered()
				synctest.Wait() // the server waits for the next request
				time.Sleep(daemon.IdleTimeout - time.Millisecond)
				listener.Stall()
				is.NoErr(client.Send("body"))
				synctest.Wait() // the server has read the request
				end(stop)
				time.Sleep(grace / 4)
				listener.Resume()
				answered()
				stop()
				_ = client.Close()
				is.NoErr(<-ended)
			})
		})
	}
}
