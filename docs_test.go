// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package granitehoist_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sourceTree holds what the documentation may refer to: the files and the declarations of
// the packages below this directory.
type sourceTree struct {
	files map[string]bool
	// names holds the declarations of each package: functions, types, values, and methods
	// and fields as "Type.Member".
	names  map[string]map[string]bool
	source strings.Builder
}

func readSourceTree() *sourceTree {
	GinkgoHelper()
	t := &sourceTree{files: map[string]bool{}, names: map[string]map[string]bool{}}
	Expect(filepath.WalkDir(".", t.visit)).To(Succeed())
	return t
}

func (t *sourceTree) visit(file string, d fs.DirEntry, err error) error {
	if err != nil {
		return err
	}
	if d.IsDir() && (d.Name() == ".git" || d.Name() == "journal") {
		return filepath.SkipDir
	}
	t.files[file] = true
	if d.IsDir() || !strings.HasSuffix(file, ".go") {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	parsed, err := parser.ParseFile(token.NewFileSet(), file, raw, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	t.source.Write(raw)
	name := strings.TrimSuffix(parsed.Name.Name, "_test")
	if t.names[name] == nil {
		t.names[name] = map[string]bool{}
	}
	addDeclarations(parsed, t.names[name])
	return nil
}

// addDeclarations adds the names that a file declares to names.
func addDeclarations(f *ast.File, names map[string]bool) {
	for _, decl := range f.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			names[receiverPrefix(d)+d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				addSpec(spec, names)
			}
		}
	}
}

// receiverPrefix returns "Type." for a method and "" for a function.
func receiverPrefix(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	expr := d.Recv.List[0].Type
	if star, ok := expr.(*ast.StarExpr); ok {
		expr = star.X
	}
	if name, ok := expr.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

func addSpec(spec ast.Spec, names map[string]bool) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[s.Name.Name] = true
		addMembers(s, names)
	}
}

func addMembers(s *ast.TypeSpec, names map[string]bool) {
	var fields *ast.FieldList
	switch t := s.Type.(type) {
	case *ast.StructType:
		fields = t.Fields
	case *ast.InterfaceType:
		fields = t.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			names[s.Name.Name+"."+name.Name] = true
		}
	}
}

var (
	// linkPattern matches a Markdown link; the first group is the target.
	linkPattern = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)]*)?\)`)
	// filePattern matches the path of a Go file, a script or a settings file.
	filePattern = regexp.MustCompile("`((?:[a-z][a-z0-9_-]*/)+[a-z0-9_-]+\\.(?:go|sh|toml))`")
	// exportedNamePattern matches an exported declaration with its package, such as
	// `pool.New` or `pool.Pool.Do`; unexportedNamePattern matches an unexported function or
	// method, such as `pool.pick()`.
	exportedNamePattern   = regexp.MustCompile("`([a-z]+)\\.([A-Z]\\w*(?:\\.\\w+)?)(?:\\(\\))?`")
	unexportedNamePattern = regexp.MustCompile("`([a-z]+)\\.([a-z]\\w*(?:\\.\\w+)?)\\(\\)`")
	// testTitlePattern matches a reference to a test by its title, as in the tables of
	// docs/ARCHITECTURE.md and docs/FINDINGS.md.
	testTitlePattern = regexp.MustCompile(`test "([^"]+)"`)
	// glossaryPattern matches the first cell of a row of the glossary.
	glossaryPattern = regexp.MustCompile(`(?m)^\| ([a-z][a-z ,]*) \|`)
)

// documents returns the paths of the documents that are checked against the code.
func documents() []string {
	GinkgoHelper()
	list, err := filepath.Glob("docs/*.md")
	Expect(err).NotTo(HaveOccurred())
	notes, err := filepath.Glob("docs/*/*.md")
	Expect(err).NotTo(HaveOccurred())
	return slices.Concat([]string{"README.md"}, list, notes)
}

func readDocument(document string) string {
	GinkgoHelper()
	raw, err := os.ReadFile(document)
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

// allMatches returns the groups of each match of a pattern in a document.
func allMatches(pattern *regexp.Regexp, document string) [][]string {
	GinkgoHelper()
	return pattern.FindAllStringSubmatch(readDocument(document), -1)
}

var _ = Describe("The documentation", func() {
	It("links only to existing files", func() {
		for _, document := range documents() {
			for _, link := range allMatches(linkPattern, document) {
				if strings.Contains(link[1], "://") {
					continue
				}
				Expect(filepath.Join(filepath.Dir(document), link[1])).To(Or(BeAnExistingFile(), BeADirectory()), document)
			}
		}
	})

	It("mentions each package in docs/ARCHITECTURE.md", func() {
		document := readDocument("docs/ARCHITECTURE.md")
		for file := range readSourceTree().files {
			folder := filepath.Dir(file)
			if filepath.Ext(file) == ".go" && folder != "." {
				Expect(document).To(ContainSubstring("`"+folder), folder)
			}
		}
	})

	It("names only existing files", func() {
		tree := readSourceTree()
		for _, document := range documents() {
			for _, file := range allMatches(filePattern, document) {
				Expect(tree.files[file[1]]).To(BeTrue(), "%s names %s", document, file[0])
			}
		}
	})

	It("names only existing declarations", func() {
		tree := readSourceTree()
		for _, document := range documents() {
			for _, name := range slices.Concat(allMatches(exportedNamePattern, document), allMatches(unexportedNamePattern, document)) {
				if names, known := tree.names[name[1]]; known {
					Expect(names[name[2]]).To(BeTrue(), "%s names %s", document, name[0])
				}
			}
		}
	})

	It("names only existing tests", func() {
		text := readSourceTree().source.String()
		for _, document := range documents() {
			for _, test := range allMatches(testTitlePattern, document) {
				Expect(strings.Contains(text, `"`+test[1])).To(BeTrue(), "%s names %s", document, test[0])
			}
		}
	})

	It("explains only words in the glossary that the code uses", func() {
		text := strings.ToLower(readSourceTree().source.String())
		for _, row := range allMatches(glossaryPattern, "docs/GLOSSARY.md") {
			for _, word := range strings.Split(row[1], ", ") {
				Expect(strings.Contains(text, word)).To(BeTrue(), "the code does not use the glossary's word %q", word)
			}
		}
	})
})
