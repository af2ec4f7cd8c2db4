// Package disk stores files with checksums and replaces them atomically: a file is written under a temporary name and then renamed
// (docs/design.md §2.5).
package disk

import (
	"bytes"
	"fmt"
	"hash/crc32"

	"asterridge/apierror"
)

// Disk is a set of folders, one level deep, that hold files. When Put returns nil, the file and all names in its folder survive a power
// loss. When Put returns an error, the file may exist nevertheless, and may appear or disappear after a power loss.
type Disk interface {
	Put(folder, name string, data []byte) error
	Get(folder, name string) ([]byte, error)
	List(folder string) ([]string, error) // "" lists the folders
	// Drop removes a file if it exists. The removal survives a power loss only after the next Put or Sync of the folder.
	Drop(folder, name string) error
	// Sync makes the current names in a folder survive a power loss.
	Sync(folder string) error
}

// castagnoli is the CRC-32 table for the checksums.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Seal returns the data with a first line that holds its checksum and size.
func Seal(data []byte) []byte {
	head := fmt.Sprintf("asterridge1 %08x %d\n", crc32.Checksum(data, castagnoli), len(data))
	return append([]byte(head), data...)
}

// Open verifies the checksum and size of a sealed file and returns its data. The error is apierror.Torn if they do not match.
func Open(sealed []byte) ([]byte, error) {
	end := bytes.IndexByte(sealed, '\n')
	if end < 0 {
		return nil, apierror.New(apierror.Torn, "file has no checksum line")
	}
	var sum uint32
	var size int
	if _, err := fmt.Sscanf(string(sealed[:end]), "asterridge1 %x %d", &sum, &size); err != nil {
		return nil, apierror.New(apierror.Torn, "file does not start with a checksum line")
	}
	data := sealed[end+1:]
	if len(data) != size || crc32.Checksum(data, castagnoli) != sum {
		return nil, apierror.New(apierror.Torn, "size or checksum does not match the data")
	}
	return data, nil
}
