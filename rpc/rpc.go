// Package rpc implements calls between the processes of a fleet: JSON over HTTP/1.1, through go-kit endpoints. Handler serves a function at
// an endpoint, Call calls it. Messages carry the fleet's name and the protocol version; messages from another fleet or of another version
// are rejected. Within a version, fields are only added and unknown fields are ignored, so that two builds can run side by side. Errors are
// encoded as apierror.Body.
//
// The package also defines Network, which the simulator implements too, and time limits for connections whose peer no longer responds.
package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"asterridge/apierror"
)

const (
	fleetHeader     = "X-Asterridge-Fleet"
	versionHeader   = "X-Asterridge-Version"
	protocolVersion = "1"
	jsonType        = "application/json; charset=utf-8"
	maxMessageBytes = 64 << 20
	maxErrorBytes   = 1 << 16
	// idleConnections and idleTimeout limit the idle connections that a client keeps open to each peer.
	idleConnections = 16
	idleTimeout     = 20 * time.Second
)

// Client calls the other processes of one fleet.
type Client struct {
	Fleet string
	HTTP  *http.Client
}

// NewClient returns a client that connects through a network.
func NewClient(fleet string, network Network) *Client {
	return &Client{Fleet: fleet, HTTP: NewHTTPClient(network, idleConnections, idleTimeout)}
}

// NewHTTPClient returns an HTTP client that keeps up to idleConnections idle connections to each peer, each for up to idleTimeout. It does
// not follow redirects but returns them as the response: a request to one process or replica is never sent to another.
func NewHTTPClient(network Network, idleConnections int, idleTimeout time.Duration) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         network.DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
		},
	}
}

// Call sends a request to a path of another process and decodes the response. An error returned by the peer keeps its code
// (apierror.Error). The error is apierror.Unreachable if no readable response arrived; the request may or may not have been handled then.
func Call[Response any](ctx context.Context, client *Client, address, path string, request any) (Response, error) {
	var zero Response
	target, err := url.Parse("http://" + address + path)
	if err != nil {
		return zero, apierror.Wrap(err, apierror.Settings, "address")
	}
	decode := func(_ context.Context, r *http.Response) (any, error) { return decodeResponse[Response](address, r) }
	send := kithttp.NewClient(http.MethodPost, target, client.encodeRequest, decode, kithttp.SetClient(client.HTTP)).Endpoint()
	response, err := send(ctx, request)
	if err != nil {
		var known *apierror.Error
		if errors.As(err, &known) {
			return zero, err
		}
		return zero, apierror.Wrap(err, apierror.Unreachable, "call "+address+path)
	}
	return response.(Response), nil
}

// CallAll sends a request to a path of all addresses concurrently, for at most timeout each, and returns the responses in the order of
// their arrival; calls that fail give none. The channel is closed after the last call has ended, and need not be read to its end.
func CallAll[Response any](ctx context.Context, client *Client, addresses []string, path string, request any, timeout time.Duration) <-chan Response {
	responses := make(chan Response, len(addresses))
	var pending sync.WaitGroup
	for _, address := range addresses {
		pending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			if response, err := Call[Response](ctx, client, address, path, request); err == nil {
				responses <- response
			}
		})
	}
	go func() {
		pending.Wait()
		close(responses)
	}()
	return responses
}

func (c *Client) encodeRequest(_ context.Context, r *http.Request, request any) error {
	raw, err := json.Marshal(request)
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "encode message")
	}
	r.Header.Set(fleetHeader, c.Fleet)
	r.Header.Set(versionHeader, protocolVersion)
	r.Header.Set("Content-Type", jsonType)
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(raw)), int64(len(raw))
	return nil
}

func decodeResponse[Response any](address string, r *http.Response) (any, error) {
	if r.StatusCode != http.StatusOK {
		var body apierror.Body
		if err := json.NewDecoder(io.LimitReader(r.Body, maxErrorBytes)).Decode(&body); err != nil {
			return nil, apierror.New(apierror.Unreachable, "%s responded %s without a readable error body", address, r.Status)
		}
		return nil, apierror.FromBody(body, r.StatusCode)
	}
	var response Response
	if err := json.NewDecoder(r.Body).Decode(&response); err != nil {
		return nil, apierror.Wrap(err, apierror.Unreachable, "decode response")
	}
	return response, nil
}

// Handler serves a function at an endpoint. Messages that are rejected before they reach the function get apierror.WrongFleet, OtherVersion,
// Oversize or Malformed.
func Handler[Request, Response any](fleet string, handle func(context.Context, Request) (Response, error)) http.Handler {
	var served endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		return handle(ctx, request.(Request))
	}
	decode := func(_ context.Context, r *http.Request) (any, error) { return decodeRequest[Request](fleet, r) }
	return kithttp.NewServer(served, decode, encodeResponse, kithttp.ServerErrorEncoder(EncodeError))
}

func decodeRequest[Request any](fleet string, r *http.Request) (any, error) {
	if got := r.Header.Get(fleetHeader); got != "" && got != fleet {
		return nil, apierror.New(apierror.WrongFleet, "fleet %q is not ours", got)
	}
	if got := r.Header.Get(versionHeader); got != "" && got != protocolVersion {
		return nil, apierror.New(apierror.OtherVersion, "messages of version %q, ours are %s", got, protocolVersion)
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes+1))
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Malformed, "read request body")
	}
	if len(raw) > maxMessageBytes {
		return nil, apierror.New(apierror.Oversize, "message exceeds %d bytes", maxMessageBytes)
	}
	var request Request
	if len(raw) == 0 {
		return request, nil
	}
	if err := json.Unmarshal(raw, &request); err != nil {
		return nil, apierror.Wrap(err, apierror.Malformed, "read message")
	}
	return request, nil
}

// encodeResponse writes a response. A failed write is ignored: the client has disconnected.
func encodeResponse(_ context.Context, w http.ResponseWriter, response any) error {
	raw, err := json.Marshal(response)
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, "encode response")
	}
	w.Header().Set("Content-Type", jsonType)
	_, _ = w.Write(raw) // fails only if the client has disconnected
	return nil
}

// EncodeError writes an error with its code's HTTP status and its body, and a Retry-After header if the error has a retry delay.
func EncodeError(_ context.Context, err error, w http.ResponseWriter) {
	coded := apierror.Of(err)
	w.Header().Set("Content-Type", jsonType)
	if coded.Again > 0 && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", RetryAfter(coded.Again))
	}
	w.WriteHeader(coded.Code.Status)
	_ = json.NewEncoder(w).Encode(apierror.ToBody(err)) // fails only if the client has disconnected
}

// HandleReady adds the readiness check GET /ready, which responds 200 or 503.
func HandleReady(mux *http.ServeMux, ready func() bool) {
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// RetryAfter formats a duration for a Retry-After header: whole seconds, rounded up.
func RetryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
