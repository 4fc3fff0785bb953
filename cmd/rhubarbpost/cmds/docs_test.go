package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/integrii/flaggy"
	"github.com/invopop/jsonschema"
	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/internal/exiter"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

var update = flag.Bool("update", false, "write the generated docs")

const generatedNote = "Generated from the code by `go test ./cmd/rhubarbpost/cmds -run TestDocs -update`. Do not edit.\n\n"

// TestDocs checks that the generated docs match the code.
func TestDocs(t *testing.T) {
	for file, text := range map[string]string{
		"RESULT-CODES.md":    resultCodes(),
		"LOG-EVENTS.md":      logEvents(),
		"CLI.md":             commandLine(),
		"LIMITS.md":          limits(t),
		"config.schema.json": configSchema(t),
	} {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			path := "../../../docs/" + file
			if *update {
				is.NoErr(os.WriteFile(path, []byte(text), 0o600))
			}
			data, err := os.ReadFile(path)
			is.NoErr(err)
			is.Equal(string(data), text)
		})
	}
}

func resultCodes() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n" + generatedNote +
		"A refusal is a problem document (RFC 9457) with the code, its name and its outcome. The outcome \"notRun\"\n" +
		"is given only if the request has certainly not run; \"unknown\" means that it may have run.\n\n" +
		"| code | name | HTTP status | outcome | meaning |\n|---|---|---|---|---|\n")
	for _, e := range classifier.Table() {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s |\n", e.Code, e.Name, e.Status, e.Outcome, e.Title)
	}
	b.WriteString("\n## Exit codes\n\n| code | name | meaning |\n|---|---|---|\n")
	for _, e := range exiter.Table() {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.Code, e.Name, e.Meaning)
	}
	return b.String()
}

func logEvents() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n" + generatedNote + "| event | name | meaning |\n|---|---|---|\n")
	for _, e := range logger.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.Event, e.Name, e.Meaning)
	}
	return b.String()
}

func commandLine() string {
	var b strings.Builder
	b.WriteString("# Command line\n\n" + generatedNote + programDescription + "\n")
	t := newCommandTree(io.Discard, io.Discard)
	for _, parent := range t.parser.Subcommands {
		writeCommand(&b, programName, parent)
	}
	return b.String()
}

func writeCommand(b *strings.Builder, path string, sub *flaggy.Subcommand) {
	path += " " + sub.Name
	if len(sub.Subcommands) == 0 {
		writeLeaf(b, path, sub)
	}
	for _, child := range sub.Subcommands {
		writeCommand(b, path, child)
	}
}

func writeLeaf(b *strings.Builder, path string, sub *flaggy.Subcommand) {
	fmt.Fprintf(b, "\n## %s\n\n%s\n\n", path, sub.Description)
	for _, p := range sub.PositionalFlags {
		fmt.Fprintf(b, "- `%s`: %s\n", p.Name, p.Description)
	}
	for _, f := range sub.Flags {
		if f.ShortName != "" {
			fmt.Fprintf(b, "- `-%s`, `--%s`: %s\n", f.ShortName, f.LongName, f.Description)
			continue
		}
		fmt.Fprintf(b, "- `--%s`: %s\n", f.LongName, f.Description)
	}
	example := strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(sub.AdditionalHelpAppend), "Example:"))
	fmt.Fprintf(b, "\n    %s\n", example)
}

func configSchema(t *testing.T) string {
	t.Helper()
	reflector := &jsonschema.Reflector{Mapper: durationSchema}
	schema := reflector.Reflect([]configurer.Document{})
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return string(data) + "\n"
}

// durationSchema describes durations as strings, which is how documents write them.
func durationSchema(r reflect.Type) *jsonschema.Schema {
	if r != reflect.TypeFor[decoder.Duration]() {
		return nil
	}
	return &jsonschema.Schema{Type: "string", Pattern: `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`}
}

