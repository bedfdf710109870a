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

// The parsers of options return a value in the JSON form of the spec.

func text(s string) (any, error) { return s, nil }

func texts(s string) (any, error) {
	list := []any{}
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list, nil
}

func whole(s string) (any, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return nil, errors.Errorf("%q is not a whole number", s)
	}
	return json.Number(strconv.FormatInt(n, 10)), nil
}

func number(s string) (any, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return nil, errors.Errorf("%q is not a number", s)
	}
	return json.Number(strconv.FormatFloat(f, 'g', -1, 64)), nil
}

func milliseconds(s string) (any, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d%time.Millisecond != 0 {
		return nil, errors.Errorf("%q is not a duration in whole milliseconds, such as 250ms or 30s", s)
	}
	return json.Number(strconv.FormatInt(d.Milliseconds(), 10)), nil
}

func flag(s string) (any, error) { return strconv.ParseBool(s) }

func serviceKind(s string) (any, error) {
	for _, k := range []arbutusfork.ServiceKind{arbutusfork.ServiceModel, arbutusfork.ServicePlain} {
		if strings.EqualFold(s, k.String()) {
			return json.Number(strconv.Itoa(int(k))), nil
		}
	}
	return nil, errors.Errorf("%q is neither model nor plain", s)
}

// The functions of columns show a value of a spec.

func plain(v any) string {
	if v == nil || v == "" {
		return "-"
	}
	return fmt.Sprint(v)
}

func yes(v any) string {
	if v == true {
		return "yes"
	}
	return "-"
}

func all(v any) string {
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

func count(v any) string {
	list, _ := v.([]any)
	if len(list) == 0 {
		return "all"
	}
	return strconv.Itoa(len(list))
}

func duration(v any) string {
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

func showServiceKind(v any) string {
	n, _ := v.(json.Number)
	k, err := n.Int64()
	if err != nil {
		return "-"
	}
	return strings.ToLower(arbutusfork.ServiceKind(k).String())
}

// spec is a decoded object spec. Numbers keep their text.
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

func (s spec) at(path []string) any {
	v, ok := s[path[0]]
	if !ok || len(path) == 1 {
		return v
	}
	inner, _ := v.(map[string]any)
	return spec(inner).at(path[1:])
}

func (s spec) set(path []string, v any) {
	if len(path) == 1 {
		s[path[0]] = v
		return
	}
	inner, ok := s[path[0]].(map[string]any)
	if !ok {
		inner = make(map[string]any)
		s[path[0]] = inner
	}
	spec(inner).set(path[1:], v)
}

// compact drops zero values, which a spec may leave out without a change of meaning.
func compact(v any) any {
	switch v := v.(type) {
	case map[string]any:
		out := make(map[string]any)
		for name, inner := range v {
			if c := compact(inner); c != nil {
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

// patch collects the fields that were set on the command line. It implements kingpin.Value per option.
type patch struct {
	option option
	fields *[]patchField
}

type patchField struct {
	path  []string
	value any
}

// Set parses one flag.
func (p patch) Set(s string) error {
	v, err := p.option.parse(s)
	if err != nil {
		return err
	}
	*p.fields = append(*p.fields, patchField{path: p.option.path, value: v})
	return nil
}

// String returns the empty default.
func (p patch) String() string { return "" }

// switchPatch is a patch of a flag without argument, which kingpin also offers as --no-flag.
type switchPatch struct{ patch }

// IsBoolFlag tells kingpin that the flag takes no argument.
func (switchPatch) IsBoolFlag() bool { return true }
