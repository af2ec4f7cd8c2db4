// Package config parses, validates and stores the configuration that operators declare (docs/design.md §2.1, §7).
package config

import (
	"fmt"
	"regexp"

	"github.com/go-faster/jx"

	"asterridge/apierror"
)

// Value is a JSON value with its path and position in the operator's text, for use in error messages.
type Value struct {
	raw    jx.Raw
	path   string
	offset int // byte position in the text, counted from 1
}

// Reject returns an error that carries the value's path and position.
func (v Value) Reject(code apierror.Code, format string, args ...any) error {
	rejection := apierror.New(code, format, args...)
	rejection.Field, rejection.At = v.path, v.offset
	return rejection
}

// Document returns the text as a Value after checking that it is exactly one JSON value.
func Document(text []byte) (Value, error) {
	d := jx.DecodeBytes(text)
	if err := d.Validate(); err != nil {
		return Value{}, apierror.Wrap(err, apierror.Malformed, "read JSON")
	}
	return nested(text, jx.DecodeBytes(text), "", 1)
}

// nested returns the decoder's next value. raw is a subslice of text, so the difference of their capacities is its offset.
func nested(text []byte, d *jx.Decoder, path string, parentOffset int) (Value, error) {
	raw, err := d.Raw()
	if err != nil {
		return Value{}, apierror.Wrap(err, apierror.Malformed, "read "+path)
	}
	return Value{raw: raw, path: path, offset: parentOffset + cap(text) - cap(raw)}, nil
}

// Raw returns the original JSON of the value.
func (v Value) Raw() []byte { return v.raw }

// requireType rejects a value that is not of type t.
func (v Value) requireType(t jx.Type, name string) error {
	if v.raw.Type() != t {
		return v.Reject(apierror.WrongType, "needs %s, has %s", name, v.raw.Type())
	}
	return nil
}

// Object calls read for each field of a JSON object, in order. A repeated field is an error.
func (v Value) Object(read func(name string, field Value) error) error {
	if err := v.requireType(jx.Object, "an object"); err != nil {
		return err
	}
	d, seen := jx.DecodeBytes(v.raw), map[string]bool{}
	return d.Obj(func(d *jx.Decoder, name string) error {
		field, err := nested(v.raw, d, joinPath(v.path, name), v.offset)
		if err != nil {
			return err
		}
		if seen[name] {
			return field.Reject(apierror.RepeatField, "given twice")
		}
		seen[name] = true
		return read(name, field)
	})
}

// joinPath appends a field name to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// List calls read for each item of a JSON array, in order.
func (v Value) List(read func(item Value) error) error {
	if err := v.requireType(jx.Array, "a list"); err != nil {
		return err
	}
	d, i := jx.DecodeBytes(v.raw), 0
	return d.Arr(func(d *jx.Decoder) error {
		item, err := nested(v.raw, d, fmt.Sprintf("%s[%d]", v.path, i), v.offset)
		i++
		if err != nil {
			return err
		}
		return read(item)
	})
}

// Text reads a string.
func (v Value) Text() (string, error) {
	if err := v.requireType(jx.String, "a string"); err != nil {
		return "", err
	}
	s, err := jx.DecodeBytes(v.raw).Str()
	return s, apierror.Wrap(err, apierror.Malformed, "read "+v.path)
}

// validName matches a valid item name.
var validName = regexp.MustCompile(`^[\pL\pN][\pL\pN._-]{0,63}$`)

// Name reads a string that is a valid item name.
func (v Value) Name() (string, error) {
	s, err := v.Text()
	if err == nil && !validName.MatchString(s) {
		err = v.Reject(apierror.OutOfRange, "%q is no name: letters, digits, dot, dash, underscore; at most 64", s)
	}
	return s, err
}

// OneOf reads a string that is one of the given ones.
func (v Value) OneOf(allowed ...string) (string, error) {
	s, err := v.Text()
	if err != nil {
		return "", err
	}
	for _, word := range allowed {
		if s == word {
			return s, nil
		}
	}
	return "", v.Reject(apierror.OutOfRange, "%q is not one of %v", s, allowed)
}

// Flag reads a boolean.
func (v Value) Flag() (bool, error) {
	if err := v.requireType(jx.Bool, "true or false"); err != nil {
		return false, err
	}
	b, err := jx.DecodeBytes(v.raw).Bool()
	return b, apierror.Wrap(err, apierror.Malformed, "read "+v.path)
}

// Integer reads an integer between least and most.
func (v Value) Integer(least, most int) (int, error) {
	if err := v.requireType(jx.Number, "a whole number"); err != nil {
		return 0, err
	}
	n, err := jx.DecodeBytes(v.raw).Int()
	if err != nil {
		return 0, v.Reject(apierror.WrongType, "%s is not a whole number", v.raw)
	}
	if n < least || n > most {
		return 0, v.Reject(apierror.OutOfRange, "%d is not within %d to %d", n, least, most)
	}
	return n, nil
}

// Figure reads a floating-point number between least and most.
func (v Value) Figure(least, most float64) (float64, error) {
	if err := v.requireType(jx.Number, "a number"); err != nil {
		return 0, err
	}
	n, err := jx.DecodeBytes(v.raw).Float64()
	if err != nil || n < least || n > most {
		return 0, v.Reject(apierror.OutOfRange, "%s is not within %g to %g", v.raw, least, most)
	}
	return n, nil
}
