// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/explain"
)

var _ = Describe("The story of a request", func() {
	tell := func(log, id string) string {
		story, err := explain.Read(strings.NewReader(log), "r-1")
		Expect(err).NotTo(HaveOccurred(), id)
		var text strings.Builder
		Expect(story.Write(&text)).To(Succeed())
		return text.String()
	}

	It("names the silent store behind a refusal", func() {
		text := tell(`  5.0 edge-1 ts=2026-01-01T00:00:05Z level=warn event=store_lost prefix=op/ at=9 error="store: outcome unknown"
  6.0 edge-1 ts=2026-01-01T00:00:06Z level=warn event=budget_sync_failed error="store: outcome unknown"
  7.0 edge-2 ts=2026-01-01T00:00:09Z level=info event=request request=r-0 code=1
  7.5 edge-1 ts=2026-01-01T00:00:07Z level=info event=request request=r-1 code=3003 fate="not run" service=pool workspace=kiosk attempts=0 events=0 config=8 first=0 took=0.14 route=r bound=9993 budget=unreachable free=1200 rest=240000 rest_age=3.1 silent=2.5
`, "refused")
		Expect(text).To(ContainSubstring("needed at most 9993 tokens; the budget said unreachable"))
		Expect(text).To(ContainSubstring("owned 1200 free tokens; the store had 240000 left, as read 3.100 s before"))
		Expect(text).To(ContainSubstring("the store had not answered for 2.500 s: store: outcome unknown"))
		Expect(text).To(ContainSubstring("not run"))
		Expect(text).NotTo(ContainSubstring("r-0"))
	})

	It("orders the lines of machines whose clocks are apart", func() {
		text := tell(`  9.0 edge-2 ts=2026-01-01T00:00:01Z level=info event=request request=r-1 code=1 fate=ran attempts=1 took=0.1
  3.0 edge-1 ts=2026-01-01T00:00:08Z level=info event=attempt request=r-1 attempt=1 upstream=i-1 entry=4 status=200 after=57 took=2.4 error="5003 upstream_cut: the answer of the upstream ended early"
`, "ordered")
		Expect(strings.Index(text, "attempt 1 was sent to upstream i-1")).To(BeNumerically("<", strings.Index(text, "it ended with code 1")))
		Expect(text).To(ContainSubstring("upstream_cut"))
	})

	It("says so if the log knows nothing of it", func() {
		_, err := explain.Read(strings.NewReader("nothing\n"), "r-1")
		Expect(err).To(MatchError(explain.ErrNoRequest))
	})
})
