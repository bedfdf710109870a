package afnode

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// logging names the packages of the gateway that write log lines.
var logging = []string{
	"../afnode", "../affeed", "../afkeeper", "../afgateway", "../aflog", "../afentry", "../../platform",
}

// TestLogLinesDocumented guards against log lines that the operators' page does not explain, and against rows for
// lines or fields that no longer exist.
func TestLogLinesDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	written, documented := logLines(t), rows(t, string(page), "log lines")
	// The writer makes this line itself, without a logger.
	written["log lines left out"] = map[string]bool{"count": true}
	for _, msg := range slices.Sorted(maps.Keys(written)) {
		fields, ok := documented[msg]
		if !ok {
			t.Errorf("docs/OPERATIONS.md has no row for %q with %v", msg, slices.Sorted(maps.Keys(written[msg])))
			continue
		}
		require.Equal(t, slices.Sorted(maps.Keys(written[msg])), slices.Sorted(maps.Keys(fields)), "fields of %q", msg)
	}
	for msg := range documented {
		require.Contains(t, written, msg, "docs/OPERATIONS.md explains a line that is not written")
	}
}

// metricName matches the names that the gateway registers.
var metricName = regexp.MustCompile(`"(arbutusfork_[a-z_]+)"`)

// TestMetricsDocumented guards against metrics that the operators' page does not explain, and against rows for metrics that
// no longer exist.
func TestMetricsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	documented := rows(t, string(page), "metrics")
	registered := map[string]bool{}
	for _, name := range sources(t) {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		for _, m := range metricName.FindAllStringSubmatch(string(text), -1) {
			registered[m[1]] = true
		}
	}
	require.NotEmpty(t, registered)
	require.Equal(t, slices.Sorted(maps.Keys(registered)), slices.Sorted(maps.Keys(documented)))
}

// rows reads a table between two marks of the page: the names in the first and in the second column.
func rows(t *testing.T, page, mark string) map[string]map[string]bool {
	t.Helper()
	_, rest, ok := strings.Cut(page, "<!-- "+mark+": begin -->")
	require.True(t, ok, "the page has no table of %s", mark)
	table, _, ok := strings.Cut(rest, "<!-- "+mark+": end -->")
	require.True(t, ok)
	out := map[string]map[string]bool{}
	for line := range strings.Lines(table) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 {
			continue
		}
		for _, name := range quoted(cells[1]) {
			out[name] = map[string]bool{}
			for _, field := range quoted(cells[2]) {
				out[name][field] = true
			}
		}
	}
	return out
}

// quoted returns the texts between backquotes.
func quoted(cell string) []string {
	var out []string
	for i, part := range strings.Split(cell, "`") {
		if i%2 == 1 {
			out = append(out, part)
		}
	}
	return out
}

// logLines returns the fields of every line that the packages log, by message.
func logLines(t *testing.T) map[string]map[string]bool {
	t.Helper()
	out := map[string]map[string]bool{}
	for _, name := range sources(t) {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		require.NoError(t, err)
		for _, d := range file.Decls {
			collect(d, out)
		}
	}
	return out
}

// sources returns the files of the gateway's packages that are not tests.
func sources(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, dir := range logging {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		require.NoError(t, err)
		require.NotEmpty(t, files, dir)
		for _, name := range files {
			if !strings.HasSuffix(name, "_test.go") {
				out = append(out, name)
			}
		}
	}
	return out
}

// collect adds the lines of one declaration. A line with ready attributes has all that its function makes.
func collect(d ast.Decl, out map[string]map[string]bool) {
	attrs, whole := map[string]bool{}, ""
	ast.Inspect(d, func(n ast.Node) bool {
		c, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		s, ok := c.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if x, ok := s.X.(*ast.Ident); ok && x.Name == "slog" && len(c.Args) == 2 {
			if key, ok := literal(c.Args[0]); ok {
				attrs[key] = true
			}
			return true
		}
		first := 0
		switch s.Sel.Name {
		case "Debug", "Info", "Warn", "Error":
		case "Log", "LogAttrs":
			first = 2 // The context and the level come before the message.
		default:
			return true
		}
		if len(c.Args) <= first {
			return true
		}
		msg, ok := literal(c.Args[first])
		if !ok {
			return true
		}
		if s.Sel.Name == "LogAttrs" {
			whole = msg
			return true
		}
		if out[msg] == nil {
			out[msg] = map[string]bool{}
		}
		for i := first + 1; i < len(c.Args); i += 2 {
			if key, ok := literal(c.Args[i]); ok {
				out[msg][key] = true
			}
		}
		return true
	})
	if whole != "" {
		out[whole] = attrs
	}
}

func literal(e ast.Expr) (string, bool) {
	b, ok := e.(*ast.BasicLit)
	if !ok || b.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(b.Value)
	return s, err == nil
}
