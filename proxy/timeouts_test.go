package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
	"asterridge/daemon"
)

// pipeListener is a listener for in-memory connections.
type pipeListener struct {
	accepted chan net.Conn
	once     sync.Once
}

func newPipeListener() *pipeListener { return &pipeListener{accepted: make(chan net.Conn)} }

func (l *pipeListener) Accept() (net.Conn, error) {
	conn, open := <-l.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.accepted) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.accepted <- server
	return client
}

// runWithServer runs a test against a server in fake time; the test may change the server's limits while it runs.
func runWithServer(t *testing.T, test func(is *is.I, dial func() net.Conn, limits *config.Limits)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		limits := &config.Limits{}
		options := Options{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
		handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			time.Sleep(time.Minute) // neither time-out applies while a request is being handled
			_, _ = io.WriteString(w, "done")
		})
		listener := newPipeListener()
		timeouts := func() daemon.ConnectionTimeouts { return effectiveTimeouts(*limits, options) }
		httpServer := &http.Server{Handler: handler}
		server := daemon.NewServer(httpServer, listener, timeouts)
		go func() { _ = server.Serve() }()
		defer httpServer.Close()
		test(is.New(t), listener.dial, limits)
	})
}

const requestText = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb"

// sendRequest sends a request in two parts with a pause between them, and reports whether it was answered.
func sendRequest(conn net.Conn, split int, pause time.Duration) bool {
	if _, err := io.WriteString(conn, requestText[:split]); err != nil {
		return false
	}
	time.Sleep(pause)
	if _, err := io.WriteString(conn, requestText[split:]); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return err == nil && string(text) == "done"
}

// A connection that is idle for less than the configured time must stay usable, and must be closed exactly at the end of that time.
func TestIdleTimeoutFollowsConfiguration(t *testing.T) {
	for _, idle := range []time.Duration{15 * time.Second, 10 * time.Minute} {
		runWithServer(t, func(is *is.I, dial func() net.Conn, limits *config.Limits) {
			limits.IdleMs = int(idle.Milliseconds())
			conn := dial()
			for range 3 {
				time.Sleep(idle * 4 / 5)
				is.True(sendRequest(conn, 1, 0))
			}
			start := time.Now()
			_, err := conn.Read(make([]byte, 1))
			is.Equal(err, io.EOF)
			is.Equal(time.Since(start), idle)
		})
	}
}

// A header may take the configured time from its first byte on, no matter how long the connection was idle before.
func TestHeaderTimeoutFollowsConfiguration(t *testing.T) {
	for _, header := range []time.Duration{3 * time.Second, 30 * time.Second} {
		runWithServer(t, func(is *is.I, dial func() net.Conn, limits *config.Limits) {
			limits.HeaderMs, limits.IdleMs = int(header.Milliseconds()), 15000
			conn := dial()
			for range 2 {
				time.Sleep(10 * time.Second)
				is.True(sendRequest(conn, 20, header-time.Millisecond))
			}
			is.True(!sendRequest(conn, 20, header+time.Millisecond))
			is.True(!sendRequest(dial(), 20, header+time.Millisecond))
		})
	}
}

// Changed time-outs must apply from the next request on, also on open connections; without configured ones the defaults apply.
func TestChangedTimeoutsApplyToOpenConnections(t *testing.T) {
	runWithServer(t, func(is *is.I, dial func() net.Conn, limits *config.Limits) {
		conn := dial()
		time.Sleep(defaultIdleTimeout - time.Second)
		is.True(sendRequest(conn, 20, defaultHeaderTimeout-time.Second))
		synctest.Wait()
		*limits = config.Limits{HeaderMs: 1000, IdleMs: 2000}
		time.Sleep(time.Minute)
		is.True(sendRequest(conn, 20, 0)) // this idle period began before the change
		time.Sleep(2*time.Second + time.Millisecond)
		is.True(!sendRequest(conn, 20, 0))
		is.True(!sendRequest(dial(), 20, 2*time.Second))
	})
}
