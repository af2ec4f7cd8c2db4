package config

import (
	"testing"

	"github.com/matryer/is"

	"asterridge/apierror"
)

const withAdapters = `{"tenants":[{"name":"t"}],"pools":[{"name":"p","weights":"w1"},{"name":"web","kind":"web"}],
 "adapters":[{"name":"a","base":"m1","builds":{"m1":"a1","m2":"a2","m3":"a3"}},{"name":"b","base":"m2","builds":{"m2":"b2","m3":"b3"}}],
 "paths":[{"name":"x","address":"/x","pool":"p","adapter":"a"},{"name":"y","address":"/y","pool":"p","adapter":"b"}]}`

func TestAdaptersAreCheckedWithTheConfig(t *testing.T) {
	is := is.New(t)
	present, err := Parse([]byte(withAdapters), nil, false)
	is.NoErr(err)
	again, err := FromFields(present.Fields())
	is.NoErr(err)
	is.Equal(again, present)
	for text, code := range map[string]apierror.Code{
		`{"adapters":[{"name":"c"}]}`:                                         apierror.Missing,
		`{"adapters":[{"name":"c","base":7}]}`:                                apierror.WrongType,
		`{"adapters":[{"name":"c","base":"m1","size":1}]}`:                    apierror.UnknownField,
		`{"adapters":[{"name":"c","base":"m1","builds":{"m1":1}}]}`:           apierror.WrongType,
		`{"adapters":[{"name":"c","base":"m1","tenants":["nobody"]}]}`:        apierror.Dangling,
		`{"paths":[{"name":"z","address":"/z","pool":"p","adapter":"none"}]}`: apierror.Dangling,
		`{"paths":[{"name":"z","address":"/z","pool":"web","adapter":"a"}]}`:  apierror.Dangling,
		`{"remove":{"adapters":["a"]}}`:                                       apierror.Dangling, // path x refers to it
		`{"remove":{"adapters":["none"]}}`:                                    apierror.Dangling,
		`{"adapters":[{"name":"c","base":"m1","base":"m2"}]}`:                 apierror.RepeatField,
	} {
		_, err := Parse([]byte(text), present, true)
		if !apierror.Is(err, code) {
			t.Errorf("%s: %v, wanted %d", text, err, code.Number)
		}
	}
	more, err := Parse([]byte(`{"adapters":[{"name":"a","builds":{"m4":"a4"}}]}`), present, true)
	is.NoErr(err)
	is.Equal(more.Adapters["a"].Builds, map[string]string{"m1": "a1", "m2": "a2", "m3": "a3", "m4": "a4"})
	is.Equal(len(present.Adapters["a"].Builds), 3) // the base configuration is not modified
	is.NoErr(more.KeepBases(present))
	for _, text := range []string{`{"adapters":[{"name":"a","base":"m2"}]}`, `{"adapters":[{"name":"a","builds":{"m1":"a9"}}]}`} {
		moved, err := Parse([]byte(text), present, true)
		is.NoErr(err)
		is.True(apierror.Is(moved.KeepBases(present), apierror.Conflict))
	}
}

// A route must follow exactly those retirements that have moved its adapter; otherwise requests reach a base model without its build.
func TestRoutesFollowRetirements(t *testing.T) {
	is := is.New(t)
	plan, err := Parse([]byte(withAdapters), nil, false)
	is.NoErr(err)
	a, b := plan.Adapters["a"], plan.Adapters["b"]
	all := Retirements{}
	on := func(x Adapter) string { base, build := all.Route(x); return base + " " + build }
	is.Equal(on(a), "m1 a1")
	all["m1"] = Retirement{Old: "m1", New: "m2", Phase: Moving}
	is.Equal(on(a), "m1 a1")
	is.True(!all.IsOn(b, "m1"))
	is.Equal(plan.Desired(all)["p"], []Placement{{"a", "m1", "a1"}, {"a", "m2", "a2"}, {"b", "m2", "b2"}})
	switched := all["m1"].With(Moving, "a", Move{Phase: Switched, Build: "a2"})
	is.Equal(len(all["m1"].Moves), 0) // the original is not modified
	all["m1"] = switched
	is.Equal(on(a), "m2 a2")
	is.Equal(plan.Desired(all)["p"], []Placement{{"a", "m2", "a2"}, {"a", "m1", "a1"}, {"b", "m2", "b2"}}) // kept so that the retirement can be undone
	all["m1"] = switched.With(Undoing, "", Move{})
	is.Equal(on(a), "m1 a1")
	is.Equal(plan.Desired(all)["p"], []Placement{{"a", "m1", "a1"}, {"b", "m2", "b2"}})
	all["m1"] = switched.With(Dropping, "", Move{})
	is.Equal(plan.Desired(all)["p"], []Placement{{"a", "m2", "a2"}, {"b", "m2", "b2"}})
	is.Equal(on(Adapter{Name: "new", Base: "m1", Builds: map[string]string{"m1": "n1", "m2": "n2"}}), "m2 n2") // declared after the switch-over
	all["m1"] = switched.With(Retired, "", Move{})
	all["m2"] = Retirement{Old: "m2", New: "m3", Phase: Moving}
	is.Equal(on(a), "m2 a2")
	is.True(all.IsOn(a, "m2") && all.IsOn(b, "m2"))
	all["m2"] = all["m2"].With(Moving, "a", Move{Phase: Live, Build: "a3"})
	is.Equal(on(a), "m3 a3")
	is.Equal(on(b), "m2 b2")
	is.Equal(plan.Desired(all)["p"], []Placement{{"a", "m3", "a3"}, {"a", "m2", "a2"}, {"b", "m2", "b2"}, {"b", "m3", "b3"}})
	for _, crossing := range []string{"m2", "m3"} {
		_, crossed := all.Crossing(crossing)
		is.True(crossed)
	}
	_, isCrossed := all.Crossing("m1", "m9") // the retirement of m1 is complete
	is.True(!isCrossed)
}
