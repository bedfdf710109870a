package afverb

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afsheet"
)

type sheetBody struct {
	Version int64                        `json:"version"`
	Rows    []arbutusfork.DemandSheetRow `json:"rows"`
	Source  string                       `json:"source"`
}

type checkBody struct {
	Rows   int             `json:"rows"`
	Faults []afsheet.Fault `json:"faults"`
}

type diffBody struct {
	Version int64               `json:"version"`
	Changes []afsheet.RowChange `json:"changes"`
}

type adjustBody struct {
	Model    string       `json:"model"`
	Customer string       `json:"customer"`
	From     string       `json:"from"`
	Requests *json.Number `json:"requests,omitempty"`
	Tokens   *json.Number `json:"tokens,omitempty"`
}

func (p *Program) sheetVerbs(app *kingpin.Application) {
	sheet := app.Command("sheet", "The demand sheet.")

	check := sheet.Command("check", "List every fault of a sheet.")
	checked := check.Arg("file", "CSV file, or - for standard input.").Required().String()
	p.verb(check, func(ctx context.Context) error { return p.checkSheet(ctx, *checked) })

	diff := sheet.Command("diff", "Show what accepting a sheet would change.")
	compared := diff.Arg("file", "CSV file, or - for standard input.").Required().String()
	p.verb(diff, func(ctx context.Context) error { return p.diffSheet(ctx, *compared) })

	accept := sheet.Command("accept", "Replace the accepted sheet.")
	accepted := accept.Arg("file", "CSV file, or - for standard input.").Required().String()
	seen := accept.Flag("seen", "Version that diff or show printed. The sheet is refused if another one is accepted now.").
		Required().PlaceHolder("VERSION").Int64()
	p.verb(accept, func(ctx context.Context) error {
		b, err := p.readFile(*accepted)
		if err != nil {
			return &Error{Op: "sheet accept", Kind: UsageError, Err: err}
		}
		return p.sendChange(ctx, request{method: http.MethodPost, path: "/v1/sheet/accept", seen: seen, body: b})
	})

	p.adjustVerb(sheet.Command("adjust", "Change one row."))

	show := sheet.Command("show", "Print the accepted sheet as CSV.")
	p.verb(show, p.showSheet)
}

func (p *Program) checkSheet(ctx context.Context, file string) error {
	b, err := p.readFile(file)
	if err != nil {
		return &Error{Op: "sheet check", Kind: UsageError, Err: err}
	}
	var v checkBody
	if err := p.client().call(ctx, request{method: http.MethodPost, path: "/v1/sheet/check", body: b}, &v); err != nil {
		return err
	}
	switch {
	case p.json:
		if err := p.printJSON(v); err != nil {
			return err
		}
	case len(v.Faults) == 0:
		p.say("%d rows, no faults", v.Rows)
	}
	if len(v.Faults) == 0 {
		return nil
	}
	if !p.json {
		for _, f := range v.Faults {
			p.say("%s:%s", file, f)
		}
	}
	return &Error{Op: "sheet check", Kind: InvalidSheet}
}

func (p *Program) diffSheet(ctx context.Context, file string) error {
	b, err := p.readFile(file)
	if err != nil {
		return &Error{Op: "sheet diff", Kind: UsageError, Err: err}
	}
	var v diffBody
	if err := p.client().call(ctx, request{method: http.MethodPost, path: "/v1/sheet/diff", body: b}, &v); err != nil {
		return err
	}
	if p.json {
		return p.printJSON(v)
	}
	for _, line := range changeLines(v.Changes) {
		p.say("%s", line)
	}
	p.say("%d changes; accept them with --seen %d", len(v.Changes), v.Version)
	return nil
}

func (p *Program) adjustVerb(cmd *kingpin.CmdClause) {
	var fields []patchField
	model := cmd.Arg("model", "Model.").Required().String()
	customer := cmd.Arg("customer", "Customer.").Required().String()
	from := cmd.Arg("from", "Start of the row as HH:MM.").Required().String()
	seen := seenFlag(cmd)
	for _, o := range []option{
		{"requests", []string{"requests"}, number, "Requests per hour."},
		{"tokens", []string{"tokens"}, whole, "Tokens per request."},
	} {
		cmd.Flag(o.flag, o.help).SetValue(patch{option: o, fields: &fields})
	}
	p.verb(cmd, func(ctx context.Context) error {
		q := adjustBody{Model: *model, Customer: *customer, From: *from}
		for _, f := range fields {
			n := f.value.(json.Number)
			if f.path[0] == "requests" {
				q.Requests = &n
			} else {
				q.Tokens = &n
			}
		}
		b, err := json.Marshal(q)
		if err != nil {
			return &Error{Op: "sheet adjust", Kind: MalformedData, Err: err}
		}
		if *seen < 0 {
			var v sheetBody
			if err := p.client().call(ctx, request{method: http.MethodGet, path: "/v1/sheet"}, &v); err != nil {
				return err
			}
			*seen = v.Version
		}
		return p.sendChange(ctx, request{method: http.MethodPatch, path: "/v1/sheet", seen: seen, body: b})
	})
}

func (p *Program) showSheet(ctx context.Context) error {
	var v sheetBody
	if err := p.client().call(ctx, request{method: http.MethodGet, path: "/v1/sheet"}, &v); err != nil {
		return err
	}
	if p.json {
		return p.printJSON(v)
	}
	_, _ = p.Stdout.Write(afsheet.FormatCSV(arbutusfork.DemandSheet{Rows: v.Rows}))
	// The version goes to the other stream, so that the output is a sheet.
	if v.Source == "vm" {
		p.complain("the platform is unavailable; this is the sheet that the VM holds")
	} else {
		p.complain("version %d", v.Version)
	}
	return nil
}
