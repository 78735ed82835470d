// Package docs_test checks that the files, declarations and tests to which the documentation refers
// exist.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	pathName = regexp.MustCompile(`^(cmd|internal|docs|deploy)(/[\w.-]+)+$`)
	memberOf = regexp.MustCompile(`^[A-Za-z]\w*\.[A-Za-z]\w*$`)
	typeName = regexp.MustCompile(`^(Controller|leaderTerm)$`)
)

// declarations returns the names that the non-test code declares, as Type.Method, Type.Field,
// package.Name and Name.
func declarations(t *testing.T) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	for _, root := range []string{"../cmd", "../internal"} {
		err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			for _, d := range file.Decls {
				addDeclaration(names, file.Name.Name, d)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}

func addDeclaration(names map[string]bool, pkg string, d ast.Decl) {
	switch d := d.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			names[d.Name.Name], names[pkg+"."+d.Name.Name] = true, true
			return
		}
		receiver := d.Recv.List[0].Type
		if star, ok := receiver.(*ast.StarExpr); ok {
			receiver = star.X
		}
		if id, ok := receiver.(*ast.Ident); ok {
			names[id.Name+"."+d.Name.Name] = true
		}
	case *ast.GenDecl:
		for _, s := range d.Specs {
			addSpec(names, pkg, s)
		}
	}
}

// addSpec adds a type and its fields, or constants or variables.
func addSpec(names map[string]bool, pkg string, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[s.Name.Name], names[pkg+"."+s.Name.Name] = true, true
		structType, ok := s.Type.(*ast.StructType)
		if !ok {
			return
		}
		for _, field := range structType.Fields.List {
			for _, name := range field.Names {
				names[s.Name.Name+"."+name.Name] = true
			}
		}
	}
}

func TestReferencedNamesExist(t *testing.T) {
	names := declarations(t)
	for _, page := range []string{"ARCHITECTURE.md", "glossary.md"} {
		t.Run(page, func(t *testing.T) {
			text, err := os.ReadFile(page)
			if err != nil {
				t.Fatal(err)
			}
			checked := 0
			for _, span := range codeSpan.FindAllStringSubmatch(string(text), -1) {
				name := span[1]
				switch {
				case pathName.MatchString(name):
					if _, err := os.Stat(filepath.Join("..", name)); err != nil {
						t.Errorf("%s: no such file or package", name)
					}
				case memberOf.MatchString(name), typeName.MatchString(name):
					if !names[name] {
						t.Errorf("%s: not declared in the code", name)
					}
				default:
					continue
				}
				checked++
			}
			if checked < 20 {
				t.Errorf("only %d names were checked", checked)
			}
		})
	}
}

// The table in meetings.md maps names of earlier versions to current names, which have to exist.
func TestCurrentNamesExist(t *testing.T) {
	names := declarations(t)
	text, err := os.ReadFile("meetings.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), "## Names of today")
	if !found {
		t.Fatal("meetings.md has no section \"## Names of today\"")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	checked := 0
	for _, line := range strings.Split(section, "\n") {
		columns := strings.Split(line, " | ")
		if len(columns) != 2 {
			continue
		}
		for _, span := range codeSpan.FindAllStringSubmatch(columns[1], -1) {
			checked++
			if !names[span[1]] {
				t.Errorf("%s: not declared in the code", span[1])
			}
		}
	}
	if checked < 50 {
		t.Errorf("only %d names were checked", checked)
	}
}

// The tests that the pages refer to by name exist.
func TestReferencedTestsExist(t *testing.T) {
	tests := make(map[string]bool)
	declared := regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Fuzz)\w+)\(`)
	err := filepath.WalkDir("..", func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range declared.FindAllSubmatch(text, -1) {
			tests[string(m[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w+`)
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range named.FindAllString(string(text), -1) {
			if !tests[name] {
				t.Errorf("%s: refers to test %s, which does not exist", page, name)
			}
		}
	}
}

// The packages that the diagram in ARCHITECTURE.md shows exist.
func TestDiagramPackagesExist(t *testing.T) {
	text, err := os.ReadFile("ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	diagramLine := regexp.MustCompile(`(?m)^    .*?\b((?:cmd|internal)/[\w/]+)`)
	found := diagramLine.FindAllStringSubmatch(string(text), -1)
	if len(found) < 15 {
		t.Errorf("only %d packages in the diagram", len(found))
	}
	for _, m := range found {
		if _, err := os.Stat(filepath.Join("..", m[1])); err != nil {
			t.Errorf("%s: no such package", m[1])
		}
	}
}
