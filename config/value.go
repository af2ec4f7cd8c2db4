// Package config reads, checks and compiles what operators declare (docs/design.md §2.1, §7).
package config

import (
	"fmt"
	"regexp"

	"github.com/go-faster/jx"

	"asterridge/apierror"
)

// Value is one JSON value with its position in the operator's text, so that errors can name it.
type Value struct {
	raw  jx.Raw
	path string
	at   int // byte position, from 1
}

// Reject makes an error that names this value's path and position.
func (v Value) Reject(c apierror.Code, format string, args ...any) error {
	f := apierror.New(c, format, args...)
	f.Field, f.At = v.path, v.at
	return f
}

// Document checks that the whole text is one JSON value.
func Document(text []byte) (Value, error) {
	d := jx.DecodeBytes(text)
	if err := d.Validate(); err != nil {
		return Value{}, apierror.Wrap(err, apierror.Malformed, "read JSON")
	}
	return nested(text, jx.DecodeBytes(text), "", 1)
}

// nested takes the decoder's next value; its position shows in what is left of the text's capacity.
func nested(text []byte, d *jx.Decoder, path string, base int) (Value, error) {
	raw, err := d.Raw()
	if err != nil {
		return Value{}, apierror.Wrap(err, apierror.Malformed, "read "+path)
	}
	return Value{raw: raw, path: path, at: base + cap(text) - cap(raw)}, nil
}

// Raw is the value as it was written.
func (v Value) Raw() []byte { return v.raw }

// need rejects a value of another type.
func (v Value) need(t jx.Type, name string) error {
	if v.raw.Type() != t {
		return v.Reject(apierror.WrongType, "needs %s, has %s", name, v.raw.Type())
	}
	return nil
}

// Object reads a JSON object field by field, in its order. A field that is given twice is an error.
func (v Value) Object(read func(name string, field Value) error) error {
	if err := v.need(jx.Object, "an object"); err != nil {
		return err
	}
	d, met := jx.DecodeBytes(v.raw), map[string]bool{}
	return d.Obj(func(d *jx.Decoder, name string) error {
		field, err := nested(v.raw, d, join(v.path, name), v.at)
		if err != nil {
			return err
		}
		if met[name] {
			return field.Reject(apierror.RepeatField, "given twice")
		}
		met[name] = true
		return read(name, field)
	})
}

// join makes the path of a field.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// List reads a JSON array item by item.
func (v Value) List(read func(item Value) error) error {
	if err := v.need(jx.Array, "a list"); err != nil {
		return err
	}
	d, i := jx.DecodeBytes(v.raw), 0
	return d.Arr(func(d *jx.Decoder) error {
		item, err := nested(v.raw, d, fmt.Sprintf("%s[%d]", v.path, i), v.at)
		i++
		if err != nil {
			return err
		}
		return read(item)
	})
}

// Text reads a string.
func (v Value) Text() (string, error) {
	if err := v.need(jx.String, "a string"); err != nil {
		return "", err
	}
	s, err := jx.DecodeBytes(v.raw).Str()
	return s, apierror.Wrap(err, apierror.Malformed, "read "+v.path)
}

// plainName is what the name of an item may be.
var plainName = regexp.MustCompile(`^[\pL\pN][\pL\pN._-]{0,63}$`)

// Name reads a string that may name a thing.
func (v Value) Name() (string, error) {
	s, err := v.Text()
	if err == nil && !plainName.MatchString(s) {
		err = v.Reject(apierror.OutOfRange, "%q is no name: letters, digits, dot, dash, underscore; at most 64", s)
	}
	return s, err
}

// OneOf reads a string that is one of the given ones.
func (v Value) OneOf(words ...string) (string, error) {
	s, err := v.Text()
	if err != nil {
		return "", err
	}
	for _, word := range words {
		if s == word {
			return s, nil
		}
	}
	return "", v.Reject(apierror.OutOfRange, "%q is not one of %v", s, words)
}

// Flag reads true or false.
func (v Value) Flag() (bool, error) {
	if err := v.need(jx.Bool, "true or false"); err != nil {
		return false, err
	}
	b, err := jx.DecodeBytes(v.raw).Bool()
	return b, apierror.Wrap(err, apierror.Malformed, "read "+v.path)
}

// Integer reads a whole number within a range.
func (v Value) Integer(least, most int) (int, error) {
	if err := v.need(jx.Number, "a whole number"); err != nil {
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

// Figure reads a number within a range.
func (v Value) Figure(least, most float64) (float64, error) {
	if err := v.need(jx.Number, "a number"); err != nil {
		return 0, err
	}
	n, err := jx.DecodeBytes(v.raw).Float64()
	if err != nil || n < least || n > most {
		return 0, v.Reject(apierror.OutOfRange, "%s is not within %g to %g", v.raw, least, most)
	}
	return n, nil
}
