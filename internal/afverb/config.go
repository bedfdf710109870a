package afverb

import (
	"context"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/pkg/afcheck"
)

// currentConfiguration is the value of --against that stands for the configuration in force.
const currentConfiguration = "current"

// configCheckBody is the result of a check as JSON.
type configCheckBody struct {
	Findings []afcheck.Finding `json:"findings"`
	// Against is left out if nothing is compared.
	Against *configDiffBody `json:"against,omitempty"`
}

// configDiffBody lists the differences from another configuration, which has the version.
type configDiffBody struct {
	Version int64            `json:"version"`
	Changes []afcheck.Change `json:"changes"`
}

// addConfigVerbs adds the verbs about the configuration of the gateway, which the platform's store holds.
func (p *Program) addConfigVerbs(app *kingpin.Application) {
	cmd := app.Command("config", "The configuration of the gateway.")
	checkCmd := cmd.Command("check", "List what is wrong with a configuration. The exit code is 0 without findings, 1 with findings and 2 if the check could not run.")
	file := checkCmd.Arg("file", "JSON file in the form of the platform's store, or - for standard input.").Required().String()
	isCompared := false
	against := checkCmd.Flag("against", "Also show the differences from another file, or from the configuration in force with the value current: "+
		"--server then names the metrics address of the gateway on this VM.").PlaceHolder("current|FILE").IsSetByUser(&isCompared).String()
	output := checkCmd.Flag("output", "Form of the output: text or json.").Short('o').Default("text").Enum("text", "json")
	p.registerVerb(checkCmd, func(ctx context.Context) error {
		p.printsJSON = p.printsJSON || *output == "json"
		if isCompared && (*against == "" || *against == "-") {
			return &Error{Op: "config check", Kind: UsageError, Err: errors.New("config check: --against needs a file or the word current")}
		}
		return p.checkConfig(ctx, p.fileName(*file), *against)
	})
}

// checkConfig prints the findings about a configuration and, unless against is empty, the differences from another one. It returns
// an error of the kind ConfigFindings if there are findings. Differences are no findings, since a new configuration always has some.
func (p *Program) checkConfig(ctx context.Context, file, against string) error {
	fail := func(err error) error { return &Error{Op: "config check", Kind: CheckNotRun, Err: err} }
	if p.CheckConfiguration == nil || p.DescribeConfiguration == nil {
		return fail(errors.New("this program is built without the platform"))
	}
	spec, err := p.readFile(file)
	if err != nil {
		return fail(err)
	}
	body := configCheckBody{Findings: append([]afcheck.Finding{}, p.CheckConfiguration(spec)...)}
	if against != "" {
		old, err := p.readOtherConfig(ctx, against)
		if err != nil {
			return fail(err)
		}
		// The configuration cannot be compared if the daemon would refuse it. The findings tell so.
		if updated, err := p.DescribeConfiguration(spec); err == nil {
			body.Against = &configDiffBody{Version: old.Version, Changes: append([]afcheck.Change{}, afcheck.Diff(old, updated)...)}
			body.Findings = append(body.Findings, afcheck.CheckVersion(old, updated)...)
		}
	}
	if err := p.printConfigCheck(body); err != nil {
		return fail(err)
	}
	if len(body.Findings) > 0 {
		return &Error{Op: "config check", Kind: ConfigFindings}
	}
	return nil
}

// readOtherConfig returns the configuration that --against names.
func (p *Program) readOtherConfig(ctx context.Context, against string) (afcheck.Description, error) {
	if against == currentConfiguration {
		var d afcheck.Description
		err := p.newClient().call(ctx, request{method: http.MethodGet, path: "/configuration"}, &d)
		return d, err
	}
	spec, err := p.readFile(against)
	if err != nil {
		return afcheck.Description{}, err
	}
	d, err := p.DescribeConfiguration(spec)
	if err != nil {
		return afcheck.Description{}, errors.Wrap(err, against)
	}
	return d, nil
}

// printConfigCheck prints findings, then changes, then how many there are.
func (p *Program) printConfigCheck(body configCheckBody) error {
	if p.printsJSON {
		return p.printJSON(body)
	}
	errorCount := 0
	for _, f := range body.Findings {
		if f.Severity == afcheck.Error {
			errorCount++
		}
		p.printLine("%s", f)
	}
	if body.Against != nil {
		for _, c := range body.Against.Changes {
			p.printLine("%s", c)
		}
		p.printLine("%d changes from version %d", len(body.Against.Changes), body.Against.Version)
	}
	p.printLine("%d errors, %d warnings", errorCount, len(body.Findings)-errorCount)
	return nil
}
