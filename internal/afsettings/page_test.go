package afsettings

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	pageName    = "OPERATIONS.md"
	beginMarker = "<!-- settings: begin -->\n"
	endMarker   = "<!-- settings: end -->\n"
)

var update = flag.Bool("update", false, "write the settings table into the operators' page")

// TestSettingsTableDocumented guards against a settings table in the operators' page that differs from the defined flags.
// With -update it writes the table.
func TestSettingsTableDocumented(t *testing.T) {
	name := filepath.Join("..", "..", "docs", pageName)
	b, err := os.ReadFile(name)
	require.NoError(t, err)
	head, rest, ok := strings.Cut(string(b), beginMarker)
	require.True(t, ok, "no line %q", beginMarker)
	table, tail, ok := strings.Cut(rest, endMarker)
	require.True(t, ok, "no line %q", endMarker)
	want := Settings{}.MarkdownTable()
	if *update {
		require.NoError(t, os.WriteFile(name, []byte(head+beginMarker+want+endMarker+tail), 0o644))
		return
	}
	require.Equal(t, want, table, "run go test ./internal/afsettings -update")
}
