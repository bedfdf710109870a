package afverb

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// seenFlag defines the flag for the version that the operator saw. Negative means that the verb reads it itself.
func seenFlag(cmd *kingpin.CmdClause) *int64 {
	return cmd.Flag("seen", "Version that you saw. The change is refused if the object has another one.").
		Default("-1").PlaceHolder("VERSION").Int64()
}

func (p *Program) resourceVerbs(parent *kingpin.CmdClause, r resource) {
	if !slices.Contains(r.fixed, "set") {
		p.setVerb(parent.Command("set", "Create it, or change the given fields."), r)
	}
	p.listVerb(parent.Command("list", "List all."), r)
	if !slices.Contains(r.fixed, "rm") {
		p.removeVerb(parent.Command("rm", "Delete it, if nothing refers to it."), r)
	}
	switch r.kind {
	case afobject.KindKeys:
		p.keyVerbs(parent)
	case afobject.KindEndpoints:
		p.leaveVerb(parent.Command("leave", "Stop sending new work to it."))
	}
}

func (p *Program) setVerb(cmd *kingpin.CmdClause, r resource) {
	var fields []patchField
	name := cmd.Arg("name", "Name.").Required().String()
	seen := seenFlag(cmd)
	for _, o := range r.options {
		f := cmd.Flag(o.flag, o.help)
		v := patch{option: o, fields: &fields}
		if isSwitch(o) {
			f.SetValue(switchPatch{v})
		} else {
			f.SetValue(v)
		}
	}
	p.verb(cmd, func(ctx context.Context) error { return p.change(ctx, r.kind, *name, *seen, fields) })
}

// isSwitch reports whether the option is a boolean.
func isSwitch(o option) bool {
	v, err := o.parse("true")
	return err == nil && v == true
}

// change reads the object, patches it and writes it on condition that nobody changed it in between.
func (p *Program) change(ctx context.Context, kind, name string, seen int64, fields []patchField) error {
	c := p.client()
	o, err := c.get(ctx, kind, name)
	if err != nil {
		return err
	}
	s, err := decodeSpec(o.Spec)
	if err != nil {
		return err
	}
	s["name"] = name
	for _, f := range fields {
		s.set(f.path, f.value)
	}
	b, err := json.Marshal(s)
	if err != nil {
		return &Error{Op: "set " + name, Kind: MalformedData, Err: err}
	}
	if seen < 0 {
		seen = o.Version
	}
	change, err := c.put(ctx, kind, name, seen, b)
	if err != nil {
		return err
	}
	return p.printChange(change)
}

func (p *Program) leaveVerb(cmd *kingpin.CmdClause) {
	name := cmd.Arg("name", "Name.").Required().String()
	p.verb(cmd, func(ctx context.Context) error {
		o, err := p.client().get(ctx, afobject.KindEndpoints, *name)
		if err != nil {
			return err
		}
		// Without the check, the verb would create an endpoint when the name is misspelt.
		if o.Version == 0 {
			return &Error{Op: "endpoint leave", Kind: RequestRefused, Err: fmt.Errorf("endpoints/%s does not exist", *name)}
		}
		return p.change(ctx, afobject.KindEndpoints, *name, o.Version, []patchField{{path: []string{"leaving"}, value: true}})
	})
}

func (p *Program) removeVerb(cmd *kingpin.CmdClause, r resource) {
	name := cmd.Arg("name", "Name.").Required().String()
	seen := seenFlag(cmd)
	p.verb(cmd, func(ctx context.Context) error {
		c := p.client()
		if *seen < 0 {
			o, err := c.get(ctx, r.kind, *name)
			if err != nil {
				return err
			}
			*seen = o.Version
		}
		var change changeBody
		err := c.call(ctx, request{method: http.MethodDelete, path: objectPath(r.kind, *name), seen: seen}, &change)
		if err != nil {
			return err
		}
		return p.printChange(change)
	})
}

func (p *Program) listVerb(cmd *kingpin.CmdClause, r resource) {
	p.verb(cmd, func(ctx context.Context) error {
		var raw []byte
		if err := p.client().call(ctx, request{method: http.MethodGet, path: "/v1/" + r.kind}, &raw); err != nil {
			return err
		}
		if p.json {
			_, _ = p.Stdout.Write(raw)
			return nil
		}
		var list struct {
			Items []json.RawMessage `json:"items"`
		}
		if err := json.Unmarshal(raw, &list); err != nil {
			return &Error{Op: "list", Kind: MalformedData, Err: err}
		}
		return p.printList(r.columns, list.Items)
	})
}

func (p *Program) printList(columns []column, items []json.RawMessage) error {
	w := tabwriter.NewWriter(p.Stdout, 0, 0, 2, ' ', 0)
	titles := []string{"NAME"}
	for _, c := range columns {
		titles = append(titles, c.title)
	}
	_, _ = fmt.Fprintln(w, strings.Join(titles, "\t"))
	for _, item := range items {
		s, err := decodeSpec(item)
		if err != nil {
			return err
		}
		cells := []string{plain(s["name"])}
		for _, c := range columns {
			show := c.show
			if show == nil {
				show = plain
			}
			cells = append(cells, show(s.at(c.path)))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}
