package afentry

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

var errNotObject = errors.New("the body is not a JSON object")

// field is one member of a JSON object. The value is valid JSON and part of the object's text.
type field struct {
	key string
	// name is the key as JSON text.
	name  []byte
	value []byte
}

// fields are the members of a JSON object in their order. Each key occurs once.
type fields []field

// splitObject returns the members of a JSON object. A key that occurs again replaces the value before it, as in
// encoding/json. Decoding into a map copies every value, and encoding copies and checks it again.
func splitObject(b []byte) (fields, error) {
	if !json.Valid(b) {
		var v any
		return nil, json.Unmarshal(b, &v)
	}
	i := skipSpace(b, 0)
	if b[i] != '{' {
		return nil, errNotObject
	}
	var out fields
	for i = skipSpace(b, i+1); b[i] != '}'; {
		end := valueEnd(b, i)
		name := b[i:end]
		key := string(b[i+1 : end-1])
		if strings.Contains(key, `\`) {
			_ = json.Unmarshal(name, &key) // The object is valid.
		}
		i = skipSpace(b, skipSpace(b, end)+1) // Passes the colon.
		end = valueEnd(b, i)
		out.put(key, name, b[i:end])
		if i = skipSpace(b, end); b[i] == ',' {
			i = skipSpace(b, i+1)
		}
	}
	return out, nil
}

// get returns the value of the key, or nil.
func (f fields) get(key string) []byte {
	for i := range f {
		if f[i].key == key {
			return f[i].value
		}
	}
	return nil
}

// set replaces the value of the key or adds it at the end. The key needs no escapes.
func (f *fields) set(key string, value []byte) { f.put(key, []byte(`"`+key+`"`), value) }

func (f *fields) put(key string, name, value []byte) {
	i := slices.IndexFunc(*f, func(x field) bool { return x.key == key })
	if i < 0 {
		*f = append(*f, field{key, name, value})
		return
	}
	(*f)[i].value = value
}

// encode returns the object.
func (f fields) encode() []byte {
	n := 2
	for _, x := range f {
		n += len(x.name) + len(x.value) + 2
	}
	b := append(make([]byte, 0, n), '{')
	for i, x := range f {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, x.name...), ':'), x.value...)
	}
	return append(b, '}')
}

func skipSpace(b []byte, i int) int {
	for b[i] == ' ' || b[i] == '\t' || b[i] == '\n' || b[i] == '\r' {
		i++
	}
	return i
}

// valueEnd returns the position after the value that starts at i, in text that is valid JSON and does not end
// with the value.
func valueEnd(b []byte, i int) int {
	depth := 0
	for ; ; i++ {
		switch b[i] {
		case '"':
			for i++; b[i] != '"'; i++ {
				if b[i] == '\\' {
					i++
				}
			}
			if depth == 0 {
				return i + 1
			}
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return i
			}
			if depth--; depth == 0 {
				return i + 1
			}
		case ',', ' ', '\t', '\n', '\r':
			if depth == 0 {
				return i
			}
		}
	}
}
