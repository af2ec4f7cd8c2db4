package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/register"
)

// testRegister is a test register that numbered configurations are applied to.
type testRegister struct {
	fields  register.Fields
	version uint64
}

// number returns the current number. It panics if the number cannot be read.
func (r *testRegister) number() uint64 {
	number, err := Number(r.fields)
	if err != nil {
		panic(err)
	}
	return number
}

func (r *testRegister) apply(d NumberedConfig) (register.Fields, error) {
	change, err := ApplyNumbered(r.fields, r.version, d)
	if err == nil && len(change) > 0 {
		r.fields.Apply(change)
		r.version++
	}
	return change, err
}

// texts lists the original texts, one per line.
func (r *testRegister) texts() string {
	var out strings.Builder
	for _, t := range Texts(r.fields) {
		fmt.Fprintf(&out, "%s %s %s\n", t.Kind, t.Name, t.Text)
	}
	return out.String()
}

func (r *testRegister) config(is *is.I) *Config {
	is.Helper()
	decoded, err := FromFields(r.fields)
	is.NoErr(err)
	return decoded
}

// declaration returns a declaration of the named items; the text of each consists of its name and the number.
func declaration(number, basedOn uint64, full bool, names ...string) NumberedConfig {
	b := Empty()
	d := NumberedConfig{Number: number, BasedOn: basedOn, Full: full, Digest: fmt.Sprint(number, names), Texts: register.Fields{}}
	for _, name := range names {
		kind, rest, _ := strings.Cut(name, "/")
		switch kind {
		case "tenant":
			b.Tenants[rest] = Tenant{Name: rest, Weight: 1, Backlog: 5, Scope: "pool", Keys: []string{rest + "-key"}}
		case "pool":
			b.Pools[rest] = Pool{Name: rest, Kind: "web"}
		case "path":
			b.Paths[rest] = Path{Name: rest, Address: "/" + rest + "/", Pool: "p", DeadlineMs: 5}
		case "limits":
			b.Limits.BodyBytes = int(number)
		}
		d.Texts[name] = json.RawMessage(fmt.Sprintf(`{"z": [1.50, {}],"label": %q,  "at":%d}`, rest, number))
		d.Order = append(d.Order, name)
	}
	d.Items = b.Fields()
	delete(d.Items, "hold")
	return d
}

// A full declaration replaces everything and a partial one changes only the items that it names. Texts are returned as written, except for
// white space between tokens, in the order of first declaration.
func TestFullAndAmendingDeclarations(t *testing.T) {
	is := is.New(t)
	r := &testRegister{fields: register.Fields{}}
	is.Equal(r.number(), uint64(0))
	_, err := r.apply(declaration(3, 0, true, "path/z", "path/a", "pool/p", "limits", "tenant/t", "path/m"))
	is.NoErr(err)
	is.Equal(r.number(), uint64(3))
	is.Equal(r.texts(), `limits  {"z":[1.50,{}],"label":"","at":3}
path z {"z":[1.50,{}],"label":"z","at":3}
path a {"z":[1.50,{}],"label":"a","at":3}
path m {"z":[1.50,{}],"label":"m","at":3}
pool p {"z":[1.50,{}],"label":"p","at":3}
tenant t {"z":[1.50,{}],"label":"t","at":3}
`)
	amendment := declaration(10, 3, false, "path/b", "path/a", "tenant/u")
	amendment.Removed = []string{"path/m", "path/never", "tenant/t"}
	_, err = r.apply(amendment)
	is.NoErr(err)
	is.Equal(r.number(), uint64(10))
	is.Equal(r.texts(), `limits  {"z":[1.50,{}],"label":"","at":3}
path z {"z":[1.50,{}],"label":"z","at":3}
path a {"z":[1.50,{}],"label":"a","at":10}
path b {"z":[1.50,{}],"label":"b","at":10}
pool p {"z":[1.50,{}],"label":"p","at":3}
tenant u {"z":[1.50,{}],"label":"u","at":10}
`)
	b := r.config(is)
	is.Equal([]int{len(b.Paths), len(b.Pools), len(b.Tenants), b.Limits.BodyBytes}, []int{3, 1, 1, 3})
	again := declaration(11, 10, false, "path/c", "path/m") // a removed item that is declared again comes last
	_, err = r.apply(again)
	is.NoErr(err)
	is.True(strings.Contains(r.texts(), "path z {\"z\":[1.50,{}],\"label\":\"z\",\"at\":3}\npath a {\"z\":[1.50,{}],\"label\":\"a\",\"at\":10}\npath b {\"z\":[1.50,{}],\"label\":\"b\",\"at\":10}\npath c {\"z\":[1.50,{}],\"label\":\"c\",\"at\":11}\npath m"))
	_, err = r.apply(declaration(12, 11, true, "pool/q"))
	is.NoErr(err)
	is.Equal(r.texts(), "pool q {\"z\":[1.50,{}],\"label\":\"q\",\"at\":12}\n")
	b = r.config(is)
	is.Equal([]int{len(b.Paths), len(b.Pools), len(b.Tenants), b.Limits.BodyBytes}, []int{0, 1, 0, 0})
}

