package register_test

import (
	"testing"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/register"
	"asterridge/sim"
)

// An acceptor starts again with what its files prove: a torn or foreign file is named and left out, with what was built on it.
func TestAcceptorLoadsWhatItsFilesProve(t *testing.T) {
	is := is.New(t)
	d := sim.NewDisk()
	var noted []string
	open := func() *register.Acceptor {
		noted = nil
		k, err := register.OpenAcceptor(register.AcceptorOptions{Disk: d.Open(), OnChange: func(string, register.Record, register.Fields, bool) {},
			OnSkipped: func(_, file string, _ error) { noted = append(noted, file) }})
		is.NoErr(err)
		return k
	}
	k := open()
	base := register.Revision{}
	for v := uint64(1); v <= 4; v++ {
		next := register.Revision{Epoch: 257, Version: v}
		is.NoErr(k.Accept(register.Change{Key: "a/b c", Base: base, Next: next, Fields: register.Fields{string(rune('w' + v)): []byte(`1`)}}))
		base = next
	}
	_, err := k.Prepare("a/b c", 514, register.Revision{})
	is.NoErr(err)
	is.Equal(len(open().Read("a/b c").Fields), 4)
	folder := "ka%2Fb+c"
	d.Corrupt(folder, "v.0000000000000101.0000000000000003", func(raw []byte) []byte { return raw[:len(raw)-2] })
	d.Corrupt(folder, "notes.txt", func([]byte) []byte { return []byte("hello") })
	k = open()
	is.Equal(noted, []string{"notes.txt", "v.0000000000000101.0000000000000003", "v.0000000000000101.0000000000000004"})
	record := k.Read("a/b c")
	is.Equal(record.Revision, register.Revision{Epoch: 257, Version: 2})
	is.Equal(record.Promised, uint64(514)) // the promise stands
	is.True(k.IsDamaged())
	_, err = k.Prepare("a/b c", 771, register.Revision{}) // it does not know what it said yes to: no vote
	is.True(apierror.Is(err, apierror.Torn))
	err = k.Accept(register.Change{Key: "a/b c", Base: record.Revision, Next: register.Revision{Epoch: 257, Version: 5}})
	is.True(apierror.Is(err, apierror.Superseded))
	err = k.Accept(register.Change{Key: "a/b c", Base: base, Next: register.Revision{Epoch: 514, Version: 5}})
	is.True(apierror.Is(err, apierror.Behind))
	d.Fill(true)
	full := register.Change{Key: "a/b c", Next: register.Revision{Epoch: 514, Version: 5}, Full: true, Fields: register.Fields{"x": []byte(`1`)}}
	is.True(apierror.Is(k.Accept(full), apierror.DiskFailed))
	is.Equal(k.Revision("a/b c"), record.Revision) // no false yes
	d.Fill(false)
	is.NoErr(k.Accept(full))
	is.True(!k.IsDamaged())
	is.Equal(len(open().Read("a/b c").Fields), 1)
}

// What is settled under an earlier epoch settles the same version under a later one, and nothing else.
func TestSettledUnderAnEarlierEpochSettlesTheSameVersion(t *testing.T) {
	is := is.New(t)
	at := func(epoch, version uint64) register.Revision {
		return register.Revision{Epoch: epoch, Version: version}
	}
	is.True(register.IsCommitted(at(0, 0), at(0, 0)))
	is.True(register.IsCommitted(at(5, 4), at(5, 4)))
	is.True(register.IsCommitted(at(5, 4), at(4, 4)))  // adopted from a majority, and written again
	is.True(!register.IsCommitted(at(5, 4), at(4, 3))) // written on top of it, on one disk perhaps
	is.True(!register.IsCommitted(at(4, 4), at(5, 4))) // it may have lost to what is settled
}
