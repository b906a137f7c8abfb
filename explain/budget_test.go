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

var _ = Describe("BudgetReport", func() {
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
	render := func(workspace granitehoist.Workspace) string {
		GinkgoHelper()
		budget, err := explain.ReadBudget(strings.NewReader(log), workspace)
		Expect(err).NotTo(HaveOccurred())
		var text strings.Builder
		Expect(budget.Write(&text)).To(Succeed())
		return text.String()
	}

	It("reports the prepaid, remaining and used tokens", func() {
		Expect(render("kiosk")).To(ContainSubstring("prepaid 100000, the store had 95600 left, used 700 (0.7 %)"))
	})
	It("reports grants by process and whether it has ended", func() {
		Expect(render("kiosk")).To(MatchRegexp(`edge-1 +4000, of which 0 returned, by a process that has ended`))
		Expect(render("kiosk")).To(MatchRegexp(`edge-1 +500, of which 100 returned, at the end of the log`))
	})
	It("reports loans net of repayments", func() {
		Expect(render("kiosk")).To(MatchRegexp(`edge-1-a +700\n`))
	})
	It("counts served and refused requests of that workspace over time", func() {
		Expect(render("kiosk")).To(MatchRegexp(`0 s +1 +700 *\n +2 s +0 +0 +unreachable 1 +\n`))
	})
	It("reports an unknown prepaid total if no line has one", func() {
		Expect(render("desk")).To(ContainSubstring("prepaid total unknown"))
	})
	It("fails for a workspace without a line", func() {
		_, err := explain.ReadBudget(strings.NewReader(log), "nobody")
		Expect(err).To(MatchError(explain.ErrNoBudget))
	})
})
