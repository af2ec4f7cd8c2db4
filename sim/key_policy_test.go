package sim

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/daemon"
)

// numberedTenants returns a numbered configuration with a path that is not public, and with the named tenants.
func numberedTenants(number, basedOn uint64, full bool, tenants, removed []string) config.NumberedConfig {
	d := numbered(number, basedOn, full)
	d.ListsTenants = new(bool)
	*d.ListsTenants = true
	if full {
		d.Items.Apply(config.Field("path/keyed", config.Path{Name: "keyed", Address: "/keyed/", Pool: "web", DeadlineMs: 1000, MaxBody: 1000, Cost: 1}))
	}
	for _, name := range tenants {
		d.Items.Apply(config.Field("tenant/"+name, config.Tenant{Name: name, Weight: 1, Backlog: 10, Scope: "pool", Keys: []string{config.HashKey(name + "-key")}}))
	}
	for _, name := range removed {
		d.Removed = append(d.Removed, "tenant/"+name)
	}
	return d
}

// rejectsKey reports whether all proxies reject a key for the path that is not public.
func (f *Fleet) rejectsKey(key string) bool {
	for i := range f.Proxies {
		q := must(http.NewRequest(http.MethodGet, "http://"+ProxyAddress(i)+"/keyed/", nil))
		if key != "" {
			q.Header.Set("Authorization", "Bearer "+key)
		}
		answer, err := f.Client.Do(q)
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		if answer.Header.Get("X-Result-Code") != fmt.Sprint(apierror.BadKey.Number) {
			return false
		}
	}
	return true
}

// Guards against a fleet that serves everybody after its last tenant was removed: at a core that was down meanwhile and catches up, at one
// that has lost its disk, and when all cores and proxies start again.
func TestRemovalOfLastTenantOutlastsRestarts(t *testing.T) {
	t.Parallel()
	restarted := false
	o := numberedOptions(9500, 4)
	o.ChangeCoreHost = func(_ int, host *daemon.Host) { host.Bootstrapped = restarted }
	inNumbered(t, o, func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, allFour)
		restarted = true
		f.declare(0, numberedTenants(1, 0, true, []string{"t1", "t2"}, nil))
		f.Until(5*time.Second, "unknown keys are rejected", func() bool { return f.rejectsKey("never-held") && f.rejectsKey("") })
		is.True(!f.rejectsKey("t1-key") && !f.rejectsKey("t2-key"))
		f.Kill(CoreIP(3))
		f.declare(1, numberedTenants(2, 1, false, nil, []string{"t1"}))
		f.declare(1, numberedTenants(3, 2, false, nil, []string{"t2"}))
		allRejected := func() bool {
			return f.rejectsKey("t1-key") && f.rejectsKey("t2-key") && f.rejectsKey("never-held") && f.rejectsKey("")
		}
		f.Until(5*time.Second, "all are rejected", allRejected)
		f.StartCore(3)
		f.untilMembership(10*time.Second, allFour)
		for i := range f.Disks {
			f.Kill(CoreIP(i))
		}
		for i := range f.Proxies {
			f.Kill(ProxyIP(i))
		}
		f.Disks[0].Wipe()
		for i := range f.Disks {
			f.StartCore(i)
		}
		for i := range f.Proxies {
			f.StartPair(i)
		}
		f.Until(20*time.Second, "all are members", func() bool { return members(f.membership()) == members(allFour) })
		f.Until(10*time.Second, "all are rejected again", allRejected)
		f.declare(2, numberedTenants(4, 3, false, nil, nil)) // a change that has nothing to do with tenants
		time.Sleep(3 * time.Second)
		is.True(allRejected())
		f.declare(2, numberedTenants(5, 4, false, []string{"t2"}, nil))
		f.Until(5*time.Second, "the tenant that is back is served", func() bool { return !f.rejectsKey("t2-key") })
		is.True(f.rejectsKey("t1-key") && f.rejectsKey(""))
	})
}
