// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A prober", func() {
	now := time.Unix(1_800_000_000, 0)

	It("lets one call through in each interval while the store does not answer", func() {
		var p Prober
		calls := 0
		for at := now; at.Before(now.Add(8 * time.Second)); at = at.Add(100 * time.Millisecond) {
			if p.allows(at) {
				calls++
				p.note(false)
			}
		}
		Expect(calls).To(Equal(4))
	})

	It("lets all calls through once the store has answered one", func() {
		var p Prober
		Expect(p.allows(now)).To(BeTrue())
		p.note(true)
		Expect(p.allows(now)).To(BeTrue())
		Expect(p.allows(now)).To(BeTrue())
		p.note(false)
		Expect(p.allows(now)).To(BeFalse())
	})
})
