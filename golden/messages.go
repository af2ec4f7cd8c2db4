package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// Message is one kind of message between processes, under the name that its golden file keeps whatever the Go type is called.
type Message struct {
	Name string
	Type any
}

// CompareMessages compares the JSON form of each message with the golden file at path. Every field, nested ones too, gets a value that
// is not its zero value, so that the file shows all field names and forms. Each form must also survive being read and written again.
func CompareMessages(t *testing.T, path string, messages []Message) {
	t.Helper()
	var text strings.Builder
	for _, m := range messages {
		filled := reflect.New(reflect.TypeOf(m.Type))
		fill(filled.Elem(), 0)
		raw, err := json.MarshalIndent(filled.Interface(), "", " ")
		if err != nil {
			t.Fatalf("%s: %v", m.Name, err)
		}
		again := reflect.New(reflect.TypeOf(m.Type))
		if err := json.Unmarshal(raw, again.Interface()); err != nil {
			t.Fatalf("%s: %v", m.Name, err)
		}
		if repeated, err := json.MarshalIndent(again.Interface(), "", " "); err != nil || string(repeated) != string(raw) {
			t.Errorf("%s does not survive reading and writing: %v\n%s\n%s", m.Name, err, raw, repeated)
		}
		fmt.Fprintf(&text, "%s\n%s\n\n", m.Name, raw)
	}
	Compare(t, path, text.String())
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

// fill sets a value and all that it holds to something that is not zero. Types that hold themselves are filled two levels deep.
func fill(v reflect.Value, depth int) {
	if v.Type() == rawMessage {
		v.SetBytes([]byte(`{"raw":1}`))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("text")
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(7)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(7)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(0.5)
	case reflect.Struct:
		fillStruct(v, depth)
	case reflect.Pointer:
		if depth < 4 {
			v.Set(reflect.New(v.Type().Elem()))
			fill(v.Elem(), depth+1)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		fillMap(v, depth)
	}
}

func fillStruct(v reflect.Value, depth int) {
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() && depth < 6 {
			fill(v.Field(i), depth+1)
		}
	}
}

func fillMap(v reflect.Value, depth int) {
	key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	fill(key, depth+1)
	fill(value, depth+1)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}
