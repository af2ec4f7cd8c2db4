package watch

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"asterridge/register"
	"asterridge/rpc"
)

// fixedResponse is a transport that answers every request with the given bytes.
type fixedResponse []byte

func (f fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	_, _ = w.Write(f)
	return w.Result(), nil
}

// A client must apply or reject any response bytes without a panic, and what it applied must be readable.
func FuzzClientResponse(f *testing.F) {
	good, _ := json.Marshal(Response{RunID: "r", Offset: 3, Snapshot: true, Updates: []KeyUpdate{{Key: "k", Revision: register.Revision{Epoch: 1, Version: 1}, Fields: register.Fields{"a": json.RawMessage(`1`)}}}})
	f.Add(good, []byte(`{"entries":[{"key":"k","fields":{"a":null}}]}`))
	f.Add([]byte(`{"code":302}`), []byte(`{`))
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		for _, text := range [][]byte{first, second} {
			rpcClient := &rpc.Client{Fleet: "f", HTTP: &http.Client{Transport: fixedResponse(text)}}
			client := NewClient(ClientOptions{RPC: rpcClient, Address: "10.0.0.1:1", Path: "/p", Request: func() Request { return Request{} }})
			_ = client.poll(context.Background())
			for _, key := range client.Keys() {
				client.Read(key)
				client.Revisions(key)
			}
		}
	})
}

// A server must answer or reject any request without a panic, and must not wait once the request's context has ended.
func FuzzServerRequest(f *testing.F) {
	f.Add([]byte(`{"name":"a","role":"core","run":"","from":0}`))
	f.Add([]byte(`{"from":18446744073709551615,"wait_ms":-1,"applied":{"k":{"epoch":1}}}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		var request Request
		if json.Unmarshal(text, &request) != nil {
			return
		}
		ended, stop := context.WithCancel(context.Background())
		stop()
		s := NewServer(ServerOptions{Incarnation: func() string { return "w" }})
		s.Publish("k", register.Revision{Epoch: 1, Version: 1}, register.Revision{}, register.Fields{"a": json.RawMessage(`1`)}, true)
		_, _ = s.Watch(ended, request)
		request.RunID = s.RunID()
		_, _ = s.Watch(ended, request)
		s.ClientStates(0)
	})
}
