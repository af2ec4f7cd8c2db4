package config

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/register"
)

// singlePathDeclaration returns a declaration with one path, based on the preceding number.
func singlePathDeclaration(number uint64) NumberedConfig {
	return declaration(number, number-1, number == 1, "pool/p", fmt.Sprint("path/", number%7))
}

// applyUpTo declares all numbers up to last. It returns the history bytes of the largest change and of all changes together.
func (r *testRegister) applyUpTo(is *is.I, last uint64) (largest, sum int) {
	is.Helper()
	for n := r.number() + 1; n <= last; n++ {
		change, err := r.apply(singlePathDeclaration(n))
		is.NoErr(err)
		size := historySize(change)
		largest, sum = max(largest, size), sum+size
	}
	return largest, sum
}

// historySize returns the bytes that the history takes up in a change or in a register's fields.
func historySize(fields register.Fields) (sum int) {
	for field, raw := range fields {
		if field == "number" || strings.HasPrefix(field, acceptedPrefix) {
			sum += len(field) + len(raw) + len(`"":,`)
		}
	}
	return sum
}

// A repeated declaration must be answered as accepted without a change, however many came after it, and a different declaration under its
// number must be rejected. Otherwise an operator that retries gets a wrong answer.
func TestRepeatedDeclarationIsAcceptedWithoutChange(t *testing.T) {
	is := is.New(t)
	r := &testRegister{fields: register.Fields{}}
	r.applyUpTo(is, 1000)
	before, version := r.texts(), r.version
	for n := uint64(1); n <= 1000; n++ {
		change, err := r.apply(singlePathDeclaration(n))
		is.NoErr(err)
		is.Equal(len(change), 0)
		_, err = r.apply(declaration(n, n-1, n == 1, "pool/p", "path/other")) // same number, different text
		is.True(apierror.Is(err, apierror.Conflict))
		otherKind := singlePathDeclaration(n)
		otherKind.Full = !otherKind.Full // same text, but full and partial swapped
		_, err = r.apply(otherKind)
		is.True(apierror.Is(err, apierror.Conflict))
	}
	is.Equal(r.texts(), before)
	is.Equal(r.version, version)
}

// The history's size and the bytes that a change writes to it are bounded. A number whose record was dropped is answered with Undecided.
func TestAcceptedHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	r := &testRegister{fields: register.Fields{}}
	const capacity = segmentSize * maxSegments
	_, first := r.applyUpTo(is, 640)
	is.True(first/640 <= 200)
	largest, _ := r.applyUpTo(is, capacity)
	size := historySize(r.fields)
	more, sum := r.applyUpTo(is, capacity+3*segmentSize+10)
	t.Logf("history bytes written per change: mean %d of the first 640, %d of the last %d, at most %d; history size %d bytes for %d numbers",
		first/640, sum/(3*segmentSize+10), 3*segmentSize+10, max(largest, more), size, capacity)
	is.True(sum/(3*segmentSize+10) <= 200)
	is.True(max(largest, more) <= 5000)
	is.True(historySize(r.fields) <= size+5000)
	is.True(size <= 40*capacity)
	forgotten := uint64(3 * segmentSize)
	for n := uint64(1); n <= capacity+3*segmentSize+10; n++ {
		if n > 2*forgotten && n <= capacity && n%29 != 0 {
			continue
		}
		change, err := r.apply(singlePathDeclaration(n))
		is.Equal(len(change), 0)
		if n <= forgotten {
			is.True(apierror.Is(err, apierror.Undecided))
		} else {
			is.NoErr(err)
		}
	}
	_, err := r.apply(declaration(forgotten, forgotten-2, false, "pool/p")) // may have been accepted
	is.True(apierror.Is(err, apierror.Undecided))
	_, err = r.apply(declaration(forgotten+1, forgotten-1, false, "pool/p")) // was not accepted: a different one has that number
	is.True(apierror.Is(err, apierror.Conflict))
	_, err = r.apply(declaration(forgotten, forgotten, false, "pool/p")) // could never have been accepted
	is.True(apierror.Is(err, apierror.Conflict))
	_, err = r.apply(declaration(capacity+3*segmentSize+11, forgotten, false, "pool/p")) // its number is above all accepted ones
	is.True(apierror.Is(err, apierror.Conflict))
}