// TestCatalogues checks that result codes and log events are in ascending order
// of their numbers, and that names of result codes are unique.
func TestCatalogues(t *testing.T) {
	is := is.New(t)
	names := make(map[string]bool)
	last := classifier.Code(0)
	for _, e := range classifier.Table() {
		is.True(e.Code > last)           // ascending
		is.True(!names[e.Name])          // unique
		is.True(e.Status >= 200)         // a valid HTTP status
		is.Equal(e.Code.Definition(), e) // found by its number
		last = e.Code
		names[e.Name] = true
	}
	event := logger.Event(0)
	for _, e := range logger.Catalogue() {
		is.True(e.Event > event)
		is.Equal(e.Event.String(), e.Name)
		event = e.Event
	}
}

func run(args ...string) (code int, out string) {
	var b bytes.Buffer
	code = Run(args, &b, &b)
	return code, b.String()
}

// TestCheckReportsPosition checks that errors in an invalid document name its file,
// line and column.
func TestCheckReportsPosition(t *testing.T) {
	data, err := os.ReadFile("../../../examples/kitanoiri.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ before, after, position, text string }{
		"a misspelt field":   {`"hedge"`, `"hegde"`, ":17:21:", "unknown field (allowed: hedge, retry)"},
		"a wrong unit":       {`"600ms"`, `"600 parsecs"`, ":8:5:", "invalid duration"},
		"a number as text":   {`"perServer": 25`, `"perServer": "25"`, ":11:", "wrong type string"},
		"too many hosts":     {`"hosts": 9`, `"hosts": 40`, ":11:52:", "(perServer 25 - reserve 7) / hosts 40 is below 1"},
		"late soft deadline": {`"180ms"`, `"900ms"`, ":16:", "longer than deadline 600ms"},
		"a missing comma":    {`"deadline": "600ms",`, `"deadline": "600ms"`, ":9:5:", "expecting ','"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := t.TempDir() + "/spoilt.jsonc"
			is.True(strings.Contains(string(data), c.before))
			is.NoErr(os.WriteFile(file, []byte(strings.Replace(string(data), c.before, c.after, 1)), 0o600))
			code, out := run("config", "check", file)
			is.Equal(code, int(exiter.Invalid))
			is.True(strings.Contains(out, file+c.position)) // the position
			is.True(strings.Contains(out, c.text))          // the problem
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	code, out := run("config", "check", "../../../examples")
	is.Equal(code, int(exiter.OK))
	is.True(strings.Contains(out, "8 services, valid"))
}

const settingsText = `{
  // a host of its own
  "name": "h", "domain": "d",
  "listen": "LISTEN",
  "control": "127.0.0.1:0", "platform": "127.0.0.1:1",
  "hosts": [{"name": "h", "domain": "d", "agent": "127.0.0.1:2", "entry": "127.0.0.1:3"}],
  "keys": ["0123456789abcdef"],
}`

// TestSettingsErrorsReportPosition checks that errors in the settings of an entry
// name the file, line and field.
func TestSettingsErrorsReportPosition(t *testing.T) {
	var sockets net.ListenConfig
	taken, err := sockets.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	for name, c := range map[string]struct {
		listen, position string
		code             exiter.Code
	}{
		"a port in use":  {taken.Addr().String(), ":4:3: field listen", exiter.PortInUse},
		"no IP address":  {"localhost:80", ":4:3: field listen", exiter.Invalid},
		"an empty value": {"", ":4:3: field listen", exiter.Invalid},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := t.TempDir() + "/settings.jsonc"
			is.NoErr(os.WriteFile(file, []byte(strings.Replace(settingsText, "LISTEN", c.listen, 1)), 0o600))
			code, out := run("entry", "--settings", file)
			is.Equal(code, int(c.code))
			is.True(strings.Contains(out, file+c.position))
		})
	}
}

// FuzzParse checks that the parser does not panic on any input, and that a valid
// document is still valid after it was encoded again.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("../../../examples/kitanoiri.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`[{"query": null}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		documents, err := configurer.Parse("fuzz", data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(documents)
		if err != nil {
			t.Fatal(err)
		}
		_, err = configurer.Parse("again", encoded)
		if err != nil {
			t.Fatalf("a valid document is rejected after it was encoded again: %v", err)
		}
	})
}
