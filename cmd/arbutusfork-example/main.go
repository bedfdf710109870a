// Command arbutusfork-example writes the example configurations and demand sheets into a directory.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"arbutusfork.example/arbutusfork/internal/afexample"
)

func main() {
	app := kingpin.New("arbutusfork-example", "Writes the example configurations and demand sheets.")
	dir := app.Arg("directory", "Directory to write to.").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	for _, d := range afexample.Deployments() {
		if err := writeExample(filepath.Join(*dir, d.Name), d); err != nil {
			fmt.Fprintln(os.Stderr, "arbutusfork-example:", err)
			os.Exit(1)
		}
	}
}

// writeExample writes the configuration and the demand sheet of a deployment into dir.
func writeExample(dir string, d afexample.Deployment) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "config.json"), d.FormatConfig(), 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "sheet.csv"), d.FormatSheetCSV(), 0o644)
}
