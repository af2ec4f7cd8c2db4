package config

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"asterridge/apierror"
	"asterridge/register"
)

// The accepted numbers are remembered in records of one size: the newest each in a field of its own, so that a change writes little beside
// its items, and older ones in segments. Beyond maxSegments segments the oldest is forgotten (docs/design.md §2.9).
const (
	numberField    = "number"
	acceptedPrefix = "accepted/"
	segmentSize    = 64
	maxSegments    = 128 // 8,192 numbers: four days at 2,000 changes a day
	maxRemembered  = 64  // digests in the former format
)

// fingerprint tells numbered configurations of one number apart.
type fingerprint [16]byte

// fingerprintOf hashes a text.
func fingerprintOf(parts ...any) (f fingerprint) {
	sum := sha256.Sum256(fmt.Append(nil, parts...))
	copy(f[:], sum[:])
	return f
}

// fingerprint is that of the configuration: the same text as a whole one and as an amendment, or built on another number, is another
// configuration.
func (d NumberedConfig) fingerprint() fingerprint {
	return fingerprintOf("whole=", d.Full, " based on ", d.BasedOn, " ", d.Digest)
}

// acceptedRecord is one accepted number with the fingerprint of what was accepted under it.
type acceptedRecord struct {
	number      uint64
	fingerprint fingerprint
}

// recordSize is the size of a stored record in bytes.
const recordSize = 8 + len(fingerprint{})

// append adds the stored record to bytes.
func (r acceptedRecord) append(records []byte) []byte {
	return append(binary.BigEndian.AppendUint64(records, r.number), r.fingerprint[:]...)
}

// firstRecord reads a stored record.
func firstRecord(records []byte) (r acceptedRecord) {
	r.number = binary.BigEndian.Uint64(records)
	copy(r.fingerprint[:], records[8:])
	return r
}

// numbering is the field of the present number.
type numbering struct {
	Number    uint64         `json:"number"`
	Count     uint64         `json:"count,omitempty"`     // how many numbers were put to memory
	Forgotten uint64         `json:"forgotten,omitempty"` // of numbers up to this one it is not remembered whether they were accepted
	Digests   []formerDigest `json:"digests,omitempty"`   // the former format's memory, newest last
}

// formerDigest is an accepted number as an earlier build stored it.
type formerDigest struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// accepted is the memory of the accepted numbers.
type accepted struct {
	numbering
	fields register.Fields // of records
}

// readNumbering reads the field of the present number; the zero one if there is none yet. The error is apierror.Malformed.
func readNumbering(content register.Fields) (n numbering, err error) {
	if raw := content[numberField]; raw != nil {
		err = json.Unmarshal(raw, &n)
	}
	return n, apierror.Wrap(err, apierror.Malformed, "register field "+numberField)
}

// readAccepted reads the memory from a register's content, also in the form of an earlier build.
func readAccepted(content register.Fields) (a accepted, err error) {
	a.fields = register.Fields{}
	if a.numbering, err = readNumbering(content); err != nil {
		return a, err
	}
	for field, raw := range content {
		if strings.HasPrefix(field, acceptedPrefix) {
			a.fields[field] = raw
		}
	}
	former := a.Digests
	a.Digests = nil
	if len(former) >= maxRemembered {
		a.Forgotten = former[0].Number - 1
	}
	for _, d := range former {
		a.remember(acceptedRecord{d.Number, fingerprintOf(d.Digest)})
	}
	return a, nil
}

// newestField is the field of a newest record.
func newestField(at uint64) string { return fmt.Sprint(acceptedPrefix, "newest/", at) }

// segmentField is the field of a segment.
func segmentField(at uint64) string { return fmt.Sprint(acceptedPrefix, "segment/", at) }

// records gives a field's records, one after the other. Bytes stand in JSON as a base64 string without escapes.
func (a accepted) records(field string) []byte {
	records, _ := base64.StdEncoding.DecodeString(strings.Trim(string(a.fields[field]), `"`)) // no such field: no records
	return records
}

// put stores a record under a field.
func (a accepted) put(field string, records []byte) {
	a.fields[field], _ = json.Marshal(records) // bytes always encode
}

// remember adds a number to the memory. The last one of a segment takes those before it along.
func (a *accepted) remember(r acceptedRecord) {
	at, segment := a.Count%segmentSize, a.Count/segmentSize%maxSegments
	a.Count++
	if at < segmentSize-1 {
		a.put(newestField(at), r.append(nil))
		return
	}
	var records []byte
	for before := range at {
		records = append(records, a.records(newestField(before))...)
		delete(a.fields, newestField(before))
	}
	if oldest := a.records(segmentField(segment)); len(oldest) > 0 {
		a.Forgotten = firstRecord(oldest[len(oldest)-recordSize:]).number
	}
	a.put(segmentField(segment), r.append(records))
}

// has reports whether just this configuration is remembered as accepted.
func (a accepted) has(d NumberedConfig) bool {
	wanted, former := d.fingerprint(), fingerprintOf(d.Digest)
	for field := range a.fields {
		for records := a.records(field); len(records) >= recordSize; records = records[recordSize:] {
			if r := firstRecord(records); r.number == d.Number {
				return r.fingerprint == wanted || r.fingerprint == former
			}
		}
	}
	return false
}

// mayHave reports whether a configuration that is not remembered may have been accepted all the same, before the memory's end.
func (a accepted) mayHave(d NumberedConfig) bool {
	return d.BasedOn < d.Number && d.Number <= a.Forgotten
}
