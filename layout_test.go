// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package granitehoist_test

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// partnerPackages is the import path prefix of the packages of the partners' router.
const partnerPackages = "granitehoist.example/granitehoist/partner/"

// packageImports returns the imports of the Go files of a directory without its tests.
func packageImports(directory string) []string {
	GinkgoHelper()
	files, err := filepath.Glob(filepath.Join(directory, "*.go"))
	Expect(err).NotTo(HaveOccurred())
	Expect(files).NotTo(BeEmpty(), directory)
	var imports []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		Expect(err).NotTo(HaveOccurred())
		for _, spec := range parsed.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			Expect(err).NotTo(HaveOccurred())
			imports = append(imports, name)
		}
	}
	return imports
}

var _ = DescribeTable("A package of the edge router imports none of the partners' router",
	func(directory string) {
		Expect(packageImports(directory)).NotTo(ContainElement(HavePrefix(partnerPackages)))
	},
	Entry(nil, "node"),
	Entry(nil, "forward"),
	Entry(nil, "catalog"),
	Entry(nil, "escrow"),
	Entry(nil, "balance"),
	Entry(nil, "exchange"),
	Entry(nil, "origin"),
	Entry(nil, "follow"),
	Entry(nil, "platform"),
	Entry(nil, "fleet"),
	Entry(nil, "store"),
	Entry(nil, "tunnel"),
	Entry(nil, "cmd/granitehoist-edge"),
)
