// Package watch has the JSON endpoints between daemons and the numbered pushes of news (docs/design.md §3).
package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"golang.org/x/sys/unix"

	"asterridge/apierror"
)

// Network is what a daemon needs of the network; the simulator has its own.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the machine's own network.
type TCP struct{ net.Dialer }

// What bounds a connection whose other end says nothing any more.
const (
	dialTimeout           = time.Second
	unacknowledgedTimeout = 3 * time.Second
)

// DialContext connects; a dead other end is noticed in bounded time.
func (t *TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	c, err := t.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := setSocketOption(c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds())); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// setSocketOption sets one of a socket's options.
func setSocketOption(c net.Conn, level, name, value int) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "socket")
	}
	failed := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), level, name, value) })
	return apierror.Wrap(errors.Join(failed, err), apierror.Internal, "socket option")
}

// Listen opens a TCP port.
func (*TCP) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, apierror.Wrap(err, apierror.Settings, "listen on "+address)
}

// BoundSend limits how long the kernel tries to deliver what it has taken, and how much it takes. Connections that are no sockets of this
// machine may offer the like by methods of the same meaning.
func BoundSend(c net.Conn, unacknowledged time.Duration, buffer int) error {
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
	return setSocketOption(socket, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
}

// Client calls the other daemons of one fleet.
type Client struct {
	Fleet string
	HTTP  *http.Client
}

const (
	fleetHeader = "X-Asterridge-Fleet"
	// Messages bear the version of the way daemons talk. Within a version fields are only added, and unknown ones are let pass, so that
	// two builds run side by side; another version is refused.
	versionHeader   = "X-Asterridge-Version"
	protocolVersion = "1"
	maxMessageBytes = 64 << 20
)

// NoRedirects has a client take an answer that leads elsewhere as the answer: what is asked of one daemon or replica is asked of no other.
func NoRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// NewClient makes the caller's side over a network.
func NewClient(fleet string, network Network) *Client {
	return &Client{Fleet: fleet, HTTP: &http.Client{CheckRedirect: NoRedirects, Transport: &http.Transport{
		DialContext: network.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 20 * time.Second,
	}}}
}

// Handler makes a handler of a function, through a go-kit endpoint. A message from another fleet is refused.
func Handler[Q, A any](fleet string, handler func(context.Context, Q) (A, error)) http.Handler {
	var handle endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		return handler(ctx, request.(Q))
	}
	decode := func(_ context.Context, r *http.Request) (any, error) {
		var request Q
		if got := r.Header.Get(fleetHeader); got != "" && got != fleet {
			return nil, apierror.New(apierror.WrongFleet, "fleet %q is not ours", got)
		}
		if got := r.Header.Get(versionHeader); got != "" && got != protocolVersion {
			return nil, apierror.New(apierror.OtherVersion, "messages of version %q, ours are %s", got, protocolVersion)
		}
		raw, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes+1))
		if err != nil {
			return nil, apierror.Wrap(err, apierror.Malformed, "read body")
		}
		if len(raw) > maxMessageBytes {
			return nil, apierror.New(apierror.Oversize, "message over %d bytes", maxMessageBytes)
		}
		if len(raw) > 0 {
			if err := json.Unmarshal(raw, &request); err != nil {
				return nil, apierror.Wrap(err, apierror.Malformed, "read message")
			}
		}
		return request, nil
	}
	return kithttp.NewServer(handle, decode, encodeResponse, kithttp.ServerErrorEncoder(EncodeError))
}

// encodeResponse writes the answer at once; an asker that has gone meanwhile is nobody's error.
func encodeResponse(_ context.Context, w http.ResponseWriter, answer any) error {
	raw, err := json.Marshal(answer)
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "encode answer")
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write(raw)
	return nil
}

// HandleReady answers the platform's check at GET /ready.
func HandleReady(mux *http.ServeMux, ready func() bool) {
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
func Call[A any](ctx context.Context, client *Client, address, path string, request any) (A, error) {
	var zero A
	target, err := url.Parse("http://" + address + path)
	if err != nil {
		return zero, apierror.Wrap(err, apierror.Settings, "address")
	}
	encode := func(_ context.Context, r *http.Request, request any) error {
		raw, err := json.Marshal(request)
		if err != nil {
			return apierror.Wrap(err, apierror.Internal, "encode message")
		}
		r.Header.Set(fleetHeader, client.Fleet)
		r.Header.Set(versionHeader, protocolVersion)
		r.Header.Set("Content-Type", "application/json; charset=utf-8")
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(raw)), int64(len(raw))
		return nil
	}
	decode := func(_ context.Context, r *http.Response) (any, error) {
		var response A
		if r.StatusCode != http.StatusOK {
			var body apierror.Body
			if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&body); err != nil {
				return nil, apierror.New(apierror.Unreachable, "%s answered %s", address, r.Status)
			}
			return nil, apierror.FromBody(body, r.StatusCode)
		}
		if err := json.NewDecoder(r.Body).Decode(&response); err != nil {
			return nil, apierror.Wrap(err, apierror.Unreachable, "read answer")
		}
		return response, nil
	}
	send := kithttp.NewClient(http.MethodPost, target, encode, decode, kithttp.SetClient(client.HTTP)).Endpoint()
	answer, err := send(ctx, request)
	if err != nil {
		var known *apierror.Error
		if errors.As(err, &known) {
			return zero, err
		}
		return zero, apierror.Wrap(err, apierror.Unreachable, "call "+address+path)
	}
	return answer.(A), nil
}

// Sleep waits, or gives the context's error if it ends before.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RetryAfter writes a duration as whole seconds, rounded up.
func RetryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
