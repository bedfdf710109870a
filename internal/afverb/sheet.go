package afverb

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afsheet"
)

// sheetBody is the accepted demand sheet in an answer.
type sheetBody struct {
	Version int64                        `json:"version"`
	Rows    []arbutusfork.DemandSheetRow `json:"rows"`
	Source  string                       `json:"source"`
}

// sheetCheckBody is the answer to a check of a sheet.
type sheetCheckBody struct {
	Rows   int             `json:"rows"`
	Faults []afsheet.Fault `json:"faults"`
}

// sheetDiffBody lists the differences between the accepted sheet, which has the version, and the sheet of the request.
type sheetDiffBody struct {
	Version int64               `json:"version"`
	Changes []afsheet.RowChange `json:"changes"`
}

// adjustSheetBody is the request to change one row. A nil field stays as it is.
type adjustSheetBody struct {
	Model    string       `json:"model"`
	Customer string       `json:"customer"`
	From     string       `json:"from"`
	Requests *json.Number `json:"requests,omitempty"`
	Tokens   *json.Number `json:"tokens,omitempty"`
}

// addSheetVerbs adds the verbs of the demand sheet.
func (p *Program) addSheetVerbs(app *kingpin.Application) {
	sheetCmd := app.Command("sheet", "The demand sheet.")

	checkCmd := sheetCmd.Command("check", "List every fault of a sheet.")
	checkFile := checkCmd.Arg("file", "CSV file, or - for standard input.").Required().String()
	p.registerVerb(checkCmd, func(ctx context.Context) error { return p.checkSheet(ctx, p.fileName(*checkFile)) })

	diffCmd := sheetCmd.Command("diff", "Show what accepting a sheet would change.")
	diffFile := diffCmd.Arg("file", "CSV file, or - for standard input.").Required().String()
	p.registerVerb(diffCmd, func(ctx context.Context) error { return p.diffSheet(ctx, p.fileName(*diffFile)) })

	acceptCmd := sheetCmd.Command("accept", "Replace the accepted sheet.")
	acceptFile := acceptCmd.Arg("file", "CSV file, or - for standard input.").Required().String()
	expectedVersion := acceptCmd.Flag("seen", "Version that diff or show printed. The sheet is refused if another one is accepted now.").
		Required().PlaceHolder("VERSION").Int64()
	p.registerVerb(acceptCmd, func(ctx context.Context) error {
		b, err := p.readFile(p.fileName(*acceptFile))
		if err != nil {
			return &Error{Op: "sheet accept", Kind: UsageError, Err: err}
		}
		return p.sendChange(ctx, request{method: http.MethodPost, path: "/v1/sheet/accept", expectedVersion: expectedVersion, body: b})
	})

	p.addAdjustVerb(sheetCmd.Command("adjust", "Change one row."))

	showCmd := sheetCmd.Command("show", "Print the accepted sheet as CSV.")
	p.registerVerb(showCmd, p.showSheet)
}

// checkSheet prints the faults of a sheet and returns an InvalidSheet error if there are any.
func (p *Program) checkSheet(ctx context.Context, file string) error {
	b, err := p.readFile(file)
	if err != nil {
		return &Error{Op: "sheet check", Kind: UsageError, Err: err}
	}
	var v sheetCheckBody
	if err := p.newClient().call(ctx, request{method: http.MethodPost, path: "/v1/sheet/check", body: b}, &v); err != nil {
		return err
	}
	switch {
	case p.printsJSON:
		if err := p.printJSON(v); err != nil {
			return err
		}
	case len(v.Faults) == 0:
		p.printLine("%d rows, no faults", v.Rows)
	}
	if len(v.Faults) == 0 {
		return nil
	}
	if !p.printsJSON {
		for _, f := range v.Faults {
			p.printLine("%s:%s", file, f)
		}
	}
	return &Error{Op: "sheet check", Kind: InvalidSheet}
}

// diffSheet prints the changes that accepting a sheet would make, and the version of the accepted sheet.
func (p *Program) diffSheet(ctx context.Context, file string) error {
	b, err := p.readFile(file)
	if err != nil {
		return &Error{Op: "sheet diff", Kind: UsageError, Err: err}
	}
	var v sheetDiffBody
	if err := p.newClient().call(ctx, request{method: http.MethodPost, path: "/v1/sheet/diff", body: b}, &v); err != nil {
		return err
	}
	if p.printsJSON {
		return p.printJSON(v)
	}
	for _, line := range formatChanges(v.Changes) {
		p.printLine("%s", line)
	}
	p.printLine("%d changes; accept them with --seen %d", len(v.Changes), v.Version)
	return nil
}

// addAdjustVerb adds the verb that changes one row of the accepted sheet.
func (p *Program) addAdjustVerb(cmd *kingpin.CmdClause) {
	var changes []fieldChange
	model := cmd.Arg("model", "Model.").Required().String()
	customer := cmd.Arg("customer", "Customer.").Required().String()
	from := cmd.Arg("from", "Start of the row as HH:MM.").Required().String()
	expectedVersion := addSeenFlag(cmd)
	for _, o := range []option{
		{"requests", []string{"requests"}, parseNumber, "Requests per hour."},
		{"tokens", []string{"tokens"}, parseInteger, "Tokens per request."},
	} {
		cmd.Flag(o.flagName, o.help).SetValue(optionValue{option: o, changes: &changes})
	}
	p.registerVerb(cmd, func(ctx context.Context) error {
		body := adjustSheetBody{Model: *model, Customer: *customer, From: *from}
		for _, f := range changes {
			n := f.value.(json.Number)
			if f.fieldPath[0] == "requests" {
				body.Requests = &n
			} else {
				body.Tokens = &n
			}
		}
		b, err := json.Marshal(body)
		if err != nil {
			return &Error{Op: "sheet adjust", Kind: MalformedData, Err: err}
		}
		if *expectedVersion < 0 {
			var v sheetBody
			if err := p.newClient().call(ctx, request{method: http.MethodGet, path: "/v1/sheet"}, &v); err != nil {
				return err
			}
			*expectedVersion = v.Version
		}
		return p.sendChange(ctx, request{method: http.MethodPatch, path: "/v1/sheet", expectedVersion: expectedVersion, body: b})
	})
}

// showSheet prints the accepted sheet.
func (p *Program) showSheet(ctx context.Context) error {
	var v sheetBody
	if err := p.newClient().call(ctx, request{method: http.MethodGet, path: "/v1/sheet"}, &v); err != nil {
		return err
	}
	if p.printsJSON {
		return p.printJSON(v)
	}
	_, _ = p.Stdout.Write(afsheet.FormatCSV(arbutusfork.DemandSheet{Rows: v.Rows}))
	// The version goes to Stderr, so that Stdout holds a valid sheet.
	if v.Source == "vm" {
		p.printError("the platform is unavailable; this is the sheet that the VM holds")
	} else {
		p.printError("version %d", v.Version)
	}
	return nil
}
