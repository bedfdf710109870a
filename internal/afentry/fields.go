package afentry

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

var errNotObject = errors.New("the body is not a JSON object")

// jsonMember is one member of a JSON object.
type jsonMember struct {
	key string
	// keyJSON is the key as JSON text, with quotes and escapes.
	keyJSON []byte
	// value is valid JSON. It is a slice of the parsed text.
	value []byte
}

// jsonObject holds the members of a JSON object in their order. Each key occurs once.
type jsonObject []jsonMember

// parseObject returns the members of a JSON object. If a key occurs more than once, the last value counts, as in
// encoding/json. It is used instead of decoding into a map because that copies every value, and encoding the map copies and
// validates each value again.
func parseObject(b []byte) (jsonObject, error) {
	if !json.Valid(b) {
		var v any
		return nil, json.Unmarshal(b, &v)
	}
	i := skipSpace(b, 0)
	if b[i] != '{' {
		return nil, errNotObject
	}
	var out jsonObject
	for i = skipSpace(b, i+1); b[i] != '}'; {
		end := endOfValue(b, i)
		keyJSON := b[i:end]
		key := string(b[i+1 : end-1])
		if strings.Contains(key, `\`) {
			_ = json.Unmarshal(keyJSON, &key) // The object is valid.
		}
		i = skipSpace(b, skipSpace(b, end)+1) // Skips the colon.
		end = endOfValue(b, i)
		out.putMember(key, keyJSON, b[i:end])
		if i = skipSpace(b, end); b[i] == ',' {
			i = skipSpace(b, i+1)
		}
	}
	return out, nil
}

// get returns the JSON value of the key, or nil if there is no such key.
func (o jsonObject) get(key string) []byte {
	for i := range o {
		if o[i].key == key {
			return o[i].value
		}
	}
	return nil
}

// set replaces the JSON value of the key, or appends the key. The key must not need escapes.
func (o *jsonObject) set(key string, value []byte) { o.putMember(key, []byte(`"`+key+`"`), value) }

// putMember replaces the value of the key, or appends the key as keyJSON.
func (o *jsonObject) putMember(key string, keyJSON, value []byte) {
	i := slices.IndexFunc(*o, func(x jsonMember) bool { return x.key == key })
	if i < 0 {
		*o = append(*o, jsonMember{key, keyJSON, value})
		return
	}
	(*o)[i].value = value
}

// encode returns the object as JSON text.
func (o jsonObject) encode() []byte {
	n := 2
	for _, x := range o {
		n += len(x.keyJSON) + len(x.value) + 2
	}
	b := append(make([]byte, 0, n), '{')
	for i, x := range o {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, x.keyJSON...), ':'), x.value...)
	}
	return append(b, '}')
}

// skipSpace returns the position of the first byte at or after i that is not white space.
func skipSpace(b []byte, i int) int {
	for b[i] == ' ' || b[i] == '\t' || b[i] == '\n' || b[i] == '\r' {
		i++
	}
	return i
}

// endOfValue returns the position after the JSON value that starts at i. The text must be valid JSON and must go on after
// the value.
func endOfValue(b []byte, i int) int {
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
