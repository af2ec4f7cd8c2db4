package link

import (
	"testing"

	"github.com/matryer/is"

	"asterridge/register"
)

func TestSourceGivesChangesAfterANumberAndImages(t *testing.T) {
	is := is.New(t)
	s := NewSource(SourceOptions{})
	stamp := register.Stamp{Epoch: 1, Version: 1}
	s.Put("k", stamp, stamp, register.Fields{"a": []byte(`1`), "b": []byte(`2`)}, true)
	first, err := s.Pull(t.Context(), Ask{Name: "f"})
	is.NoErr(err)
	is.True(first.IsImage)
	is.Equal(len(first.Entries[0].Fields), 2)
	next := register.Stamp{Epoch: 1, Version: 2}
	s.Put("k", next, next, register.Fields{"a": nil}, false)
	second, err := s.Pull(t.Context(), Ask{Name: "f", Run: first.Run, From: first.Number})
	is.NoErr(err)
	is.True(!second.IsImage)
	is.Equal(len(second.Entries), 1)
	is.Equal(second.Entries[0].Stamp, next)
	is.Equal(len(second.Entries[0].Fields), 1) // b did not change
	is.True(register.IsGone(second.Entries[0].Fields["a"]))
}
