package register_test

import (
	"encoding/json"
	"testing"

	"asterridge/register"
	"asterridge/sim"
)

func openFuzzed(d *sim.Disk) (*register.Acceptor, error) {
	return register.OpenAcceptor(register.AcceptorOptions{Disk: d.Open(), OnChange: func(string, register.Record, register.Fields, bool) {}, OnSkipped: func(string, string, error) {}})
}

// Whatever stands in a key's files, the acceptor loads, promises above what it tells, and takes a whole change or says why not.
func FuzzAcceptorLoad(f *testing.F) {
	full := `{"key":"k","next":{"epoch":257,"version":1},"whole":true,"fields":{"a":1}}`
	f.Add("v.0000000000000101.0000000000000001", []byte(full), "p.0000000000000201", []byte(`{}`))
	f.Add("v.0000000000000101.0000000000000001", []byte(full), "v.0000000000000101.0000000000000002",
		[]byte(`{"key":"k","base":{"epoch":257,"version":1},"next":{"epoch":257,"version":2},"fields":{"a":null,"b":[]}}`))
	f.Add("v.0000000000000101.0000000000000001", []byte(`{"next":{"epoch":257,"version":1},"fields":{"a":1}}`), "v.x", []byte(`{`))
	f.Fuzz(func(t *testing.T, firstName string, first []byte, secondName string, second []byte) {
		d := sim.NewDisk()
		opened := d.Open()
		for name, text := range map[string][]byte{firstName: first, secondName: second} {
			if err := opened.Put("kk", name, text); err != nil {
				return // no name for a file
			}
		}
		k, err := openFuzzed(d)
		if err != nil {
			return
		}
		now := k.Read("k")
		if now.Promised < now.Revision.Epoch {
			t.Errorf("promised %d, and accepted %v", now.Promised, now.Revision)
		}
		if _, err := k.Prepare("k", now.Promised, register.Revision{}); err == nil {
			t.Errorf("epoch %d is promised twice", now.Promised)
		}
		next := register.Revision{Epoch: now.Promised + 1, Version: 1}
		if next.Epoch == 0 {
			return // no epoch is above the highest
		}
		if err := k.Accept(register.Change{Key: "k", Next: next, Full: true, Fields: register.Fields{"z": json.RawMessage(`1`)}}); err != nil {
			t.Errorf("a whole change is not taken: %v", err)
		}
	})
}

// Whatever change a message brings, the acceptor takes it or says why not; what it took is there after a restart.
func FuzzAcceptorAccept(f *testing.F) {
	f.Add([]byte(`{"key":"k","next":{"epoch":257,"version":1},"fields":{"a":1}}`), []byte(`{"key":"k","base":{"epoch":257,"version":1},"next":{"epoch":257,"version":2},"fields":{"a":null}}`))
	f.Add([]byte(`{"key":"k","next":{"epoch":257,"version":1},"whole":true}`), []byte(`{"key":"k","next":{"epoch":256,"version":9},"whole":true,"fields":{"":null}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		d := sim.NewDisk()
		k, err := openFuzzed(d)
		if err != nil {
			t.Fatal(err)
		}
		for _, text := range [][]byte{first, second} {
			var change register.Change
			if json.Unmarshal(text, &change) != nil || change.Key == "" {
				return
			}
			if k.Accept(change) != nil {
				continue
			}
			before := k.Read(change.Key)
			again, err := openFuzzed(d)
			if err != nil {
				t.Fatal(err)
			}
			after := again.Read(change.Key)
			was, _ := json.Marshal(before.Fields)
			is, _ := json.Marshal(after.Fields)
			if before.Revision != after.Revision || string(was) != string(is) {
				t.Errorf("%v %s is %v %s after a restart", before.Revision, was, after.Revision, is)
			}
			k = again
		}
	})
}
