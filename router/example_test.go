package router_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/rs/zerolog"

	"asterridge/apierror"
	"asterridge/router"
	"asterridge/rpc"
)

// bodyLimitAtNight is an embedding program's own filter, which limits the size of request bodies at night.
type bodyLimitAtNight struct{ most int }

func (n bodyLimitAtNight) Handle(ctx context.Context, x *router.Exchange, onward func(context.Context, *router.Exchange) error) error {
	if len(x.Body) > n.most {
		return apierror.New(apierror.Oversize, "%d bytes at night, at most %d", len(x.Body), n.most)
	}
	return onward(ctx, x)
}

// A program embeds the router and adds a filter. The agent is not running, so that nothing vouches for the configuration: the request
// is rejected as not executed.
func Example() {
	r := router.New(router.Options{
		Name: "mine", Zone: "zone-1", Fleet: "karri-ridge", Agent: "127.0.0.1:7001", Admin: "127.0.0.1:7002",
		Net: &rpc.TCP{}, Log: zerolog.Nop(), PrefixIndexSize: 1000, Filters: []router.Filter{bodyLimitAtNight{1000}},
	})
	mux := http.NewServeMux()
	mux.Handle("/v1/", r.Handler())
	program := httptest.NewServer(mux) // a real program also calls r.Run, which follows the agent
	defer program.Close()

	answer, err := http.Post(program.URL+"/v1/chat/completions", "application/json", strings.NewReader(`{}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer answer.Body.Close()
	fmt.Println(answer.StatusCode, answer.Header.Get("X-Result-Code"), answer.Header.Get("X-Ran"))
	// Output: 503 214 no
}
