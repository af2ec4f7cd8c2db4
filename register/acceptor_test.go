package register_test

import (
	"testing"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/register"
	"asterridge/sim"
)

// Guards against loading damaged state. A torn or unknown file must be reported and skipped, along with the versions based on it, and the
// key must not make promises until it has caught up.
func TestAcceptorSkipsTornFilesAndDependentVersions(t *testing.T) {
	is := is.New(t)
	d := sim.NewDisk()
	var skipped []string
	open := func() *register.Acceptor {
		skipped = nil
		k, err := register.OpenAcceptor(register.AcceptorOptions{Disk: d.Open(), OnChange: func(string, register.Record, register.Fields, bool) {},
			OnSkipped: func(_, file string, _ error) { skipped = append(skipped, file) }})
		is.NoErr(err)
		return k
	}
	a := open()
	base := register.Revision{}
	for v := uint64(1); v <= 4; v++ {
		next := register.Revision{Epoch: 257, Version: v}
		is.NoErr(a.Accept(register.Change{Key: "a/b c", Base: base, Next: next, Fields: register.Fields{string(rune('w' + v)): []byte(`1`)}}))
		base = next
	}
	_, err := a.Prepare("a/b c", 514, register.Revision{})
	is.NoErr(err)
	is.Equal(len(open().Read("a/b c").Fields), 4)
	folder := "ka%2Fb+c"
	d.Corrupt(folder, "v.0000000000000101.0000000000000003", func(raw []byte) []byte { return raw[:len(raw)-2] })
	d.Corrupt(folder, "notes.txt", func([]byte) []byte { return []byte("hello") })
	a = open()
	is.Equal(skipped, []string{"notes.txt", "v.0000000000000101.0000000000000003", "v.0000000000000101.0000000000000004"})
	record := a.Read("a/b c")
	is.Equal(record.Revision, register.Revision{Epoch: 257, Version: 2})
	is.Equal(record.Promised, uint64(514)) // the promise is kept
	is.True(a.IsDamaged())
	_, err = a.Prepare("a/b c", 771, register.Revision{}) // it has lost what it accepted, so it must not promise
	is.True(apierror.Is(err, apierror.Torn))
	err = a.Accept(register.Change{Key: "a/b c", Base: record.Revision, Next: register.Revision{Epoch: 257, Version: 5}})
	is.True(apierror.Is(err, apierror.Superseded))
	err = a.Accept(register.Change{Key: "a/b c", Base: base, Next: register.Revision{Epoch: 514, Version: 5}})
	is.True(apierror.Is(err, apierror.Behind))
	d.Fill(true)
	full := register.Change{Key: "a/b c", Next: register.Revision{Epoch: 514, Version: 5}, Full: true, Fields: register.Fields{"x": []byte(`1`)}}
	is.True(apierror.Is(a.Accept(full), apierror.DiskFailed))
	is.Equal(a.Revision("a/b c"), record.Revision) // the failed change is not reported as accepted
	d.Fill(false)
	is.NoErr(a.Accept(full))
	is.True(!a.IsDamaged())
	is.Equal(len(open().Read("a/b c").Fields), 1)
}

// Checks that a commit under an earlier epoch also commits the same version under a later epoch, and nothing else.
func TestCommitUnderAnEarlierEpochCoversTheSameVersion(t *testing.T) {
	is := is.New(t)
	at := func(epoch, version uint64) register.Revision {
		return register.Revision{Epoch: epoch, Version: version}
	}
	is.True(register.IsCommitted(at(0, 0), at(0, 0)))
	is.True(register.IsCommitted(at(5, 4), at(5, 4)))
	is.True(register.IsCommitted(at(5, 4), at(4, 4)))  // adopted from a majority and written again
	is.True(!register.IsCommitted(at(5, 4), at(4, 3))) // a later version, perhaps on one disk only
	is.True(!register.IsCommitted(at(4, 4), at(5, 4))) // it may have lost to the committed revision
}
