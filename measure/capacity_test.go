// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package measure_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/measure"
)

// documentRows returns the rows of the tables in docs/CAPACITY.md, by the first cell of the
// table's header and the first cell of the row.
func documentRows() map[string]map[string][]string {
	GinkgoHelper()
	page, err := os.ReadFile("../docs/CAPACITY.md")
	Expect(err).NotTo(HaveOccurred())
	tables := map[string]map[string][]string{}
	table := ""
	for line := range strings.Lines(string(page)) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			table = ""
			continue
		}
		cells := strings.Split(strings.Trim(line, "| "), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if table == "" {
			table = cells[0]
			tables[table] = map[string][]string{}
			continue
		}
		tables[table][cells[0]] = cells[1:]
	}
	return tables
}

// number parses the number at the beginning of a cell.
func number(cell string) float64 {
	GinkgoHelper()
	value, err := strconv.ParseFloat(strings.Fields(cell)[0], 64)
	Expect(err).NotTo(HaveOccurred(), cell)
	return value
}

var _ = Describe("docs/CAPACITY.md", func() {
	It("has loads that match its slopes", func() {
		tables := documentRows()
		var slopes []measure.Slope
		for name, cells := range tables["slope"] {
			if name != "---" {
				slopes = append(slopes, measure.Slope{Name: name, Step: number(cells[0]), Base: number(cells[1])})
			}
		}
		for _, size := range measure.Sizes {
			for _, l := range measure.Loads(slopes, size) {
				cells := tables[size.Name][l.Role]
				Expect(cells).To(HaveLen(5), size.Name+" "+l.Role)
				for i, want := range []float64{100 * l.Cores, l.Memory / 1e6, l.Bytes / 1e3, l.Writes, l.Reads} {
					// The tolerance covers the rounding of slopes and cells on the page.
					Expect(number(cells[i])).To(BeNumerically("~", want, 0.006+want/50), fmt.Sprint(size.Name, " ", l.Role, " ", i))
				}
			}
		}
	})
})
