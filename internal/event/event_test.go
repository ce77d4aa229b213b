package event

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

func TestCatalogueIsOrderedAndUnique(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	for i, m := range Catalogue {
		is.True(i == 0 || Catalogue[i-1].ID < m.ID) // numbers ascend
		is.True(!names[m.Name])                     // names are unique
		is.True(m.Doc != "")                        // each is explained
		names[m.Name] = true
	}
}

func TestDocsTableEqualsCatalogue(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/EVENTS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(data), Table())) // docs/EVENTS.md equals the catalogue
}

// Every event constant must be used outside this package, and there must be as many constants as
// catalogue entries.
func TestEveryEventIsEmitted(t *testing.T) {
	is := is.New(t)
	used := map[string]bool{}
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		return collectEventUses(path, used)
	})
	is.NoErr(err)
	file, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	is.NoErr(err)
	declared := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); ok && id.Name == "ID" {
			declared++
			is.True(used[spec.Names[0].Name]) // the event is emitted
		}
		return true
	})
	is.Equal(declared, len(Catalogue))
}

func collectEventUses(path string, used map[string]bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if pkg, ok := sel.X.(*ast.Ident); ok && pkg.Name == "event" {
			used[sel.Sel.Name] = true
		}
		return true
	})
	return nil
}

func TestEmitWritesNumberNameLevelAndNode(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	New(&b, "n1", zerolog.InfoLevel).Emit(JobAccepted).Str("job", "j").Send()
	for _, want := range []string{`"event":301`, `"name":"job-accepted"`, `"node":"n1"`, `"job":"j"`, `"level":"info"`} {
		is.True(strings.Contains(b.String(), want))
	}
	var nilLog *Log
	nilLog.Emit(JobAccepted).Str("job", "j").Send() // the zero Log writes nothing
}
