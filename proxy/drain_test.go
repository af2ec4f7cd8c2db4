package proxy_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/daemon"
	"asterridge/proxy"
	"asterridge/sim"
)

// Guards against lost requests on keep-alive connections: a request that was read just before the proxy stopped, or just before its
// connection reached the idle time-out, must be answered.
func TestRequestReadBeforeDrainOrIdleTimeoutIsAnswered(t *testing.T) {
	const idle, linger = 15 * time.Second, 2 * time.Second
	for name, options := range map[string]proxy.Options{
		"stopped":                    {Grace: 8 * time.Second},
		"stopped, serving on first":  {Grace: 8 * time.Second, ReadinessLinger: linger},
		"idle for as long as it may": {IdleTimeout: idle},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := sim.NewNetwork(time.Millisecond)
				defer network.End()
				host := network.Host("10.0.0.1")
				options.Agent, options.Admin = "10.0.0.1:7001", "10.0.0.1:7003"
				p := proxy.New(daemon.Host{Name: "proxy-1", Fleet: "test", Net: host, Log: zerolog.Nop()}, options)
				admin, err := host.Listen(options.Admin)
				is.NoErr(err)
				listener := sim.NewStalledListener()
				ctx, stop := context.WithCancel(context.Background())
				ended := make(chan error)
				go func() { ended <- p.Serve(ctx, listener, admin) }()
				client := listener.Dial()
				answered := func() {
					_, err := client.Answer()
					is.NoErr(err)
				}
				is.NoErr(client.Send("b"))
				answered()
				synctest.Wait() // the server waits for the next request
				time.Sleep(options.IdleTimeout - time.Millisecond)
				listener.Stall()
				is.NoErr(client.Send("b"))
				synctest.Wait() // the request has been read
				if options.IdleTimeout == 0 {
					stop()
				}
				time.Sleep(2 * linger)
				listener.Resume()
				answered()
				stop()
				_ = client.Close() // the client disconnects
				is.NoErr(<-ended)
			})
		})
	}
}
