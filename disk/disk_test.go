package disk

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"asterridge/apierror"
)

func TestFolderReadsSealedFilesAndReportsTornOnes(t *testing.T) {
	is := is.New(t)
	d, err := NewFolder(filepath.Join(t.TempDir(), "data"))
	is.NoErr(err)
	is.NoErr(d.Put("k", "v.1", []byte(`{"a":1}`)))
	got, err := d.Get("k", "v.1")
	is.NoErr(err)
	is.Equal(string(got), `{"a":1}`)
	is.NoErr(d.Put("k", "v.1", nil)) // overwritten with empty data
	got, err = d.Get("k", "v.1")
	is.NoErr(err)
	is.Equal(len(got), 0)
	_, err = d.Get("k", "v.2")
	is.True(apierror.Is(err, apierror.NotFound))
	path := filepath.Join(d.Root, "k", "v.3")
	sealed := Seal([]byte(`{"a":1}`))
	for _, torn := range [][]byte{nil, sealed[:5], sealed[:len(sealed)-1], append([]byte("other"), sealed...), append(sealed[:len(sealed)-1:len(sealed)-1], '?')} {
		is.NoErr(os.WriteFile(path, torn, 0o644))
		_, err = d.Get("k", "v.3")
		is.True(apierror.Is(err, apierror.Torn))
	}
	is.NoErr(os.WriteFile(filepath.Join(d.Root, "k", ".aside-7"), sealed, 0o644))
	names, err := d.List("k")
	is.NoErr(err)
	is.Equal(names, []string{"v.1", "v.3"}) // List skips and removes the temporary file of a crashed write
	folders, err := d.List("")
	is.NoErr(err)
	is.Equal(folders, []string{"k"})
	is.NoErr(os.RemoveAll(d.Root))
	is.NoErr(os.WriteFile(d.Root, nil, 0o644)) // the root is no longer a folder: writes must report an error
	is.True(apierror.Is(d.Put("k", "v.1", nil), apierror.DiskFailed))
}
