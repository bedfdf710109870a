package afexample

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afsheet"
)

// TestFiles guards against example files that differ from the generator's current output.
func TestFiles(t *testing.T) {
	for _, d := range Deployments() {
		for name, want := range map[string][]byte{"config.json": d.FormatConfig(), "sheet.csv": d.FormatSheetCSV()} {
			got, err := os.ReadFile(filepath.Join("..", "..", "examples", d.Name, name))
			require.NoError(t, err)
			require.True(t, string(want) == string(got), "%s/%s is not current: run go generate ./internal/afexample", d.Name, name)
		}
	}
}

// TestSizes guards against example deployments that no longer have the numbers of models, endpoints and VMs for which the
// system is designed, and against demand sheets that do not parse.
func TestSizes(t *testing.T) {
	for _, want := range []struct {
		d                                  Deployment
		bases, adapters, runners, services int
	}{{Fuqaa(), 50, 40, 9, 3}, {Umurongo(), 65, 75, 12, 4}} {
		var adapters, runners, largest int
		modelNames := make(map[string]bool)
		for _, m := range want.d.Models {
			modelNames[m.Name] = true
			if m.IsAdapter() {
				adapters++
				require.True(t, modelNames[m.BaseName()], m.Name)
			}
			largest = max(largest, int(m.MemoryMB))
		}
		for _, e := range want.d.Endpoints {
			if e.MemoryMB > 0 {
				runners++
				require.GreaterOrEqual(t, int(e.MemoryMB), largest, "every model fits on every runner")
			}
		}
		require.Equal(t, want.adapters, adapters)
		require.Len(t, want.d.Models, want.bases+adapters)
		require.Equal(t, want.runners, runners)
		require.Len(t, want.d.Endpoints, runners+want.services)
		require.Len(t, want.d.VMs, 6)
		customers := make(map[string]arbutusfork.Customer)
		for _, c := range want.d.Customers {
			customers[c.Name] = c
		}
		checked, faults := afsheet.ParseCSV(want.d.FormatSheetCSV(), afsheet.Catalogue{
			ModelExists:    func(name string) bool { return modelNames[name] },
			CustomerExists: func(name string) bool { return customers[name].RatePerSecond > 0 },
		})
		require.Empty(t, faults)
		require.Len(t, checked.Rows, len(want.d.Sheet.Rows))
	}
}
