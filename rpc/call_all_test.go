package rpc

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that does not respond, or is gone, and hides the responses of the others.
func TestCallAllReturnsWhatArrivesInTime(t *testing.T) {
	is := is.New(t)
	serve := func(respond func(context.Context, string) (string, error)) string {
		server := httptest.NewServer(Handler("fleet", respond))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	silent := serve(func(ctx context.Context, _ string) (string, error) {
		<-ctx.Done() // the caller has given up
		return "late", nil
	})
	named := func(name string) string {
		return serve(func(context.Context, string) (string, error) { return name, nil })
	}
	stopped := httptest.NewServer(nil)
	stopped.Close()
	addresses := []string{silent, named("one"), strings.TrimPrefix(stopped.URL, "http://"), named("two")}
	var arrived []string
	for response := range CallAll[string](context.Background(), NewClient("fleet", &TCP{}), addresses, "/", "", 300*time.Millisecond) {
		arrived = append(arrived, response)
	}
	is.Equal(slices.Sorted(slices.Values(arrived)), []string{"one", "two"})
}
