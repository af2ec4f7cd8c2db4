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

// Accepted numbers are stored as fixed-size records. Each recent record has its own field, so that a change writes little beyond its items;
// full groups of segmentSize records are merged into one segment field. After maxSegments segments the oldest is overwritten
// (docs/design.md §2.9).
const (
	numberField      = "number"
	acceptedPrefix   = "accepted/"
	segmentSize      = 64
	maxSegments      = 128 // 8,192 numbers: four days at 2,000 changes a day
	maxFormerDigests = 64  // maximum number of digests in the former format
)

// fingerprint is a hash that distinguishes numbered configurations with the same number.
type fingerprint [16]byte

// fingerprintOf hashes the concatenated parts.
func fingerprintOf(parts ...any) (f fingerprint) {
	sum := sha256.Sum256(fmt.Append(nil, parts...))
	copy(f[:], sum[:])
	return f
}

// fingerprint covers the text, the base number and whether the configuration is full: the same text declared as a partial configuration or on
// another base number counts as a different configuration.
func (d NumberedConfig) fingerprint() fingerprint {
	return fingerprintOf("whole=", d.Full, " based on ", d.BasedOn, " ", d.Digest)
}

// acceptedRecord is an accepted number with the fingerprint of the configuration accepted under it.
type acceptedRecord struct {
	number      uint64
	fingerprint fingerprint
}

// recordSize is the size of a stored record in bytes.
const recordSize = 8 + len(fingerprint{})

// append appends the encoded record to records.
func (r acceptedRecord) append(records []byte) []byte {
	return append(binary.BigEndian.AppendUint64(records, r.number), r.fingerprint[:]...)
}

// decodeFirst decodes the first of the encoded records.
func decodeFirst(records []byte) (r acceptedRecord) {
	r.number = binary.BigEndian.Uint64(records)
	copy(r.fingerprint[:], records[8:])
	return r
}

// numbering is the content of numberField: the current number and the state of the history.
type numbering struct {
	Number      uint64         `json:"number"`
	Count       uint64         `json:"count,omitempty"`     // how many numbers have been recorded
	DroppedUpTo uint64         `json:"forgotten,omitempty"` // highest number whose record was dropped: acceptance is unknown up to it
	Digests     []formerDigest `json:"digests,omitempty"`   // history in the former format, newest last
}

// formerDigest is an accepted number in the former storage format.
type formerDigest struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// acceptedHistory is the bounded history of accepted numbers.
type acceptedHistory struct {
	numbering
	fields register.Fields // encoded records by register field
}

// readNumbering decodes numberField, or returns the zero numbering if there is none yet. The error is apierror.Malformed.
func readNumbering(content register.Fields) (n numbering, err error) {
	if raw := content[numberField]; raw != nil {
		err = json.Unmarshal(raw, &n)
	}
	return n, apierror.Wrap(err, apierror.Malformed, "register field "+numberField)
}

// readAccepted decodes the history from a register's fields. It converts the former format, which kept the last maxFormerDigests digests in
// numberField.
func readAccepted(content register.Fields) (a acceptedHistory, err error) {
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
	if len(former) >= maxFormerDigests {
		a.DroppedUpTo = former[0].Number - 1
	}
	for _, d := range former {
		a.record(acceptedRecord{d.Number, fingerprintOf(d.Digest)})
	}
	return a, nil
}

// newestField names the field of a record that is not yet in a segment.
func newestField(position uint64) string { return fmt.Sprint(acceptedPrefix, "newest/", position) }

// segmentField names the field of a segment.
func segmentField(segment uint64) string { return fmt.Sprint(acceptedPrefix, "segment/", segment) }

// records returns the concatenated records of a field. JSON encodes them as a base64 string, which never contains escapes.
func (a acceptedHistory) records(field string) []byte {
	records, _ := base64.StdEncoding.DecodeString(strings.Trim(string(a.fields[field]), `"`)) // a missing field has no records
	return records
}

// put stores encoded records under a field.
func (a acceptedHistory) put(field string, records []byte) {
	a.fields[field], _ = json.Marshal(records) // a byte slice always encodes
}

// record adds a record to the history. The record that completes a segment moves the preceding ones into it.
func (a *acceptedHistory) record(r acceptedRecord) {
	position, segment := a.Count%segmentSize, a.Count/segmentSize%maxSegments
	a.Count++
	if position < segmentSize-1 {
		a.put(newestField(position), r.append(nil))
		return
	}
	var records []byte
	for earlier := range position {
		records = append(records, a.records(newestField(earlier))...)
		delete(a.fields, newestField(earlier))
	}
	if oldest := a.records(segmentField(segment)); len(oldest) > 0 {
		a.DroppedUpTo = decodeFirst(oldest[len(oldest)-recordSize:]).number
	}
	a.put(segmentField(segment), r.append(records))
}

// has reports whether the history records exactly this configuration as accepted.
func (a acceptedHistory) has(d NumberedConfig) bool {
	wanted, former := d.fingerprint(), fingerprintOf(d.Digest)
	for field := range a.fields {
		for records := a.records(field); len(records) >= recordSize; records = records[recordSize:] {
			if r := decodeFirst(records); r.number == d.Number {
				return r.fingerprint == wanted || r.fingerprint == former
			}
		}
	}
	return false
}

// mayHaveAccepted reports whether a configuration without a record may have been accepted, because its record would have been dropped.
func (a acceptedHistory) mayHaveAccepted(d NumberedConfig) bool {
	return d.BasedOn < d.Number && d.Number <= a.DroppedUpTo
}