// The former storage format, with the last 64 digests in one field, must still be readable, and the next change must convert it.
func TestFormerHistoryFormatIsRead(t *testing.T) {
	for _, count := range []int{1, 63, 64} {
		is := is.New(t)
		r := &testRegister{fields: register.Fields{}}
		last := uint64(100)
		r.applyUpTo(is, last)
		var digests []string
		for n := last - uint64(count) + 1; n <= last; n++ {
			digests = append(digests, fmt.Sprintf(`{"number":%d,"digest":%q}`, n, singlePathDeclaration(n).Digest))
		}
		for field := range r.fields {
			if strings.HasPrefix(field, acceptedPrefix) {
				delete(r.fields, field)
			}
		}
		r.fields["number"] = json.RawMessage(fmt.Sprintf(`{"number":%d,"digests":[%s]}`, last, strings.Join(digests, ",")))
		is.Equal(r.number(), last)
		for next := last + 1; next < last+3; next++ { // before and after the first change in the new format
			for n := uint64(1); n < next; n++ {
				change, err := r.apply(singlePathDeclaration(n))
				is.Equal(len(change), 0)
				switch {
				case n > last-uint64(count):
					is.NoErr(err)
				case count == maxFormerDigests:
					is.True(apierror.Is(err, apierror.Undecided)) // older ones may have been accepted and dropped
				default:
					is.True(apierror.Is(err, apierror.Conflict)) // the list was not full, so it is complete
				}
			}
			_, err := r.apply(singlePathDeclaration(next))
			is.NoErr(err)
		}
		is.True(!strings.Contains(string(r.fields["number"]), "digests"))
	}
}

// With concurrent operators that retry, reorder and use stale numbers, each declaration is accepted at most once, repetitions get the first
// answer, and a rejected declaration never takes effect.
func TestConcurrentOperatorsGetConsistentAnswers(t *testing.T) {
	for seed := range uint64(3000) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 2))
		r := &testRegister{fields: register.Fields{}}
		_, err := r.apply(declaration(1, 0, true, "pool/p"))
		is.NoErr(err)
		var sent []NumberedConfig
		verdicts := map[string]string{}
		contents := map[uint64]string{1: declaration(1, 0, true, "pool/p").Digest}
		operators := 2 + random.IntN(7)
		known := make([]uint64, operators) // number that each operator last read
		for range 40 {
			operator := random.IntN(operators)
			var d NumberedConfig
			switch roll := random.IntN(10); {
			case roll < 3:
				known[operator] = r.number()
				continue
			case roll < 6 && len(sent) > 0:
				d = sent[random.IntN(len(sent))]
			default:
				d = declaration(known[operator]+1+uint64(random.IntN(3)), known[operator], false, "pool/p", fmt.Sprint("path/", random.IntN(3)))
				sent = append(sent, d)
			}
			id := fmt.Sprint(d.Number, d.BasedOn, d.Digest)
			change, err := r.apply(d)
			verdict := "accepted"
			switch {
			case apierror.Is(err, apierror.Conflict), apierror.Is(err, apierror.OutOfRange):
				verdict = "refused"
			case err != nil:
				t.Fatalf("seed %d: %v", seed, err)
			case len(change) > 0:
				is.Equal(contents[d.Number], "") // at most one content per number
				contents[d.Number] = d.Digest
			default:
				is.Equal(contents[d.Number], d.Digest)
			}
			if before := verdicts[id]; before != "" && before != verdict {
				t.Fatalf("seed %d: %s was %s and is %s", seed, id, before, verdict)
			}
			verdicts[id] = verdict
		}
	}
}
