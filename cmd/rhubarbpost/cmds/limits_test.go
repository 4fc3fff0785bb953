package cmds

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// limitPackages are the packages that hold the timeouts, limits, weights and
// thresholds of a host.
var limitPackages = []string{
	"internal/forwarder", "internal/reloader", "internal/logger", "internal/transport/listener",
	"pkg/coordination/scatterer", "pkg/coordination/placer", "pkg/coordination/watcher",
	"pkg/coordination/assessor", "pkg/coordination/delegator", "pkg/coordination/relayer", "pkg/coordination/vetter", "pkg/coordination/sequencer",
	"pkg/coordination/budgeter",
}

// limitValue matches the values of the constants listed in the table: numbers and durations.
var limitValue = regexp.MustCompile(`^[0-9.]+( << [0-9]+| \* time\.[A-Z][a-z]+)?$|^time\.(Second|Hour|Minute)$`)

// limits returns the table of a host's constants, each with its value and its
// comment as the explanation; a constant without a comment fails the test.
func limits(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	b.WriteString("# Fixed limits of a host\n\n" + generatedNote +
		"These values are constants in the code. [CONFIGURATION.md](CONFIGURATION.md) describes what operators can set.\n")
	for _, name := range limitPackages {
		fmt.Fprintf(&b, "\n## %s\n\n| constant | value | purpose, and reason for the value |\n|---|---|---|\n", name)
		for _, file := range sources(t, "../../../"+name) {
			ast.Inspect(file, func(n ast.Node) bool {
				decl, ok := n.(*ast.GenDecl)
				if ok && decl.Tok == token.CONST {
					writeLimits(t, &b, name, decl)
				}
				return !ok
			})
		}
	}
	return b.String()
}

func writeLimits(t *testing.T, b *strings.Builder, name string, decl *ast.GenDecl) {
	t.Helper()
	comment := ""
	for _, s := range decl.Specs {
		spec, ok := s.(*ast.ValueSpec)
		if !ok || spec.Type != nil || len(spec.Values) != 1 {
			continue
		}
		var value bytes.Buffer
		err := printer.Fprint(&value, token.NewFileSet(), spec.Values[0])
		if err != nil {
			t.Fatal(err)
		}
		if !limitValue.Match(value.Bytes()) {
			continue
		}
		doc := spec.Doc.Text()
		if doc == "" && len(decl.Specs) == 1 {
			doc = decl.Doc.Text()
		}
		// A comment may also cover the constants after it that it names.
		if doc != "" || !strings.Contains(comment, spec.Names[0].Name) {
			comment = strings.Join(strings.Fields(doc), " ")
		}
		if comment == "" {
			t.Errorf("%s: constant %s has no comment", name, spec.Names[0].Name)
		}
		fmt.Fprintf(b, "| `%s` | `%s` | %s |\n", spec.Names[0].Name, value.String(), comment)
	}
}

// sources parses the files of a package, except tests, in the order of their names.
func sources(t *testing.T, dir string) []*ast.File {
	t.Helper()
	paths, err := filepath.Glob(dir + "/*.go")
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(paths)
	var files []*ast.File
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		data, err := os.ReadFile(path) //nolint:gosec // a file of this repository
		if err != nil {
			t.Fatal(err)
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, data, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}