// Only declared items, the shared cache scope and the key policy are sent to the data plane; original texts and numbers stay in the cores.
func TestTextsAndNumbersAreNotSentToTheDataPlane(t *testing.T) {
	is := is.New(t)
	r := &testRegister{fields: register.Fields{}}
	_, err := r.apply(declaration(3, 0, true, "path/a", "pool/p", "limits", "tenant/t"))
	is.NoErr(err)
	var open []string
	for field := range r.fields {
		if !IsText(field) {
			open = append(open, field)
		}
	}
	slices.Sort(open)
	is.Equal(open, []string{"hold", "key_policy", "limits", "path/a", "pool/p", "shared_cache", "tenant/t"})
}

// A change contains only the fields that differ, and a full declaration keeps the throttle rule.
func TestDeclarationChangesOnlyWhatDiffers(t *testing.T) {
	is := is.New(t)
	r := &testRegister{fields: Field("hold", ThrottleRule{BaseMs: 7, CapMs: 8, Jitter: 1, SlowRatio: 3}), version: 4}
	_, err := r.apply(declaration(3, 0, true, "path/a", "pool/p"))
	is.NoErr(err)
	is.Equal(r.config(is).Throttle.BaseMs, 7)
	change, err := r.apply(declaration(4, 3, false, "path/b"))
	is.NoErr(err)
	var fields []string
	for field := range change {
		fields = append(fields, field)
	}
	slices.Sort(fields)
	is.Equal(fields, []string{"accepted/newest/1", "number", "path/b", "text/path/b"})
	change, err = r.apply(declaration(5, 4, true, "pool/p"))
	is.NoErr(err)
	is.Equal(r.config(is).Throttle.BaseMs, 7)
	is.True(register.IsDeleted(change["path/a"]) && register.IsDeleted(change["text/path/b"]))
	_, again := change["pool/p"]
	is.True(!again) // unchanged; only its text was rewritten
}

// Of two declarations based on the same number only the first to arrive is accepted. Numbers must increase; gaps are allowed.
func TestOneOfTwoDeclarationsOnTheSameNumberWins(t *testing.T) {
	is := is.New(t)
	for _, full := range []bool{true, false} {
		r := &testRegister{fields: register.Fields{}}
		_, err := r.apply(declaration(5, 0, true, "pool/p", "path/a"))
		is.NoErr(err)
		one, other := declaration(9, 5, full, "pool/p", "path/one"), declaration(8, 5, full, "pool/p", "path/other")
		_, err = r.apply(one)
		is.NoErr(err)
		before := r.texts()
		_, err = r.apply(other)
		is.True(apierror.Is(err, apierror.Conflict))
		same := declaration(9, 5, full, "pool/p", "path/other") // same number, different text
		_, err = r.apply(same)
		is.True(apierror.Is(err, apierror.Conflict))
		for _, number := range []uint64{0, 1, 8, 9} {
			_, err = r.apply(declaration(number, 9, full, "pool/p"))
			is.True(apierror.Is(err, apierror.OutOfRange))
		}
		for _, base := range []uint64{0, 5, 8, 10} {
			_, err = r.apply(declaration(11, base, full, "pool/p"))
			is.True(apierror.Is(err, apierror.Conflict))
		}
		is.Equal(r.texts(), before)
		is.Equal(r.number(), uint64(9))
		is.Equal(r.version, uint64(2))
	}
}

