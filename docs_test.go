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

// sourceTree is what the pages may name: the packages below this directory,
// their files, and the declarations of each.
type sourceTree struct {
	files map[string]bool
	// names holds, by package, what each declares: functions, types, values,
	// and methods and fields as "Type.Member".
	names map[string]map[string]bool
	text  strings.Builder
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
	t.text.Write(raw)
	name := strings.TrimSuffix(parsed.Name.Name, "_test")
	if t.names[name] == nil {
		t.names[name] = map[string]bool{}
	}
	declared(parsed, t.names[name])
	return nil
}

// declared adds the names that a file declares.
func declared(f *ast.File, names map[string]bool) {
	for _, decl := range f.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			names[receiver(d)+d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				addSpec(spec, names)
			}
		}
	}
}

// receiver returns "Type." for a method and nothing for a function.
func receiver(d *ast.FuncDecl) string {
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
	// linkPattern is a link of Markdown; its target is the first group.
	linkPattern = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)]*)?\)`)
	// filePattern is a path of a Go file, a script or a settings file.
	filePattern = regexp.MustCompile("`((?:[a-z][a-z0-9_-]*/)+[a-z0-9_-]+\\.(?:go|sh|toml))`")
	// namePattern is a name of a package's declaration, such as `pool.New` or
	// `pool.Pool.Do`, and namedCall one of its own, such as `pool.pick()`.
	namePattern = regexp.MustCompile("`([a-z]+)\\.([A-Z]\\w*(?:\\.\\w+)?)(?:\\(\\))?`")
	namedCall   = regexp.MustCompile("`([a-z]+)\\.([a-z]\\w*(?:\\.\\w+)?)\\(\\)`")
	// testPattern is the name of a test that a table of docs/ARCHITECTURE.md or
	// docs/FINDINGS.md refers to.
	testPattern = regexp.MustCompile(`test "([^"]+)"`)
	// wordPattern is the first cell of a row of the glossary.
	wordPattern = regexp.MustCompile(`(?m)^\| ([a-z][a-z ,]*) \|`)
)

// pages returns the documents that are held against the code.
func pages() []string {
	GinkgoHelper()
	list, err := filepath.Glob("docs/*.md")
	Expect(err).NotTo(HaveOccurred())
	notes, err := filepath.Glob("docs/*/*.md")
	Expect(err).NotTo(HaveOccurred())
	return slices.Concat([]string{"README.md"}, list, notes)
}

func readPage(page string) string {
	GinkgoHelper()
	raw, err := os.ReadFile(page)
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

// allMatches returns the groups of each match of a pattern in a page.
func allMatches(pattern *regexp.Regexp, page string) [][]string {
	GinkgoHelper()
	return pattern.FindAllStringSubmatch(readPage(page), -1)
}

var _ = Describe("The pages", func() {
	It("link only to files that exist", func() {
		for _, page := range pages() {
			for _, link := range allMatches(linkPattern, page) {
				if strings.Contains(link[1], "://") {
					continue
				}
				Expect(filepath.Join(filepath.Dir(page), link[1])).To(Or(BeAnExistingFile(), BeADirectory()), page)
			}
		}
	})

	It("have a line on each package in docs/ARCHITECTURE.md", func() {
		page := readPage("docs/ARCHITECTURE.md")
		for file := range readSourceTree().files {
			folder := filepath.Dir(file)
			if filepath.Ext(file) == ".go" && folder != "." {
				Expect(page).To(ContainSubstring("`"+folder), folder)
			}
		}
	})

	It("name only files that exist", func() {
		tree := readSourceTree()
		for _, page := range pages() {
			for _, file := range allMatches(filePattern, page) {
				Expect(tree.files[file[1]]).To(BeTrue(), "%s names %s", page, file[0])
			}
		}
	})

	It("name only declarations that exist", func() {
		tree := readSourceTree()
		for _, page := range pages() {
			for _, name := range slices.Concat(allMatches(namePattern, page), allMatches(namedCall, page)) {
				if names, known := tree.names[name[1]]; known {
					Expect(names[name[2]]).To(BeTrue(), "%s names %s", page, name[0])
				}
			}
		}
	})

	It("name only tests that exist", func() {
		text := readSourceTree().text.String()
		for _, page := range pages() {
			for _, test := range allMatches(testPattern, page) {
				Expect(strings.Contains(text, `"`+test[1])).To(BeTrue(), "%s names %s", page, test[0])
			}
		}
	})

	It("explain in the glossary only words that the code uses", func() {
		text := strings.ToLower(readSourceTree().text.String())
		for _, row := range allMatches(wordPattern, "docs/GLOSSARY.md") {
			for _, word := range strings.Split(row[1], ", ") {
				Expect(strings.Contains(text, word)).To(BeTrue(), "the code does not use the glossary's word %q", word)
			}
		}
	})
})
