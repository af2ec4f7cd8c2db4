// Package disk keeps one file for each version, written aside and renamed (docs/design.md §2.5).
package disk

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"asterridge/fail"
)

// Disk is a flat set of folders with files. Put has the bytes synced when it returns nil.
type Disk interface {
	Put(folder, name string, data []byte) error
	Get(folder, name string) ([]byte, error)
	List(folder string) ([]string, error) // "" lists the folders
	Drop(folder, name string) error
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Seal puts a checksum line before the data.
func Seal(data []byte) []byte {
	head := fmt.Sprintf("asterridge1 %08x %d\n", crc32.Checksum(data, castagnoli), len(data))
	return append([]byte(head), data...)
}

// Open checks a sealed file and gives its data.
func Open(sealed []byte) ([]byte, error) {
	end := bytes.IndexByte(sealed, '\n')
	if end < 0 {
		return nil, fail.New(fail.Torn, "no first line")
	}
	var sum uint32
	var size int
	if _, err := fmt.Sscanf(string(sealed[:end]), "asterridge1 %x %d", &sum, &size); err != nil {
		return nil, fail.New(fail.Torn, "foreign first line")
	}
	data := sealed[end+1:]
	if len(data) != size || crc32.Checksum(data, castagnoli) != sum {
		return nil, fail.New(fail.Torn, "checksum does not fit")
	}
	return data, nil
}

// Folder is a Disk below one data folder of the machine.
type Folder struct{ Root string }

// NewFolder makes the data folder if need be.
func NewFolder(root string) (*Folder, error) {
	if err := os.MkdirAll(root, 0o755); err != nil {
		return nil, fail.Wrap(err, fail.DiskFailed, "make data folder")
	}
	// A process before this one may have made folders and died before they were synced.
	for _, dir := range []string{root, filepath.Dir(root)} {
		if err := syncFolder(dir); err != nil {
			return nil, err
		}
	}
	return &Folder{Root: root}, nil
}

// Put writes aside, syncs, renames and syncs the folder.
func (d *Folder) Put(folder, name string, data []byte) error {
	dir := filepath.Join(d.Root, folder)
	if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return fail.Wrap(err, fail.DiskFailed, "make folder")
		}
		if err := syncFolder(d.Root); err != nil {
			return err
		}
	}
	aside, err := os.CreateTemp(dir, ".aside-")
	if err != nil {
		return fail.Wrap(err, fail.DiskFailed, "create file")
	}
	_, err = aside.Write(Seal(data))
	if err == nil {
		err = aside.Sync()
	}
	if shut := aside.Close(); err == nil {
		err = shut
	}
	if err == nil {
		err = os.Rename(aside.Name(), filepath.Join(dir, name))
	}
	if err != nil {
		_ = os.Remove(aside.Name())
		return fail.Wrap(err, fail.DiskFailed, "write "+name)
	}
	return syncFolder(dir)
}

func syncFolder(dir string) error {
	handle, err := os.Open(dir)
	if err != nil {
		return fail.Wrap(err, fail.DiskFailed, "open folder")
	}
	defer handle.Close()
	return fail.Wrap(handle.Sync(), fail.DiskFailed, "sync folder")
}

// Get reads a file and checks its seal.
func (d *Folder) Get(folder, name string) ([]byte, error) {
	sealed, err := os.ReadFile(filepath.Join(d.Root, folder, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fail.New(fail.NotFound, "no file %s/%s", folder, name)
	}
	if err != nil {
		return nil, fail.Wrap(err, fail.DiskFailed, "read "+name)
	}
	return Open(sealed)
}

// List names the files of a folder, or the folders; what was left aside is dropped.
func (d *Folder) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(filepath.Join(d.Root, folder))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fail.Wrap(err, fail.DiskFailed, "list folder")
	}
	var names []string
	for _, entry := range entries {
		if entry.IsDir() != (folder == "") {
			continue
		}
		if entry.Name()[0] == '.' {
			_ = os.Remove(filepath.Join(d.Root, folder, entry.Name()))
			continue
		}
		names = append(names, entry.Name())
	}
	return names, nil
}

// Drop removes a file.
func (d *Folder) Drop(folder, name string) error {
	return fail.Wrap(os.Remove(filepath.Join(d.Root, folder, name)), fail.DiskFailed, "drop "+name)
}
