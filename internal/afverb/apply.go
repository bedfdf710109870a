package afverb

import (
	"bytes"
	"context"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// applyBody is a file of objects by kind, each as its spec.
type applyBody struct {
	Customers []json.RawMessage `json:"customers"`
	Services  []json.RawMessage `json:"services"`
	Models    []json.RawMessage `json:"models"`
	Endpoints []json.RawMessage `json:"endpoints"`
	Routes    []json.RawMessage `json:"routes"`
	Keys      []json.RawMessage `json:"keys"`
}

type applyResult struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	State   string `json:"state"`
	Version int64  `json:"version"`
}

const stateUnchanged = "unchanged"

func (p *Program) applyVerb(app *kingpin.Application) {
	cmd := app.Command("apply", "Create or update the objects of a JSON file. Objects that it does not name stay.")
	file := cmd.Arg("file", "JSON file, or - for standard input.").Required().String()
	p.verb(cmd, func(ctx context.Context) error { return p.apply(ctx, *file) })
}

// apply writes in an order in which references exist: what others refer to comes first.
func (p *Program) apply(ctx context.Context, file string) error {
	b, err := p.readFile(file)
	if err != nil {
		return &Error{Op: "apply", Kind: UsageError, Err: err}
	}
	var v applyBody
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return &Error{Op: "apply " + file, Kind: MalformedData, Err: err}
	}
	counts := make(map[string]int)
	for _, group := range []struct {
		kind  string
		specs []json.RawMessage
	}{
		{afobject.KindCustomers, v.Customers},
		{afobject.KindServices, v.Services},
		{afobject.KindModels, v.Models},
		{afobject.KindEndpoints, v.Endpoints},
		{afobject.KindRoutes, v.Routes},
		{afobject.KindKeys, v.Keys},
	} {
		specs, err := decodeSpecs(group.kind, group.specs)
		if err != nil {
			return err
		}
		for _, s := range specs {
			result, err := p.applyOne(ctx, group.kind, s)
			if err != nil {
				return err
			}
			counts[result.State]++
			if err := p.printResult(result); err != nil {
				return err
			}
		}
	}
	if !p.json {
		p.say("%d accepted, %d unchanged, %d outstanding", counts["accepted"], counts[stateUnchanged],
			counts["committed, confirmation outstanding"])
	}
	return nil
}

// decodeSpecs returns the specs with base models ahead of adapters.
func decodeSpecs(kind string, list []json.RawMessage) ([]spec, error) {
	specs := make([]spec, 0, len(list))
	for i, raw := range list {
		s, err := decodeSpec(raw)
		if err != nil {
			return nil, err
		}
		if name, _ := s["name"].(string); name == "" {
			return nil, &Error{Op: "apply", Kind: MalformedData, Err: errors.Errorf("%s[%d] has no name", kind, i)}
		}
		specs = append(specs, s)
	}
	if kind == afobject.KindModels {
		slices.SortStableFunc(specs, func(a, b spec) int { return adapterRank(a) - adapterRank(b) })
	}
	return specs, nil
}

func adapterRank(s spec) int {
	name, _ := s["name"].(string)
	if (arbutusfork.Model{Name: name}).IsAdapter() {
		return 1
	}
	return 0
}

func (p *Program) applyOne(ctx context.Context, kind string, s spec) (applyResult, error) {
	name, _ := s["name"].(string)
	c := p.client()
	o, err := c.get(ctx, kind, name)
	if err != nil {
		return applyResult{}, err
	}
	current, err := decodeSpec(o.Spec)
	if err != nil {
		return applyResult{}, err
	}
	if o.Version > 0 && reflect.DeepEqual(compact(map[string]any(s)), compact(map[string]any(current))) {
		return applyResult{Kind: kind, Name: name, State: stateUnchanged, Version: o.Version}, nil
	}
	b, err := json.Marshal(s)
	if err != nil {
		return applyResult{}, &Error{Op: "apply " + kind + "/" + name, Kind: MalformedData, Err: err}
	}
	change, err := c.put(ctx, kind, name, o.Version, b)
	if err != nil {
		return applyResult{}, err
	}
	return applyResult{Kind: kind, Name: name, State: change.State, Version: change.Object.Version}, nil
}

func (p *Program) printResult(r applyResult) error {
	if p.json {
		return p.printJSON(r)
	}
	if r.State != stateUnchanged {
		p.say("%s/%s: %s at version %d", r.Kind, r.Name, r.State, r.Version)
	}
	return nil
}
