package afobject

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

var errNotSplittable = errors.New("not a complete JSON object or array")

// SplitObject returns the members of a JSON object by name, the last one of each name. Unlike json.Unmarshal it does not
// check the values, so that one value that is nested too deeply or is no JSON does not hide the others.
func SplitObject(text []byte) (map[string]json.RawMessage, error) {
	members := make(map[string]json.RawMessage)
	err := splitElements(text, '{', func(element []byte) error {
		end := stringEnd(element)
		if end < 0 {
			return errNotSplittable
		}
		var name string
		if err := json.Unmarshal(element[:end], &name); err != nil {
			return err
		}
		colon := skipSpace(element, end)
		if colon >= len(element) || element[colon] != ':' {
			return errNotSplittable
		}
		members[name] = json.RawMessage(element[skipSpace(element, colon+1):])
		return nil
	})
	return members, err
}

// SplitArray returns the elements of a JSON array, without checking them, like SplitObject. Null is an empty array.
func SplitArray(text []byte) (elements []json.RawMessage, err error) {
	if len(text) == 0 || bytes.Equal(text, []byte("null")) {
		return nil, nil
	}
	err = splitElements(text, '[', func(element []byte) error {
		elements = append(elements, json.RawMessage(element))
		return nil
	})
	return elements, err
}

// splitElements calls fn with each part between the commas of an object or array that begins with the bracket.
func splitElements(text []byte, bracket byte, fn func(element []byte) error) error {
	i := skipSpace(text, 0)
	if i >= len(text) || text[i] != bracket {
		return errNotSplittable
	}
	start, depth := skipSpace(text, i+1), 1
	for i++; i < len(text); i++ {
		switch c := text[i]; c {
		case '"':
			end := stringEnd(text[i:])
			if end < 0 {
				return errNotSplittable
			}
			i += end - 1
			continue
		case '[', '{':
			depth++
			continue
		case ']', '}':
			depth--
		case ',':
		default:
			continue
		}
		isEnd := depth == 0
		if !isEnd && (depth > 1 || text[i] != ',') {
			continue
		}
		if element := bytes.TrimRight(text[start:i], " \t\r\n"); !isEnd || len(element) > 0 {
			if err := fn(element); err != nil {
				return err
			}
		}
		if isEnd {
			if skipSpace(text, i+1) != len(text) || text[i] != bracket+2 {
				return errNotSplittable
			}
			return nil
		}
		start = skipSpace(text, i+1)
	}
	return errNotSplittable
}

// stringEnd returns the index after the string at the beginning of the text, or -1.
func stringEnd(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return -1
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return -1
}

// skipSpace returns the index of the first byte from i on that is no JSON white space.
func skipSpace(text []byte, i int) int {
	for i < len(text) && (text[i] == ' ' || text[i] == '\t' || text[i] == '\r' || text[i] == '\n') {
		i++
	}
	return i
}
