// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package report_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/report"
)

var now = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

var key = report.Key{Service: "pool", Workspace: "kiosk", Zone: "gachuurt"}

var _ = Describe("Recorder", func() {
	It("sums each window separately and drops counts after a day", func() {
		var r report.Recorder
		r.Add(key, report.Counts{Requests: 1}, now.Add(-25*time.Hour))
		r.Add(key, report.Counts{Requests: 2}, now.Add(-5*time.Hour))
		r.Add(key, report.Counts{Requests: 4}, now.Add(-30*time.Minute))
		r.Add(key, report.Counts{Requests: 8}, now)
		rows := r.Rows(now)
		Expect(rows).To(HaveLen(1))
		var requests []int
		for _, c := range rows[0].Windows {
			requests = append(requests, c.Requests)
		}
		Expect(requests).To(Equal([]int{8, 12, 14, 14}))
		Expect(r.Rows(now.Add(48 * time.Hour))).To(BeEmpty())
	})

	It("resets a bucket that it reuses a day later", func() {
		var r report.Recorder
		r.Add(key, report.Counts{Requests: 5}, now)
		r.Add(key, report.Counts{Requests: 1}, now.Add(24*time.Hour))
		Expect(r.Rows(now.Add(24 * time.Hour))[0].Windows[3].Requests).To(Equal(1))
	})

	It("bounds the number of keys and loses no request", func() {
		var r report.Recorder
		for i := range 3000 {
			k := key
			k.Workspace = granitehoist.Workspace(strings.Repeat("x", i))
			r.Add(k, report.Counts{Requests: 1}, now)
		}
		total := 0
		rows := r.Rows(now)
		for _, row := range rows {
			total += row.Windows[0].Requests
		}
		Expect(total).To(Equal(3000))
		Expect(len(rows)).To(BeNumerically("<=", 2001))
	})
})

var _ = Describe("CountsOf", func() {
	DescribeTable("distinguishes refusals and errors from client errors",
		func(code granitehoist.Code, refused, errors int) {
			Expect(report.CountsOf(code)).To(Equal(report.Counts{Requests: 1, Refused: refused, Errors: errors}))
		},
		Entry("served", granitehoist.Served, 0, 0),
		Entry("bad request", granitehoist.BadRequest, 0, 0),
		Entry("denied by policy", granitehoist.PolicyDenied, 0, 0),
		Entry("budget exhausted", granitehoist.BudgetExhausted, 1, 0),
		Entry("overloaded", granitehoist.Overloaded, 1, 0),
		Entry("response cut off", granitehoist.UpstreamCut, 0, 1),
		Entry("already run", granitehoist.AlreadyRun, 0, 0),
		Entry("internal error", granitehoist.Internal, 0, 1),
	)
})

var _ = Describe("BurnReport", func() {
	It("sums the counts of routers and lists unreached boxes", func() {
		var a, b report.Recorder
		a.Add(key, report.Counts{Requests: 50, FirstTokens: 50, SlowFirstTokens: 5}, now)
		b.Add(key, report.Counts{Requests: 50, FirstTokens: 50}, now)
		burn := report.BurnReport{Asked: []granitehoist.Box{"a", "b"}, Unreachable: []granitehoist.Box{"c"}}
		burn.Merge(a.Rows(now))
		burn.Merge(b.Rows(now))
		Expect(burn.Rows).To(HaveLen(1))
		var text strings.Builder
		Expect(report.WriteBurn(&text, burn)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("unreached=[c]"))
		Expect(text.String()).To(MatchRegexp(`pool\s+kiosk\s+gachuurt\s+100\s+1.00`))
	})

	It("has rate 1 when the error budget is used up exactly", func() {
		Expect(report.BurnRate(5, 100)).To(BeNumerically("~", 1))
		Expect(report.BurnRate(0, 0)).To(BeZero())
	})
})

var _ = Describe("WriteMetrics", func() {
	It("writes counters by code and timers in seconds", func() {
		registry := metrics.NewRegistry()
		metrics.GetOrRegisterCounter("requests.code.1", registry).Inc(3)
		metrics.GetOrRegisterTimer("first_token", registry).Update(time.Second)
		var text strings.Builder
		Expect(report.WriteMetrics(&text, registry)).To(Succeed())
		Expect(text.String()).To(ContainSubstring(`granitehoist_requests_total{code="1"} 3`))
		Expect(text.String()).To(ContainSubstring(`granitehoist_first_token_seconds{quantile="0.5"} 1`))
	})
})
