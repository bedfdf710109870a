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
	page  = "OPERATIONS.md"
	begin = "<!-- settings: begin -->\n"
	end   = "<!-- settings: end -->\n"
)

var update = flag.Bool("update", false, "write the settings table into the operators' page")

// TestPage guards against an operators' page that differs from the flags. With -update it writes the table.
func TestPage(t *testing.T) {
	name := filepath.Join("..", "..", "docs", page)
	b, err := os.ReadFile(name)
	require.NoError(t, err)
	head, rest, ok := strings.Cut(string(b), begin)
	require.True(t, ok, "no line %q", begin)
	table, tail, ok := strings.Cut(rest, end)
	require.True(t, ok, "no line %q", end)
	want := Settings{}.MarkdownTable()
	if *update {
		require.NoError(t, os.WriteFile(name, []byte(head+begin+want+end+tail), 0o644))
		return
	}
	require.Equal(t, want, table, "run go test ./internal/afsettings -update")
}
