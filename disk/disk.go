// Package disk keeps one file for each version, written aside and renamed (docs/design.md §2.5).
package disk

import (
	"bytes"
	"fmt"
	"hash/crc32"

	"asterridge/apierror"
)

// Disk is a flat set of folders with files. When Put returns nil, the file and all names of its folder survive a loss of power. When it
// returns an error, the file may be there all the same, and may come or go with a loss of power.
type Disk interface {
	Put(folder, name string, data []byte) error
	Get(folder, name string) ([]byte, error)
	List(folder string) ([]string, error) // "" lists the folders
	// Drop removes a file, if it is there. The removal survives a loss of power only after the next Put or Sync of the folder.
	Drop(folder, name string) error
	// Sync has the names of a folder, as they are now, survive a loss of power.
	Sync(folder string) error
}

// castagnoli is the polynomial of the checksums.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Seal puts a checksum line before the data.
func Seal(data []byte) []byte {
	head := fmt.Sprintf("asterridge1 %08x %d\n", crc32.Checksum(data, castagnoli), len(data))
	return append([]byte(head), data...)
}

// Open checks a sealed file and gives its data. The error is apierror.Torn if the seal does not fit.
func Open(sealed []byte) ([]byte, error) {
	end := bytes.IndexByte(sealed, '\n')
	if end < 0 {
		return nil, apierror.New(apierror.Torn, "no first line")
	}
	var sum uint32
	var size int
	if _, err := fmt.Sscanf(string(sealed[:end]), "asterridge1 %x %d", &sum, &size); err != nil {
		return nil, apierror.New(apierror.Torn, "foreign first line")
	}
	data := sealed[end+1:]
	if len(data) != size || crc32.Checksum(data, castagnoli) != sum {
		return nil, apierror.New(apierror.Torn, "checksum does not fit")
	}
	return data, nil
}
