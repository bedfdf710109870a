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

// addSeenFlag defines the --seen flag, the version on which a change is conditional. Negative means that the operator named none;
// the verb then reads the current version.
func addSeenFlag(cmd *kingpin.CmdClause) *int64 {
	return cmd.Flag("seen", "Version that you saw. The change is refused if the object has another one.").
		Default("-1").PlaceHolder("VERSION").Int64()
}

// addResourceVerbs adds the verbs of one kind of object.
func (p *Program) addResourceVerbs(parent *kingpin.CmdClause, r resource) {
	if !slices.Contains(r.omittedVerbs, "set") {
		p.addSetVerb(parent.Command("set", "Create it, or change the given fields."), r)
	}
	p.addListVerb(parent.Command("list", "List all."), r)
	if !slices.Contains(r.omittedVerbs, "rm") {
		p.addRemoveVerb(parent.Command("rm", "Delete it, if nothing refers to it."), r)
	}
	switch r.kind {
	case afobject.KindKeys:
		p.addKeyVerbs(parent)
	case afobject.KindEndpoints:
		p.addLeaveVerb(parent.Command("leave", "Stop sending new work to it."))
	}
}

// addSetVerb adds the verb that creates an object or changes some of its fields.
func (p *Program) addSetVerb(cmd *kingpin.CmdClause, r resource) {
	var changes []fieldChange
	name := cmd.Arg("name", "Name.").Required().String()
	expectedVersion := addSeenFlag(cmd)
	for _, o := range r.options {
		f := cmd.Flag(o.flagName, o.help)
		v := optionValue{option: o, changes: &changes}
		if isBoolean(o) {
			f.SetValue(booleanOptionValue{v})
		} else {
			f.SetValue(v)
		}
	}
	p.registerVerb(cmd, func(ctx context.Context) error { return p.changeObject(ctx, r.kind, *name, *expectedVersion, changes) })
}

// isBoolean reports whether the option's value is a boolean.
func isBoolean(o option) bool {
	v, err := o.parse("true")
	return err == nil && v == true
}

// changeObject reads the object, applies the changes and writes the object back. The write is conditional on expectedVersion, or on
// the version read if expectedVersion is negative, so that it overwrites no concurrent change.
func (p *Program) changeObject(ctx context.Context, kind, name string, expectedVersion int64, changes []fieldChange) error {
	c := p.newClient()
	o, err := c.getObject(ctx, kind, name)
	if err != nil {
		return err
	}
	s, err := decodeSpec(o.Spec)
	if err != nil {
		return err
	}
	s["name"] = name
	for _, f := range changes {
		s.setValue(f.fieldPath, f.value)
	}
	b, err := json.Marshal(s)
	if err != nil {
		return &Error{Op: "set " + name, Kind: MalformedData, Err: err}
	}
	if expectedVersion < 0 {
		expectedVersion = o.Version
	}
	change, err := c.putObject(ctx, kind, name, expectedVersion, b)
	if err != nil {
		return err
	}
	return p.printChange(change)
}

// addLeaveVerb adds the verb that marks an endpoint as leaving.
func (p *Program) addLeaveVerb(cmd *kingpin.CmdClause) {
	name := cmd.Arg("name", "Name.").Required().String()
	p.registerVerb(cmd, func(ctx context.Context) error {
		o, err := p.newClient().getObject(ctx, afobject.KindEndpoints, *name)
		if err != nil {
			return err
		}
		// Without this check, a misspelt name would create an endpoint.
		if o.Version == 0 {
			return &Error{Op: "endpoint leave", Kind: RequestRefused, Err: fmt.Errorf("endpoints/%s does not exist", *name)}
		}
		return p.changeObject(ctx, afobject.KindEndpoints, *name, o.Version, []fieldChange{{fieldPath: []string{"leaving"}, value: true}})
	})
}

// addRemoveVerb adds the verb that deletes an object.
func (p *Program) addRemoveVerb(cmd *kingpin.CmdClause, r resource) {
	name := cmd.Arg("name", "Name.").Required().String()
	expectedVersion := addSeenFlag(cmd)
	p.registerVerb(cmd, func(ctx context.Context) error {
		c := p.newClient()
		if *expectedVersion < 0 {
			o, err := c.getObject(ctx, r.kind, *name)
			if err != nil {
				return err
			}
			*expectedVersion = o.Version
		}
		var change changeBody
		err := c.call(ctx, request{method: http.MethodDelete, path: objectPath(r.kind, *name), expectedVersion: expectedVersion}, &change)
		if err != nil {
			return err
		}
		return p.printChange(change)
	})
}

// addListVerb adds the verb that lists the objects of a kind.
func (p *Program) addListVerb(cmd *kingpin.CmdClause, r resource) {
	p.registerVerb(cmd, func(ctx context.Context) error {
		var raw []byte
		if err := p.newClient().call(ctx, request{method: http.MethodGet, path: "/v1/" + r.kind}, &raw); err != nil {
			return err
		}
		if p.printsJSON {
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

// printList prints objects as a table with a column for the name and one for each of columns.
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
		cells := []string{formatValue(s["name"])}
		for _, c := range columns {
			format := c.format
			if format == nil {
				format = formatValue
			}
			cells = append(cells, format(s.valueAt(c.fieldPath)))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}
