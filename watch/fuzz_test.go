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

// answered is a transport whose every answer is the given bytes.
type answered []byte

func (a answered) RoundTrip(*http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	_, _ = w.Write(a)
	return w.Result(), nil
}

// Whatever a source answers, its follower takes it or fails; what it took can be read.
func FuzzFollowerAnswer(f *testing.F) {
	good, _ := json.Marshal(Response{RunID: "r", Offset: 3, Snapshot: true, Updates: []KeyUpdate{{Key: "k", Revision: register.Revision{Epoch: 1, Version: 1}, Fields: register.Fields{"a": json.RawMessage(`1`)}}}})
	f.Add(good, []byte(`{"entries":[{"key":"k","fields":{"a":null}}]}`))
	f.Add([]byte(`{"code":302}`), []byte(`{`))
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		for _, text := range [][]byte{first, second} {
			wire := &rpc.Client{Fleet: "f", HTTP: &http.Client{Transport: answered(text)}}
			follower := NewClient(ClientOptions{RPC: wire, Address: "10.0.0.1:1", Path: "/p", Request: func() Request { return Request{} }})
			_ = follower.poll(context.Background())
			for _, key := range follower.Keys() {
				follower.Read(key)
				follower.Revisions(key)
			}
		}
	})
}

// Whatever a follower asks, a source answers it at once or fails.
func FuzzSourceAsk(f *testing.F) {
	f.Add([]byte(`{"name":"a","role":"core","run":"","from":0}`))
	f.Add([]byte(`{"from":18446744073709551615,"wait_ms":-1,"applied":{"k":{"epoch":1}}}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		var ask Request
		if json.Unmarshal(text, &ask) != nil {
			return
		}
		ended, stop := context.WithCancel(context.Background())
		stop()
		s := NewServer(ServerOptions{Incarnation: func() string { return "w" }})
		s.Publish("k", register.Revision{Epoch: 1, Version: 1}, register.Revision{}, register.Fields{"a": json.RawMessage(`1`)}, true)
		_, _ = s.Watch(ended, ask)
		ask.RunID = s.RunID()
		_, _ = s.Watch(ended, ask)
		s.ClientStates(0)
	})
}