// A declaration is validated against the configuration that would result, and rejected as a whole if that is invalid.
func TestInvalidResultingConfigIsRejected(t *testing.T) {
	is := is.New(t)
	r := &testRegister{fields: register.Fields{}}
	_, err := r.apply(declaration(1, 0, true, "path/a")) // its pool does not exist
	is.True(apierror.Is(err, apierror.Dangling))
	is.Equal(len(r.fields), 0)
	_, err = r.apply(declaration(1, 0, true, "pool/p", "path/a", "tenant/t"))
	is.NoErr(err)
	before := r.texts()
	changed := func(change func(*NumberedConfig)) error {
		d := declaration(2, 1, false)
		change(&d)
		_, err := r.apply(d)
		return err
	}
	put := func(name string, item any) func(*NumberedConfig) {
		return func(d *NumberedConfig) { d.Items = Field(name, item) }
	}
	is.True(apierror.Is(changed(func(d *NumberedConfig) { d.Removed = []string{"pool/p"} }), apierror.Dangling))
	is.True(apierror.Is(changed(put("path/b", Path{Name: "b", Address: "/a/", Pool: "p", DeadlineMs: 5})), apierror.RepeatField))
	is.True(apierror.Is(changed(put("path/b", Path{Name: "b", Address: "/b/", Pool: "p"})), apierror.OutOfRange))
	is.True(apierror.Is(changed(put("path/b", Path{Name: "b", Pool: "p", DeadlineMs: 5})), apierror.Missing))
	is.True(apierror.Is(changed(put("path/b", Path{Name: "b", Address: "/b/", DeadlineMs: 5, Targets: []Target{{"p", 0}}})), apierror.OutOfRange))
	is.True(apierror.Is(changed(put("path/b", Path{Name: "b", Address: "/b/", DeadlineMs: 5, Targets: []Target{{"p", 2}, {"p", -1}}})), apierror.OutOfRange))
	is.True(apierror.Is(changed(put("tenant/u", Tenant{Name: "u", Keys: []string{"u-key", "t-key"}})), apierror.RepeatField)) // key of another tenant
	is.Equal(r.texts(), before)
	is.Equal(r.number(), uint64(1))
	is.NoErr(changed(func(d *NumberedConfig) { // a key may move to another tenant in one change, and a tenant may list a key twice
		d.Removed = []string{"tenant/t"}
		d.Items = Field("tenant/u", Tenant{Name: "u", Keys: []string{"t-key", "t-key"}})
	}))
}

// Later changes and full declarations keep a tenant's CreatedVersion. A tenant recreated under an old name must get a new one, so that access
// keys granted to the former tenant do not apply to it.
func TestCreatedVersionOfTenantIsKept(t *testing.T) {
	is := is.New(t)
	r := &testRegister{fields: register.Fields{}, version: 6}
	apply := func(d NumberedConfig) {
		t.Helper()
		_, err := r.apply(d)
		is.NoErr(err)
	}
	createdVersion := func(name string) uint64 { return r.config(is).Tenants[name].CreatedVersion }
	apply(declaration(1, 0, true, "tenant/t"))
	is.Equal(createdVersion("t"), uint64(7))
	apply(declaration(2, 1, true, "tenant/u", "tenant/t"))
	apply(declaration(3, 2, false, "tenant/t"))
	is.Equal([]uint64{createdVersion("t"), createdVersion("u")}, []uint64{7, 8})
	gone := declaration(4, 3, false)
	gone.Removed = []string{"tenant/t"}
	apply(gone)
	apply(declaration(5, 4, false, "tenant/t"))
	is.Equal([]uint64{createdVersion("t"), createdVersion("u")}, []uint64{11, 8})
}

// Guards against two routes for the same requests whose hosts differ in case alone: requests match hosts without regard to case.
func TestHostInAnotherCaseIsTheSameHost(t *testing.T) {
	is := is.New(t)
	c := Empty()
	c.Pools["p"] = Pool{Name: "p", Kind: WebPool}
	c.Paths["a"] = Path{Name: "a", Host: "a.example", Address: "/a/", Pool: "p", DeadlineMs: 5}
	for host, rejected := range map[string]bool{"a.example": true, "A.example": true, "a.EXAMPLE": true, "b.example": false, "": false} {
		c.Paths["b"] = Path{Name: "b", Host: host, Address: "/a/", Pool: "p", DeadlineMs: 5}
		is.Equal(apierror.Is(c.Check(), apierror.RepeatField), rejected)
	}
}
