package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"asterridge/golden"
)

const base = `{"tenants":[{"name":"a","weight":3}],"pools":[{"name":"p","weights":"w1"}],"paths":[{"name":"x","address":"/v1/x","pool":"p","cost":4}]}`

// Each invalid text is rejected as a whole, with the error code, the path of the field and its byte position.
func TestGoldenOfRejectedConfigs(t *testing.T) {
	present, err := Parse([]byte(base), nil, false)
	is.New(t).NoErr(err)
	var out strings.Builder
	for _, text := range []string{
		``, `{`, `[]`, `{"tenants":[]} more`, `{"tenants":{}}`, `{"tenant":[]}`, `{"tenants":[],"tenants":[]}`,
		`{"tenants":[{}]}`, `{"tenants":[{"name":7}]}`, `{"tenants":[{"name":"a b"}]}`, `{"tenants":[{"name":"ä-1"},{"name":"ä-1"}]}`,
		`{"tenants":[{"name":"b","weight":0}]}`, `{"tenants":[{"name":"b","weight":2.5}]}`, `{"tenants":[{"name":"b","weight":"2"}]}`,
		`{"tenants":[{"name":"b","weight":2,"weight":3}]}`, `{"tenants":[{"name":"b","colour":"red"}]}`, `{"tenants":[{"name":"b","scope":"zone"}]}`,
		`{"tenants":[{"name":"b","walled":1}]}`, `{"tenants":[{"name":"b","backlog":1000000}]}`, `{"tenants":[null]}`,
		`{"pools":[{"name":"p","kind":"disk"}]}`, `{"paths":[{"name":"y","address":"/y","pool":"q"}]}`, `{"paths":[{"name":"y","address":"y","pool":"p"}]}`,
		`{"paths":[{"name":"y","pool":"p"}]}`, `{"paths":[{"name":"y","address":"/v1/x","pool":"p"}]}`, `{"hold":{"jitter":2}}`, `{"hold":{"cap_ms":0}}`,
		`{"hold":{"slow":1}}`, `{"remove":{"pools":["p"]}}`, `{"remove":{"tenants":["nobody"]}}`, `{"remove":{"zones":["z"]}}`, `{"tenants":[{"name":"b"}],}`,
	} {
		_, err := Parse([]byte(text), present, true)
		fmt.Fprintf(&out, "%s\n  %v\n", text, err)
	}
	golden.Compare(t, "testdata/rejections.txt", out.String())
}

func TestPartialChangesFieldByFieldAndFullReplaces(t *testing.T) {
	is := is.New(t)
	present, err := Parse([]byte(base), nil, false)
	is.NoErr(err)
	merged, err := Parse([]byte(`{"tenants":[{"name":"a","walled":true},{"name":"b"}],"hold":{"observe":true}}`), present, true)
	is.NoErr(err)
	is.Equal(merged.Tenants["a"], Tenant{Name: "a", Isolated: true, Weight: 3, Backlog: 256, Scope: "tenant"})
	is.Equal(merged.Throttle.CapMs, 64000)
	is.True(merged.Throttle.Observe)
	is.Equal(len(present.Tenants), 1) // the base configuration is not modified
	again, err := FromFields(merged.Fields())
	is.NoErr(err)
	is.Equal(again, merged)
	is.Equal(len(Delta(present.Fields(), merged.Fields())), 3) // only tenants a and b and the throttle rule
	replaced, err := Parse([]byte(`{"tenants":[{"name":"c"}]}`), present, false)
	is.NoErr(err)
	is.Equal(len(replaced.Tenants)+len(replaced.Pools)+len(replaced.Paths), 1)
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(base), true)
	f.Add([]byte(`{"remove":{"tenants":["a"]},"hold":{"base_ms":1}}`), true)
	f.Add([]byte(`{"tenants":[{"name":"a","name":"b"}]}`), false)
	f.Fuzz(func(t *testing.T, text []byte, partial bool) {
		present, _ := Parse([]byte(base), nil, false)
		accepted, err := Parse(text, present, partial)
		if err != nil {
			return
		}
		again, err := FromFields(accepted.Fields())
		if err != nil || again.Check() != nil {
			t.Errorf("an accepted configuration does not survive encoding and decoding: %v", err)
		}
	})
}
