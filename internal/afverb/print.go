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

// printChange prints the state of a change and, for an issued key, its clear text.
func (p *Program) printChange(c changeBody) error {
	if p.printsJSON {
		return p.printJSON(c)
	}
	state := c.State
	if c.Deleted {
		state = "deletion " + state
	}
	if c.Object.Version > 0 {
		p.printLine("%s/%s: %s at version %d", c.Object.Kind, c.Object.Name, state, c.Object.Version)
	} else {
		p.printLine("%s/%s: %s", c.Object.Kind, c.Object.Name, state)
	}
	if c.Secret != "" {
		p.printLine("%s", c.Secret)
	}
	return nil
}

// printRefusal prints the code, the message, both objects of a version conflict, and the faults and changes of a demand sheet.
func (p *Program) printRefusal(e *Error) {
	r := e.refusal
	if p.printsJSON {
		_, _ = p.Stdout.Write(r.rawAnswer)
		return
	}
	p.printError("%s: %s", r.Code, r.Message)
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
	for _, line := range formatChanges(r.Changes) {
		_, _ = fmt.Fprintf(p.Stderr, "  %s\n", line)
	}
}

// formatChanges returns one line for each added, deleted or changed row of a demand sheet.
func formatChanges(changes []afsheet.RowChange) []string {
	lines := make([]string, 0, len(changes))
	for _, c := range changes {
		switch {
		case c.OldRow == nil:
			lines = append(lines, fmt.Sprintf("+ %s %s", c.Key, formatRow(*c.NewRow)))
		case c.NewRow == nil:
			lines = append(lines, fmt.Sprintf("- %s %s", c.Key, formatRow(*c.OldRow)))
		default:
			lines = append(lines, fmt.Sprintf("~ %s %s -> %s", c.Key, formatRow(*c.OldRow), formatRow(*c.NewRow)))
		}
	}
	return lines
}

func formatRow(r arbutusfork.DemandSheetRow) string {
	return fmt.Sprintf("until %s: %g requests/h of %d tokens", afsheet.FormatTimeOfDay(r.EndMinute), r.RequestsPerHour, r.TokensPerRequest)
}

// printTree prints decoded JSON as indented lines, the fields of objects in order of name.
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
		p.printLine("%s%v", indent, v)
	}
}

// printField prints a field of an object or, with the title "-", an item of a list.
func (p *Program) printField(indent, title string, v any) {
	switch inner := v.(type) {
	case map[string]any:
		if title == "-" {
			p.printLine("%s- %s", indent, formatInline(inner))
			return
		}
		p.printLine("%s%s", indent, title)
		p.printTree(indent+"  ", inner)
	case []any:
		p.printLine("%s%s", indent, title)
		p.printTree(indent+"  ", inner)
	default:
		p.printLine("%s%s %v", indent, title, formatValue(v))
	}
}

// formatInline formats an object on one line.
func formatInline(m map[string]any) string {
	parts := make([]string, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		v := m[name]
		if inner, ok := v.(map[string]any); ok {
			parts = append(parts, name+"={"+formatInline(inner)+"}")
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", name, v))
	}
	return strings.Join(parts, " ")
}
