package disk

import (
	"errors"
	"os"
)

// Files has the file system operations that a Folder uses. If a name does not exist, the error matches fs.ErrNotExist.
type Files interface {
	MkdirAll(path string) error
	CreateTemp(folder, prefix string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	ReadFile(path string) ([]byte, error)
	ReadDir(path string) ([]Entry, error)
	// SyncDir makes the names in a folder survive a power loss.
	SyncDir(path string) error
}

// File is a file that is open for writing.
type File interface {
	Name() string
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

// Entry is a file or a folder within a folder.
type Entry struct {
	Name string
	Dir  bool
}

// systemFiles implements Files on the operating system's file system.
type systemFiles struct{}

// MkdirAll implements Files.
func (systemFiles) MkdirAll(path string) error { return os.MkdirAll(path, 0o755) }

// Rename implements Files.
func (systemFiles) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements Files.
func (systemFiles) Remove(path string) error { return os.Remove(path) }

// ReadFile implements Files.
func (systemFiles) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// CreateTemp implements Files.
func (systemFiles) CreateTemp(folder, prefix string) (File, error) {
	file, err := os.CreateTemp(folder, prefix)
	if err != nil {
		return nil, err // returning file here would give a non-nil interface that holds a nil *os.File
	}
	return file, nil
}

// ReadDir implements Files.
func (systemFiles) ReadDir(path string) ([]Entry, error) {
	list, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(list))
	for _, entry := range list {
		entries = append(entries, Entry{Name: entry.Name(), Dir: entry.IsDir()})
	}
	return entries, nil
}

// SyncDir implements Files.
func (systemFiles) SyncDir(path string) error {
	handle, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(handle.Sync(), handle.Close())
}
