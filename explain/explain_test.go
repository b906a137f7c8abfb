// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/explain"
)

var _ = Describe("Timeline", func() {
	render := func(log, description string) string {
		timeline, err := explain.Read(strings.NewReader(log), "r-1")
		Expect(err).NotTo(HaveOccurred(), description)
		var text strings.Builder
		Expect(timeline.Write(&text)).To(Succeed())
		return text.String()
	}

	It("reports the unreachable store that caused a refusal", func() {
		text := render(`  5.0 edge-1 ts=2026-01-01T00:00:05Z level=warn event=store_lost prefix=op/ at=9 error="store: outcome unknown"
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

	It("reports the upstream crashes for which a request is refused", func() {
		text := render(`  7.5 edge-1 ts=2026-01-01T00:00:07Z level=info event=request request=r-1 code=4004 fate="not run" service= workspace=kiosk attempts=0 events=0 config=8 first=0 took=0.001 route=r digest=0badc0de round=3 early=3 crashes=4 left=599.5
`, "suspect")
		Expect(text).To(ContainSubstring("4 upstreams crashed while the same request (digest 0badc0de) may have been running there, in 3 rounds, 3 of them before any event"))
		Expect(text).To(ContainSubstring("it is refused for that, for another 599.500 s"))
		Expect(text).To(ContainSubstring("code 4004, upstreams crashed each time they ran this request"))
	})

	It("reports the workspace and route that are refused", func() {
		text := render(`  7.5 edge-1 ts=2026-01-01T00:00:07Z level=info event=request request=r-1 code=4004 fate="not run" service= workspace=kiosk attempts=0 events=0 config=8 first=0 took=0.001 route=r scope_round=5 scope_left=4.5
`, "scope")
		Expect(text).To(ContainSubstring("upstreams crashed in 5 rounds under requests of its workspace on its route, whatever their bodies; all of these are refused for another 4.500 s"))
	})

	It("reports the part of prompts that is refused", func() {
		text := render(`  7.5 edge-1 ts=2026-01-01T00:00:07Z level=info event=request request=r-1 code=4004 fate="not run" service= workspace=kiosk attempts=0 events=0 config=8 first=0 took=0.001 route=r part=0badc0de part_round=3 part_left=599.5
`, "part")
		Expect(text).To(ContainSubstring("upstreams crashed in 3 rounds under requests whose prompts have the part with digest 0badc0de; requests with it are refused for another 599.500 s"))
	})

	It("reports the upstream rate limits for which a request waited", func() {
		text := render(`  7.1 edge-1 ts=2026-01-01T00:00:07Z level=info event=attempt request=r-1 attempt=1 upstream=i-1 entry=4 status=503 after=0 took=0.01 limit=1.6
  7.5 edge-1 ts=2026-01-01T00:00:07Z level=info event=request request=r-1 code=4002 fate="not run" service=pool workspace=kiosk attempts=1 events=0 config=8 first=0 took=0.2 route=r permit_wait=0.16
`, "limited")
		Expect(text).To(ContainSubstring("the upstream said that it takes 1.6 requests a second from all routers together"))
		Expect(text).To(ContainSubstring("it waited 0.160 s for a permit"))
	})

	It("orders the lines of boxes with clock skew by the log collector's time", func() {
		text := render(`  9.0 edge-2 ts=2026-01-01T00:00:01Z level=info event=request request=r-1 code=1 fate=ran attempts=1 took=0.1
  3.0 edge-1 ts=2026-01-01T00:00:08Z level=info event=attempt request=r-1 attempt=1 upstream=i-1 entry=4 status=200 after=57 took=2.4 error="5003 upstream_cut: the answer of the upstream ended early"
`, "ordered")
		Expect(strings.Index(text, "attempt 1 was sent to upstream i-1")).To(BeNumerically("<", strings.Index(text, "it ended with code 1")))
		Expect(text).To(ContainSubstring("upstream_cut"))
	})

	It("reports the store call that failed only after the refusal", func() {
		text := render(`  6.0 edge-1 ts=2026-01-01T00:00:06Z level=info event=request request=r-1 code=3003 fate="not run" workspace=kiosk attempts=0 events=0 took=0.145 bound=9993 budget=unreachable free=1200 rest=240000 rest_age=0.745 silent=0
  6.2 edge-2 ts=2026-01-01T00:00:06Z level=warn event=budget_sync_failed error="of another box"
  6.3 edge-1 ts=2026-01-01T00:00:06Z level=warn event=budget_sync_failed error="store: version conflict"
  6.7 edge-1 ts=2026-01-01T00:00:06Z level=warn event=budget_sync_failed error="store: outcome unknown"
  6.9 edge-1 ts=2026-01-01T00:00:06Z level=warn event=store_lost prefix=op/ at=9 error="a later one"
`, "unnoticed")
		Expect(text).To(ContainSubstring("no call for the budgets had failed yet"))
		Expect(text).To(ContainSubstring("0.700 s later the router logged budget_sync_failed: store: outcome unknown"))
		Expect(text).NotTo(ContainSubstring("of another box"))
		Expect(text).NotTo(ContainSubstring("a later one"))
	})

	It("does not blame a call that failed long after the refusal, or after an answer", func() {
		refused := `  6.0 edge-1 ts=2026-01-01T00:00:06Z level=info event=request request=r-1 code=3003 took=0.145 bound=9993 budget=unreachable free=1200 rest=240000 rest_age=0.745 silent=0
`
		failed := `event=budget_sync_failed error="store: outcome unknown"
`
		Expect(render(refused+"  8.0 edge-1 ts=2026-01-01T00:00:08Z level=warn "+failed, "late")).NotTo(ContainSubstring("later the router logged"))
		answer := "  6.1 edge-1 ts=2026-01-01T00:00:06Z level=info event=budget_grant workspace=kiosk\n"
		Expect(render(refused+answer+"  6.4 edge-1 ts=2026-01-01T00:00:06Z level=warn "+failed, "answered")).NotTo(ContainSubstring("later the router logged"))
	})

	It("ignores a failed sync after which the record was read", func() {
		text := render(`  5.0 edge-1 ts=2026-01-01T00:00:05Z level=warn event=budget_sync_failed error="store: outcome unknown"
  9.0 edge-1 ts=2026-01-01T00:00:09Z level=info event=request request=r-1 code=3003 took=0.1 bound=9993 budget=withheld free=12 rest=24 rest_age=0.2 silent=0
`, "read since")
		Expect(text).NotTo(ContainSubstring("the last sync of the budgets failed"))
		Expect(text).To(ContainSubstring("withheld means that"))
	})

	It("reports that the budget was not asked for a request that exceeds the prepaid total", func() {
		text := render(`  9.0 edge-1 ts=2026-01-01T00:00:09Z level=info event=request request=r-1 code=3001 took=0.1 bound=9993 used=0 budget=granted free=0 rest=0 rest_age=0 silent=0
`, "too large")
		Expect(text).To(ContainSubstring("more than the whole prepaid total, so the budget was not asked"))
		Expect(text).NotTo(ContainSubstring("the budget said granted"))
	})

	It("tracks the outage of each prefix separately", func() {
		text := render(`  5.0 edge-1 ts=2026-01-01T00:00:05Z level=warn event=store_lost prefix=op/ at=9 error="store: outcome unknown"
  5.5 edge-1 ts=2026-01-01T00:00:05Z level=warn event=store_lost prefix=servers/ at=9 error="store: outcome unknown"
  6.0 edge-1 ts=2026-01-01T00:00:06Z level=info event=store_regained prefix=servers/ at=9
  7.5 edge-1 ts=2026-01-01T00:00:07Z level=info event=request request=r-1 code=3003 took=0.1 bound=9993 budget=unreachable free=12 rest=24 rest_age=4 silent=2
`, "prefixes")
		Expect(text).To(ContainSubstring("the store had not answered for 2.500 s: store: outcome unknown"))
	})

	It("discards the state of a process that has ended", func() {
		text := render(`  5.0 edge-1 ts=2026-01-01T00:00:05Z level=warn event=store_lost prefix=op/ at=9 error="store: outcome unknown"
  5.1 edge-1 ts=2026-01-01T00:00:05Z level=info event=stop active=0
  6.0 edge-1 ts=2026-01-01T00:00:06Z level=info event=start box=edge-1
  7.5 edge-1 ts=2026-01-01T00:00:07Z level=info event=request request=r-1 code=3003 took=0.1 bound=9993 budget=scarce free=12 rest=24 rest_age=1
`, "new process")
		Expect(text).NotTo(ContainSubstring("the store had not answered"))
		Expect(text).NotTo(ContainSubstring("told to stop"))
	})

	It("reports connections that the router itself closed, and why", func() {
		closed := `the connection broke: read tcp 10.2.0.6:32774->10.2.64.25:8741: use of closed network connection"
`
		attempt := "  3.0 edge-1 ts=2026-01-01T00:00:08Z level=info event=attempt request=r-1 attempt=1 upstream=i-1 entry=4 status=0 after=0 took=0.4 error=\"5002 upstream_lost: "
		Expect(render(attempt+closed, "time over")).To(ContainSubstring("the router closed this connection itself: the request's time was over, or the caller had left"))
		stalled := render(attempt+"no progress: "+closed, "stalled")
		Expect(stalled).To(ContainSubstring("the router closed this connection itself: the upstream made no progress"))
		Expect(stalled).NotTo(ContainSubstring("the request's time was over"))
		Expect(render(attempt+"connection reset by peer\"\n", "reset")).NotTo(ContainSubstring("closed this connection itself"))
	})

	It("fails for a request without a line", func() {
		_, err := explain.Read(strings.NewReader("nothing\n"), "r-1")
		Expect(err).To(MatchError(explain.ErrNoRequest))
	})
})
