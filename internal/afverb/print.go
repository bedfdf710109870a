package afverb

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afsheet"
)

func (p *Program) printJSON(v any) error {
	e := json.NewEncoder(p.Stdout)
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

func (p *Program) printChange(c changeBody) error {
	if p.json {
		return p.printJSON(c)
	}
	state := c.State
	if c.Deleted {
		state = "deletion " + state
	}
	if c.Object.Version > 0 {
		p.say("%s/%s: %s at version %d", c.Object.Kind, c.Object.Name, state, c.Object.Version)
	} else {
		p.say("%s/%s: %s", c.Object.Kind, c.Object.Name, state)
	}
	if c.Secret != "" {
		p.say("%s", c.Secret)
	}
	return nil
}

// printRefusal shows the code, the message and, for a conflict, both versions.
func (p *Program) printRefusal(e *Error) {
	r := e.refusal
	if p.json {
		_, _ = p.Stdout.Write(r.raw)
		return
	}
	p.complain("%s: %s", r.Code, r.Message)
	for _, v := range []struct {
		title string
		body  json.RawMessage
	}{{"yours", r.Yours}, {"current", r.Current}} {
		if len(v.body) > 0 {
			_, _ = fmt.Fprintf(p.Stderr, "  %-8s %s\n", v.title+":", v.body)
		}
	}
	for _, f := range r.Faults {
		_, _ = fmt.Fprintf(p.Stderr, "  %s\n", f)
	}
	for _, line := range changeLines(r.Changes) {
		_, _ = fmt.Fprintf(p.Stderr, "  %s\n", line)
	}
}

func changeLines(changes []afsheet.RowChange) []string {
	lines := make([]string, 0, len(changes))
	for _, c := range changes {
		switch {
		case c.OldRow == nil:
			lines = append(lines, fmt.Sprintf("+ %s %s", c.Key, rowText(*c.NewRow)))
		case c.NewRow == nil:
			lines = append(lines, fmt.Sprintf("- %s %s", c.Key, rowText(*c.OldRow)))
		default:
			lines = append(lines, fmt.Sprintf("~ %s %s -> %s", c.Key, rowText(*c.OldRow), rowText(*c.NewRow)))
		}
	}
	return lines
}

func rowText(r arbutusfork.DemandSheetRow) string {
	return fmt.Sprintf("until %s: %g requests/h of %d tokens", afsheet.FormatTimeOfDay(r.EndMinute), r.RequestsPerHour, r.TokensPerRequest)
}

// printTree shows decoded JSON as indented lines in order of name.
func (p *Program) printTree(indent string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			p.printField(indent, name+":", v[name])
		}
	case []any:
		for _, item := range v {
			p.printField(indent, "-", item)
		}
	default:
		p.say("%s%v", indent, v)
	}
}

func (p *Program) printField(indent, title string, v any) {
	switch inner := v.(type) {
	case map[string]any:
		if title == "-" {
			p.say("%s- %s", indent, inline(inner))
			return
		}
		p.say("%s%s", indent, title)
		p.printTree(indent+"  ", inner)
	case []any:
		p.say("%s%s", indent, title)
		p.printTree(indent+"  ", inner)
	default:
		p.say("%s%s %v", indent, title, plain(v))
	}
}

// inline shows an object of a list on one line.
func inline(m map[string]any) string {
	parts := make([]string, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		v := m[name]
		if inner, ok := v.(map[string]any); ok {
			parts = append(parts, name+"={"+inline(inner)+"}")
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", name, v))
	}
	return strings.Join(parts, " ")
}
