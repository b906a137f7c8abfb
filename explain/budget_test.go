// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/explain"
)

var _ = Describe("The books of a budget", func() {
	const log = `  0.1 edge-1 ts=2026-01-01T00:00:00Z level=info event=start box=edge-1 incarnation=edge-1-a
  1.0 edge-1 ts=2026-01-01T00:00:01Z level=info event=budget_grant workspace=kiosk granted=4000 returned=0 spent=0 idle=4000 rest=96000 prepaid=100000 version=4
  1.5 edge-2 ts=2026-01-01T00:00:01Z level=info event=budget_loan workspace=kiosk lender=edge-1-a total=900
  1.6 edge-2 ts=2026-01-01T00:00:01Z level=info event=request request=r-0 code=1 workspace=kiosk bound=900 used=700 budget=granted
  1.7 edge-2 ts=2026-01-01T00:00:01Z level=info event=budget_repaid workspace=kiosk to=edge-1-a total=200
  2.2 edge-3 ts=2026-01-01T00:00:02Z level=info event=request request=r-2 code=3003 workspace=kiosk bound=9993 used=0 budget=unreachable
  2.3 edge-3 ts=2026-01-01T00:00:02Z level=info event=request request=r-3 code=3003 workspace=desk bound=9993 used=0 budget=unreachable
  3.0 edge-1 ts=2026-01-01T00:00:03Z level=info event=start box=edge-1 incarnation=edge-1-b
  4.0 edge-1 ts=2026-01-01T00:00:04Z level=info event=budget_grant workspace=kiosk granted=500 returned=100 spent=0 idle=400 rest=95600 prepaid=100000 version=9
`
	tell := func(workspace granitehoist.Workspace) string {
		GinkgoHelper()
		budget, err := explain.ReadBudget(strings.NewReader(log), workspace)
		Expect(err).NotTo(HaveOccurred())
		var text strings.Builder
		Expect(budget.Write(&text)).To(Succeed())
		return text.String()
	}

	It("names what was prepaid, is left and was used", func() {
		Expect(tell("kiosk")).To(ContainSubstring("prepaid 100000, the store had 95600 left, used 700 (0.7 %)"))
	})
	It("tells which process took tokens and has ended", func() {
		Expect(tell("kiosk")).To(MatchRegexp(`edge-1 +4000, of which 0 returned, by a process that has ended`))
		Expect(tell("kiosk")).To(MatchRegexp(`edge-1 +500, of which 100 returned, at the end of the log`))
	})
	It("tells who lent, less what came back", func() {
		Expect(tell("kiosk")).To(MatchRegexp(`edge-1-a +700\n`))
	})
	It("counts over time what was served and refused, of that workspace alone", func() {
		Expect(tell("kiosk")).To(MatchRegexp(`0 s +1 +700 *\n +2 s +0 +0 +unreachable 1 +\n`))
	})
	It("tells of a workspace whose prepaid total no line names", func() {
		Expect(tell("desk")).To(ContainSubstring("prepaid total unknown"))
	})
	It("fails for a workspace of which there is no line", func() {
		_, err := explain.ReadBudget(strings.NewReader(log), "nobody")
		Expect(err).To(MatchError(explain.ErrNoBudget))
	})
})
