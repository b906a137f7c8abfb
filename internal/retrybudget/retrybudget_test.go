// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package retrybudget_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"granitehoist.example/granitehoist/internal/retrybudget"
)

// start is the time of the first request.
var start = time.Unix(1_000_000, 0)

// after returns the time the given number of seconds after start.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// routers returns a Settings.Routers function with a fixed result.
func routers(n int) func() int { return func() int { return n } }

// expectRetries asserts that the budget allows exactly want retries at now, and takes
// them.
func expectRetries(b *retrybudget.Budget, now time.Time, want int) {
	GinkgoHelper()
	got := 0
	for got <= want && b.Take(now) {
		got++
	}
	Expect(got).To(Equal(want))
}

// earn records the given number of requests.
func earn(b *retrybudget.Budget, now time.Time, requests int) {
	for range requests {
		b.Earn(now)
	}
}

var _ = Describe("Budget", func() {
	DescribeTable("initially allows",
		func(s retrybudget.Settings, want int) { expectRetries(retrybudget.New(s), start, want) },
		Entry("one retry without settings", retrybudget.Settings{}, 1),
		Entry("the full capacity", retrybudget.Settings{Capacity: 25}, 25),
		Entry("the initial fraction of the capacity", retrybudget.Settings{Capacity: 20, InitialFraction: 0.5}, 10),
		Entry("the router's share of the capacity", retrybudget.Settings{Capacity: 25, Routers: routers(5)}, 5),
		Entry("one retry if the share is below one", retrybudget.Settings{Capacity: 25, Routers: routers(50)}, 1),
		Entry("the full capacity if the number of routers is zero", retrybudget.Settings{Capacity: 25, Routers: routers(0)}, 25),
	)

	DescribeTable("allows after it was emptied, following requests,",
		func(s retrybudget.Settings, requests, want int) {
			b := retrybudget.New(s)
			expectRetries(b, start, int(max(1, s.Capacity)))
			earn(b, start, requests)
			expectRetries(b, start, want)
		},
		Entry("none without requests", retrybudget.Settings{Capacity: 20, PerRequest: 0.125}, 0, 0),
		Entry("none before one full retry has accumulated", retrybudget.Settings{Capacity: 20, PerRequest: 0.125}, 7, 0),
		Entry("one when one full retry has accumulated", retrybudget.Settings{Capacity: 20, PerRequest: 0.125}, 8, 1),
		Entry("no more than its capacity", retrybudget.Settings{Capacity: 20, PerRequest: 0.125}, 1000, 20),
		Entry("none if requests add nothing", retrybudget.Settings{Capacity: 20}, 1000, 0),
	)

	DescribeTable("allows after it was emptied, following a pause,",
		func(s retrybudget.Settings, seconds float64, want int) {
			b := retrybudget.New(s)
			expectRetries(b, start, int(s.Capacity))
			expectRetries(b, after(seconds), want)
		},
		Entry("none immediately", retrybudget.Settings{Capacity: 20, Window: 10 * time.Second}, 0.0, 0),
		Entry("half of the capacity after half of the window", retrybudget.Settings{Capacity: 20, Window: 10 * time.Second}, 5.0, 10),
		Entry("no more than its capacity", retrybudget.Settings{Capacity: 20, Window: 10 * time.Second}, 100.0, 20),
		Entry("none without a window", retrybudget.Settings{Capacity: 20}, 100.0, 0),
	)

	It("adapts its share to the number of routers", func() {
		count := 1
		b := retrybudget.New(retrybudget.Settings{Capacity: 20, Window: 10 * time.Second, Routers: func() int { return count }})
		earn(b, start, 1)
		count = 4
		expectRetries(b, start, 5)
	})

	It("never allows more than the initial, earned and refilled retries", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := retrybudget.Settings{Capacity: 20, PerRequest: 0.1, InitialFraction: 0.5, Window: 10 * time.Second}
			b := retrybudget.New(s)
			now, requests, retries := start, 0, 0
			for range rapid.IntRange(1, 300).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause ms")) * time.Millisecond)
				if rapid.Bool().Draw(t, "request") {
					b.Earn(now)
					requests++
				} else if b.Take(now) {
					retries++
				}
			}
			allowed := 10 + 0.1*float64(requests) + 20*now.Sub(start).Seconds()/10
			if float64(retries) > allowed+1e-6 {
				t.Fatalf("%d retries after %d requests in %v", retries, requests, now.Sub(start))
			}
		})
	})
})
