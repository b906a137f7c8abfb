// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"os"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/node"
)

// tableNames returns the names in the first column of the tables after a heading of a
// page.
func tableNames(page, heading string) []string {
	raw, err := os.ReadFile("../docs/" + page)
	Expect(err).NotTo(HaveOccurred())
	_, text, found := strings.Cut(string(raw), heading)
	Expect(found).To(BeTrue())
	var names []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(text, -1) {
		names = append(names, match[1])
	}
	return names
}

var _ = Describe("The documentation", func() {
	It("describes exactly the existing metrics", func() {
		Expect(tableNames("METRICS.md", "# Metrics")).To(ConsistOf(node.MetricNames()))
	})

	It("describes exactly the existing log events", func() {
		Expect(tableNames("OPERATIONS.md", "## Events of a node")).To(ConsistOf(event.All()))
	})
})
