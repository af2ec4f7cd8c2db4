package register_test

import (
	"encoding/json"
	"testing"

	"asterridge/register"
	"asterridge/sim"
)

func openFuzzed(d *sim.Disk) (*register.Acceptor, error) {
	return register.OpenAcceptor(register.AcceptorOptions{Disk: d.Open(), OnChange: func(string, register.Record, register.Fields, bool) {},
		OnSkipped: func(string, string, error) {}})
}

// FuzzAcceptorLoad loads arbitrary files of a key. The acceptor must load, never promise an epoch twice, and accept a full change.
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
				return // not a valid file name
			}
		}
		a, err := openFuzzed(d)
		if err != nil {
			return
		}
		record := a.Read("k")
		if record.Promised < record.Revision.Epoch {
			t.Errorf("promised epoch %d is lower than that of the accepted revision %v", record.Promised, record.Revision)
		}
		if _, err := a.Prepare("k", record.Promised, register.Revision{}); err == nil {
			t.Errorf("epoch %d is promised twice", record.Promised)
		}
		next := register.Revision{Epoch: record.Promised + 1, Version: 1}
		if next.Epoch == 0 {
			return // no epoch is higher than the maximum
		}
		if err := a.Accept(register.Change{Key: "k", Next: next, Full: true, Fields: register.Fields{"z": json.RawMessage(`1`)}}); err != nil {
			t.Errorf("full change is not accepted: %v", err)
		}
	})
}

// FuzzAcceptorAccept sends arbitrary changes. The acceptor must accept or reject them, and must still have what it accepted after a restart.
func FuzzAcceptorAccept(f *testing.F) {
	f.Add([]byte(`{"key":"k","next":{"epoch":257,"version":1},"fields":{"a":1}}`), []byte(`{"key":"k","base":{"epoch":257,"version":1},"next":{"epoch":257,"version":2},"fields":{"a":null}}`))
	f.Add([]byte(`{"key":"k","next":{"epoch":257,"version":1},"whole":true}`), []byte(`{"key":"k","next":{"epoch":256,"version":9},"whole":true,"fields":{"":null}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		d := sim.NewDisk()
		a, err := openFuzzed(d)
		if err != nil {
			t.Fatal(err)
		}
		for _, text := range [][]byte{first, second} {
			var change register.Change
			if json.Unmarshal(text, &change) != nil || change.Key == "" {
				return
			}
			if a.Accept(change) != nil {
				continue
			}
			before := a.Read(change.Key)
			again, err := openFuzzed(d)
			if err != nil {
				t.Fatal(err)
			}
			after := again.Read(change.Key)
			was, _ := json.Marshal(before.Fields)
			is, _ := json.Marshal(after.Fields)
			if before.Revision != after.Revision || string(was) != string(is) {
				t.Errorf("revision %v with content %s became %v with %s after a restart", before.Revision, was, after.Revision, is)
			}
			a = again
		}
	})
}
