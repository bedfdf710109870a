package afverb

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
)

// The following functions are parsers of options. They return the value as decoding the spec's JSON would: numbers as
// json.Number, lists as []any.

func parseText(s string) (any, error) { return s, nil }

func parseTexts(s string) (any, error) {
	list := []any{}
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list, nil
}

func parseInteger(s string) (any, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return nil, errors.Errorf("%q is not a whole number", s)
	}
	return json.Number(strconv.FormatInt(n, 10)), nil
}

func parseNumber(s string) (any, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return nil, errors.Errorf("%q is not a number", s)
	}
	return json.Number(strconv.FormatFloat(f, 'g', -1, 64)), nil
}

// parseMillis parses a duration into a number of milliseconds.
func parseMillis(s string) (any, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d%time.Millisecond != 0 {
		return nil, errors.Errorf("%q is not a duration in whole milliseconds, such as 250ms or 30s", s)
	}
	return json.Number(strconv.FormatInt(d.Milliseconds(), 10)), nil
}

func parseBool(s string) (any, error) { return strconv.ParseBool(s) }

func parseServiceKind(s string) (any, error) {
	for _, k := range []arbutusfork.ServiceKind{arbutusfork.ServiceModel, arbutusfork.ServicePlain} {
		if strings.EqualFold(s, k.String()) {
			return json.Number(strconv.Itoa(int(k))), nil
		}
	}
	return nil, errors.Errorf("%q is neither model nor plain", s)
}

// The following functions format a field of a spec for a column of a list.

func formatValue(v any) string {
	if v == nil || v == "" {
		return "-"
	}
	return fmt.Sprint(v)
}

func formatBool(v any) string {
	if v == true {
		return "yes"
	}
	return "-"
}

// formatNames formats a list of names. An empty list admits all names.
func formatNames(v any) string {
	list, _ := v.([]any)
	if len(list) == 0 {
		return "all"
	}
	names := make([]string, 0, len(list))
	for _, n := range list {
		names = append(names, fmt.Sprint(n))
	}
	return strings.Join(names, ",")
}

// formatCount formats the length of a list of names. An empty list admits all names.
func formatCount(v any) string {
	list, _ := v.([]any)
	if len(list) == 0 {
		return "all"
	}
	return strconv.Itoa(len(list))
}

// formatMillis formats a number of milliseconds as a duration.
func formatMillis(v any) string {
	n, ok := v.(json.Number)
	if !ok {
		return "-"
	}
	ms, err := n.Int64()
	if err != nil {
		return n.String()
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func formatServiceKind(v any) string {
	n, _ := v.(json.Number)
	k, err := n.Int64()
	if err != nil {
		return "-"
	}
	return strings.ToLower(arbutusfork.ServiceKind(k).String())
}

// spec is a decoded object spec. Its numbers are of type json.Number, so that none loses digits.
type spec map[string]any

func decodeSpec(b []byte) (spec, error) {
	s := spec{}
	if len(b) == 0 {
		return s, nil
	}
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.UseNumber()
	if err := d.Decode(&s); err != nil {
		return nil, &Error{Op: "decode", Kind: MalformedData, Err: err}
	}
	return s, nil
}

// valueAt returns the value at the path, or nil if there is none.
func (s spec) valueAt(path []string) any {
	v, ok := s[path[0]]
	if !ok || len(path) == 1 {
		return v
	}
	inner, _ := v.(map[string]any)
	return spec(inner).valueAt(path[1:])
}

// setValue sets the value at the path and creates the nested objects that are missing.
func (s spec) setValue(path []string, v any) {
	if len(path) == 1 {
		s[path[0]] = v
		return
	}
	inner, ok := s[path[0]].(map[string]any)
	if !ok {
		inner = make(map[string]any)
		s[path[0]] = inner
	}
	spec(inner).setValue(path[1:], v)
}

// dropZeroValues returns decoded JSON without the fields that are zero or empty, so that a spec compares equal to one that leaves
// those fields out. It returns nil for a zero value.
func dropZeroValues(v any) any {
	switch v := v.(type) {
	case map[string]any:
		out := make(map[string]any)
		for name, inner := range v {
			if c := dropZeroValues(inner); c != nil {
				out[name] = c
			}
		}
		if len(out) == 0 {
			return nil
		}
		return out
	case []any:
		if len(v) == 0 {
			return nil
		}
	case json.Number:
		f, err := v.Float64()
		if err != nil {
			return v
		}
		if f == 0 {
			return nil
		}
		return f
	case string:
		if v == "" {
			return nil
		}
	case bool:
		if !v {
			return nil
		}
	}
	return v
}

// optionValue is the kingpin.Value of one option. It appends the parsed value to the changes, which all options of a verb share.
type optionValue struct {
	option  option
	changes *[]fieldChange
}

// fieldChange is a new value for one field of a spec.
type fieldChange struct {
	fieldPath []string
	value     any
}

// Set parses the text of the flag and appends the change.
func (p optionValue) Set(s string) error {
	v, err := p.option.parse(s)
	if err != nil {
		return err
	}
	*p.changes = append(*p.changes, fieldChange{fieldPath: p.option.fieldPath, value: v})
	return nil
}

// String returns the default, which is empty.
func (p optionValue) String() string { return "" }

// booleanOptionValue is the value of a boolean option, whose flag has no argument. Kingpin adds the negated flag --no-NAME.
type booleanOptionValue struct{ optionValue }

// IsBoolFlag returns true, which makes kingpin parse the flag without an argument.
func (booleanOptionValue) IsBoolFlag() bool { return true }
