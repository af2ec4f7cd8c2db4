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

// pipeListener hands out connections in memory.
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
	ours, theirs := net.Pipe()
	l.accepted <- theirs
	return ours
}

// serveCallers runs a server of callers in fake time, whose limits may change under way.
func serveCallers(t *testing.T, play func(is *is.I, dial func() net.Conn, limits *config.Limits)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		limits := &config.Limits{}
		options := Options{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
		handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			time.Sleep(time.Minute) // neither bound concerns a request that runs
			_, _ = io.WriteString(w, "done")
		})
		listener := newPipeListener()
		timeouts := func() daemon.ConnectionTimeouts { return effectiveTimeouts(*limits, options) }
		callers := &http.Server{Handler: handler}
		server := daemon.NewServer(callers, listener, timeouts)
		go func() { _ = server.Serve() }()
		defer callers.Close()
		play(is.New(t), listener.dial, limits)
	})
}

const wholeRequest = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb"

// ask sends a request in two parts with a pause between them, and says whether it was answered.
func ask(conn net.Conn, split int, pause time.Duration) bool {
	if _, err := io.WriteString(conn, wholeRequest[:split]); err != nil {
		return false
	}
	time.Sleep(pause)
	if _, err := io.WriteString(conn, wholeRequest[split:]); err != nil {
		return false
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return err == nil && string(text) == "done"
}

// A connection may be idle for as long as the configuration says: less long it is used again, longer it is closed.
func TestIdleTimeFollowsTheConfiguration(t *testing.T) {
	for _, idle := range []time.Duration{15 * time.Second, 10 * time.Minute} {
		serveCallers(t, func(is *is.I, dial func() net.Conn, limits *config.Limits) {
			limits.IdleMs = int(idle.Milliseconds())
			conn := dial()
			for range 3 {
				time.Sleep(idle * 4 / 5)
				is.True(ask(conn, 1, 0))
			}
			began := time.Now()
			_, err := conn.Read(make([]byte, 1))
			is.Equal(err, io.EOF)
			is.Equal(time.Since(began), idle)
		})
	}
}

// A header may take as long as the configuration says, from its first byte on, however long the connection was idle before.
func TestHeaderTimeFollowsTheConfiguration(t *testing.T) {
	for _, header := range []time.Duration{3 * time.Second, 30 * time.Second} {
		serveCallers(t, func(is *is.I, dial func() net.Conn, limits *config.Limits) {
			limits.HeaderMs, limits.IdleMs = int(header.Milliseconds()), 15000
			conn := dial()
			for range 2 {
				time.Sleep(10 * time.Second)
				is.True(ask(conn, 20, header-time.Millisecond))
			}
			is.True(!ask(conn, 20, header+time.Millisecond))
			is.True(!ask(dial(), 20, header+time.Millisecond))
		})
	}
}

// A configuration that changes the times counts from the next request on, also on a connection that is there; without one our own count.
func TestTimesChangeOnAnOpenConnection(t *testing.T) {
	serveCallers(t, func(is *is.I, dial func() net.Conn, limits *config.Limits) {
		conn := dial()
		time.Sleep(defaultIdleTimeout - time.Second)
		is.True(ask(conn, 20, defaultHeaderTimeout-time.Second))
		synctest.Wait()
		*limits = config.Limits{HeaderMs: 1000, IdleMs: 2000}
		time.Sleep(time.Minute)
		is.True(ask(conn, 20, 0)) // the wait had begun before
		time.Sleep(2*time.Second + time.Millisecond)
		is.True(!ask(conn, 20, 0))
		is.True(!ask(dial(), 20, 2*time.Second))
	})
}
