package router_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/router"
	"asterridge/sim"
)

// statusWithLimits returns the status with which a router with these limits answers a request with a header field and a body of these sizes.
func statusWithLimits(t *testing.T, limits config.Limits, header, body int) int {
	t.Helper()
	status := 0
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stand := sim.NewTestbed(router.Options{Name: "proxy-1", Protocol: plainDialect{}, Log: zerolog.Nop()})
		defer stand.Stop()
		stand.Serve("10.0.2.1:80", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		}))
		b := config.Empty()
		b.Limits = limits
		b.Paths["p"] = config.Path{Name: "p", Address: "/p/", Pool: "pool", Public: true, MaxBody: 1000, Cost: 1, DeadlineMs: 60000}
		b.Pools["pool"] = config.Pool{Name: "pool", Kind: "web"}
		stand.Configure(b, config.Replica{Name: "one", Address: "10.0.2.1:80", Pool: "pool", State: "present", Limit: 8})
		q, err := http.NewRequest(http.MethodPost, "http://"+sim.TestbedAddress+"/p/x", strings.NewReader(strings.Repeat("b", body)))
		is.NoErr(err)
		q.Header.Set("X-Request-Id", "r1")
		q.Header.Set("X-Long", strings.Repeat("h", header))
		answer, err := stand.Client.Do(q)
		is.NoErr(err)
		_ = answer.Body.Close()
		status = answer.StatusCode
	})
	return status
}

// The limits on header and body sizes are those of the configuration, whether they are above or below the router's defaults.
func TestSizeLimitsFollowConfiguration(t *testing.T) {
	const otherHeaderBytes = 400 // upper bound for the rest of the header
	for _, c := range []struct {
		limits       config.Limits
		header, body int
		status       int
	}{
		{config.Limits{HeaderBytes: 16 << 10}, 16<<10 - otherHeaderBytes, 1, http.StatusOK},
		{config.Limits{HeaderBytes: 16 << 10}, 16 << 10, 1, apierror.HeaderOversize.Status},
		{config.Limits{HeaderBytes: 200 << 10}, 200<<10 - otherHeaderBytes, 1, http.StatusOK},
		{config.Limits{}, 64<<10 - otherHeaderBytes, 1, http.StatusOK},
		{config.Limits{}, 64 << 10, 1, apierror.HeaderOversize.Status},
		{config.Limits{BodyBytes: 20 << 20}, 1, 20 << 20, http.StatusOK},
		{config.Limits{BodyBytes: 20 << 20}, 1, 20<<20 + 1, apierror.Oversize.Status},
		{config.Limits{BodyBytes: 500}, 1, 501, apierror.Oversize.Status},
		{config.Limits{}, 1, 1001, apierror.Oversize.Status},
	} {
		if status := statusWithLimits(t, c.limits, c.header, c.body); status != c.status {
			t.Errorf("limits %+v: header of %d and body of %d bytes: got status %d, want %d", c.limits, c.header, c.body, status, c.status)
		}
	}
}
