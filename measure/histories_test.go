// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package measure_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"granitehoist.example/granitehoist/measure"
)

var _ = Describe("Histories", func() {
	It("never find a token twice, and lose none", func() {
		Expect(measure.Histories(1500, 1)).To(Succeed())
	})

	It("hold for what rapid chooses", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := measure.NewHistory(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
			for range measure.HistorySteps {
				if err := h.Step(); err != nil {
					t.Fatal(err)
				}
			}
			if err := h.Heal(); err != nil {
				t.Fatal(err)
			}
		})
	})
})
