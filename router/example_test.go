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

// nightly is a policy of one's own: at night no chat may be longer than its bound.
type nightly struct{ most int }

func (n nightly) Handle(ctx context.Context, x *router.Exchange, onward func(context.Context, *router.Exchange) error) error {
	if len(x.Body) > n.most {
		return apierror.New(apierror.Oversize, "%d bytes at night, at most %d", len(x.Body), n.most)
	}
	return onward(ctx, x)
}

// A program embeds the router and adds a policy. An agent runs beside it; until the agent vouches for the configuration, new work is
// rejected as not run.
func Example() {
	r := router.New(router.Options{
		Name: "mine", Zone: "zone-1", Fleet: "karri-ridge", Agent: "127.0.0.1:7001", Admin: "127.0.0.1:7002",
		Net: &rpc.TCP{}, Log: zerolog.Nop(), PrefixIndexSize: 1000, Filters: []router.Filter{nightly{1000}},
	})
	mux := http.NewServeMux()
	mux.Handle("/v1/", r.Handler())
	program := httptest.NewServer(mux) // a program of one's own would also let r.Run follow the agent
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
