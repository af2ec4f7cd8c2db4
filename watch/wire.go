// Package watch has the JSON endpoints between daemons and the numbered pushes of news (docs/design.md §3).
package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"golang.org/x/sys/unix"

	"asterridge/apierror"
)

// Net is what a daemon needs of the network; the simulator has its own.
type Net interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the machine's own network.
type TCP struct{ net.Dialer }

// What bounds a connection whose other end says nothing any more.
const (
	dialTime   = time.Second
	silentTime = 3 * time.Second
)

// DialContext connects; a dead other end is noticed in bounded time.
func (t *TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, dialTime)
	defer stop()
	c, err := t.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := control(c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTime.Milliseconds())); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// control sets one of a socket's options.
func control(c net.Conn, level, option, value int) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "socket")
	}
	failed := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), level, option, value) })
	return apierror.Wrap(errors.Join(failed, err), apierror.Internal, "socket option")
}

// Listen opens a TCP port.
func (*TCP) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, apierror.Wrap(err, apierror.Settings, "listen on "+address)
}

// Bound limits how long the kernel tries to deliver what it has taken, and how much it takes. Connections that are no sockets of this
// machine may offer the like by methods of the same meaning.
func Bound(c net.Conn, unacknowledged time.Duration, buffer int) error {
	if other, isOther := c.(interface{ SetUserTimeout(time.Duration) }); isOther {
		other.SetUserTimeout(unacknowledged)
		return nil
	}
	socket, isSocket := c.(*net.TCPConn)
	if !isSocket {
		return apierror.New(apierror.Internal, "a connection of type %T", c)
	}
	if err := socket.SetWriteBuffer(buffer); err != nil {
		return apierror.Wrap(err, apierror.Internal, "send buffer")
	}
	return control(socket, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
}

// Wire calls the other daemons of one fleet.
type Wire struct {
	Fleet  string
	Client *http.Client
}

const (
	fleetHeader = "X-Asterridge-Fleet"
	// Messages bear the version of the way daemons talk. Within a version fields are only added, and unknown ones are let pass, so that
	// two builds run side by side; another version is refused.
	versionHeader = "X-Asterridge-Version"
	version       = "1"
	maxMessage    = 64 << 20
)

// StayThere has a client take an answer that leads elsewhere as the answer: what is asked of one daemon or replica is asked of no other.
func StayThere(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// NewWire makes the caller's side over a network.
func NewWire(fleet string, network Net) *Wire {
	return &Wire{Fleet: fleet, Client: &http.Client{CheckRedirect: StayThere, Transport: &http.Transport{
		DialContext: network.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 20 * time.Second,
	}}}
}

// Serve makes a handler of a function, through a go-kit endpoint. A message from another fleet is refused.
func Serve[Q, A any](fleet string, answer func(context.Context, Q) (A, error)) http.Handler {
	var made endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		return answer(ctx, request.(Q))
	}
	decode := func(_ context.Context, r *http.Request) (any, error) {
		var q Q
		if said := r.Header.Get(fleetHeader); said != "" && said != fleet {
			return nil, apierror.New(apierror.WrongFleet, "fleet %q is not ours", said)
		}
		if said := r.Header.Get(versionHeader); said != "" && said != version {
			return nil, apierror.New(apierror.OtherVersion, "messages of version %q, ours are %s", said, version)
		}
		raw, err := io.ReadAll(io.LimitReader(r.Body, maxMessage+1))
		if err != nil {
			return nil, apierror.Wrap(err, apierror.Malformed, "read body")
		}
		if len(raw) > maxMessage {
			return nil, apierror.New(apierror.Oversize, "message over %d bytes", maxMessage)
		}
		if len(raw) > 0 {
			if err := json.Unmarshal(raw, &q); err != nil {
				return nil, apierror.Wrap(err, apierror.Malformed, "read message")
			}
		}
		return q, nil
	}
	return kithttp.NewServer(made, decode, encodeAnswer, kithttp.ServerErrorEncoder(EncodeError))
}

// encodeAnswer writes the answer at once; an asker that has gone meanwhile is nobody's error.
func encodeAnswer(_ context.Context, w http.ResponseWriter, answer any) error {
	raw, err := json.Marshal(answer)
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "encode answer")
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write(raw)
	return nil
}

// ServeReady answers the platform's check at GET /ready.
func ServeReady(mux *http.ServeMux, ready func() bool) {
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// EncodeError writes an error as its code's status and body.
func EncodeError(_ context.Context, err error, w http.ResponseWriter) {
	f := apierror.Of(err)
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if f.Again > 0 && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", RetryAfter(f.Again))
	}
	w.WriteHeader(f.Code.Status)
	_ = json.NewEncoder(w).Encode(apierror.ToBody(err))
}

// Call asks another daemon and reads its answer.
func Call[A any](ctx context.Context, wire *Wire, address, path string, q any) (A, error) {
	var none A
	target, err := url.Parse("http://" + address + path)
	if err != nil {
		return none, apierror.Wrap(err, apierror.Settings, "address")
	}
	encode := func(_ context.Context, r *http.Request, q any) error {
		raw, err := json.Marshal(q)
		if err != nil {
			return apierror.Wrap(err, apierror.Internal, "encode message")
		}
		r.Header.Set(fleetHeader, wire.Fleet)
		r.Header.Set(versionHeader, version)
		r.Header.Set("Content-Type", "application/json; charset=utf-8")
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(raw)), int64(len(raw))
		return nil
	}
	decode := func(_ context.Context, r *http.Response) (any, error) {
		var a A
		if r.StatusCode != http.StatusOK {
			var body apierror.Body
			if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&body); err != nil {
				return nil, apierror.New(apierror.Unreachable, "%s answered %s", address, r.Status)
			}
			return nil, apierror.FromBody(body, r.StatusCode)
		}
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			return nil, apierror.Wrap(err, apierror.Unreachable, "read answer")
		}
		return a, nil
	}
	ask := kithttp.NewClient(http.MethodPost, target, encode, decode, kithttp.SetClient(wire.Client)).Endpoint()
	answer, err := ask(ctx, q)
	if err != nil {
		var known *apierror.Error
		if errors.As(err, &known) {
			return none, err
		}
		return none, apierror.Wrap(err, apierror.Unreachable, "call "+address+path)
	}
	return answer.(A), nil
}

// Pause waits, or gives the context's error if it ends before.
func Pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
