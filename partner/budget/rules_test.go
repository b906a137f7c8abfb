// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var testTime = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// expectEqual fails the test if got differs from want.
func expectEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	NewWithT(t).Expect(got).To(Equal(want))
}

// testAccount returns an account that holds tokens and has waiting requests. A negative
// target means that there was no reply.
func testAccount(held, target, largest granitehoist.Tokens, waiting ...granitehoist.Tokens) *account {
	a := &account{totals: Totals{Granted: held}, reportedAt: testTime}
	a.demand.largest = largest
	if target >= 0 {
		a.reply = lastReply{received: true, receivedAt: testTime, target: target}
	}
	for _, bound := range waiting {
		a.demand.waiters = append(a.demand.waiters, &Waiter{maxCost: bound})
	}
	return a
}

func TestSurplus(t *testing.T) {
	for _, test := range []struct {
		name    string
		account *account
		closing bool
		want    granitehoist.Tokens
	}{
		{"nothing before the first reply", testAccount(100, -1, 10), false, 0},
		{"what is above the target", testAccount(100, 40, 10), false, 60},
		{"not a small surplus", testAccount(100, 92, 10), false, 0},
		{"not what requests wait for", testAccount(100, 0, 0, 95), false, 5},
		{"a small surplus while the budget is scarce", testAccount(10, 8, 9), false, 2},
		{"too few for any request while the budget is scarce", testAccount(10, 0, 20, 20), false, 10},
		{"nothing while the budget is not scarce", testAccount(10, 20, 20, 20), false, 0},
		{"everything when closing", testAccount(100, 100, 10), true, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectEqual(t, max(0, test.account.surplus(test.closing)), test.want)
		})
	}
}

func TestIsReportDue(t *testing.T) {
	for _, test := range []struct {
		name    string
		account *account
		silent  time.Duration
		closing bool
		want    bool
	}{
		{"a request waits", testAccount(0, -1, 0, 5), 0, false, true},
		{"requests elsewhere may wait for the surplus", testAccount(5, 0, 5), 0, false, true},
		{"the box is closing", testAccount(0, -1, 0), 0, true, true},
		{"below half of the target, just reported", testAccount(40, 100, 10), shortfallInterval - 1, false, false},
		{"below half of the target", testAccount(40, 100, 10), shortfallInterval, false, true},
		{"enough, reported a while ago", testAccount(80, 100, 10), reportInterval - 1, false, false},
		{"enough, not reported for long", testAccount(80, 100, 10), reportInterval, false, true},
		{"nothing held and nothing changed", testAccount(0, -1, 0), time.Hour, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectEqual(t, test.account.isReportDue(test.closing, testTime.Add(test.silent)), test.want)
		})
	}
}

func TestLendable(t *testing.T) {
	for _, test := range []struct {
		name    string
		account *account
		want    granitehoist.Tokens
	}{
		{"half of what is free", testAccount(100, -1, 0), 50},
		{"half of what no request waits for", testAccount(100, -1, 0, 60), 20},
		{"negative without spare tokens", testAccount(0, -1, 0, 60), -30},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectEqual(t, test.account.lendable(time.Minute, testTime), test.want)
		})
	}
}

func TestLastReply(t *testing.T) {
	reply := lastReply{received: true, receivedAt: testTime, remaining: 10}
	for _, test := range []struct {
		name     string
		reply    lastReply
		bound    granitehoist.Tokens
		age      time.Duration
		exhausts bool
		outcome  Outcome
	}{
		{"no reply", lastReply{}, 20, 0, false, Unreachable},
		{"recent, and the bound is larger", reply, 20, 0, true, Exhausted},
		{"recent, and the bound fits", reply, 10, 0, false, Exhausted},
		{"too old to refuse at once", reply, 20, remainingTTL, false, Exhausted},
		{"from before the wait", reply, 20, DefaultWait, false, Unreachable},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := testTime.Add(test.age)
			expectEqual(t, test.reply.provesExhausted(test.bound, now), test.exhausts)
			expectEqual(t, test.reply.timeoutOutcome(DefaultWait, now), test.outcome)
		})
	}
}

func TestHorizon(t *testing.T) {
	split := Split{Cover: time.Hour, Share: 0.5}
	for _, test := range []struct {
		name           string
		total, largest granitehoist.Tokens
		rate           float64
		want           time.Duration
	}{
		{"the cover of a large budget", 100_000, 1, 1, time.Hour},
		{"a share of the remaining lifetime", 3600, 1, 1, 30 * time.Minute},
		{"shorter in the last minute", 30, 1, 1, 15 * time.Second / 2},
		{"shorter for the last requests", 3600, 360, 1, 15 * time.Minute},
		{"zero for the last two requests", 100, 50, 1, 0},
		{"zero without a forecast", 100, 1, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectEqual(t, horizon(test.total, test.largest, test.rate, split), test.want)
		})
	}
}

func TestAllocate(t *testing.T) {
	split := Split{Cover: time.Hour, Share: 1}
	small := claim{least: 10, need: 10, want: 10, rate: 1, largest: 10}
	large := claim{least: 60, need: 80, want: 80, rate: 1, largest: 60}
	idle := claim{want: 500, rate: 1, largest: 10, largestSum: 10}
	for _, test := range []struct {
		name   string
		claims []claim
		supply supply
		want   []granitehoist.Tokens
	}{
		{"the smallest request first", []claim{large, small}, supply{grantable: 65, total: 65, rate: 2}, []granitehoist.Tokens{0, 10}},
		{"other requests of a holder after its smallest", []claim{large, small}, supply{grantable: 75, total: 75, rate: 2}, []granitehoist.Tokens{65, 10}},
		{"no partial grant for a request", []claim{large}, supply{grantable: 59, total: 59, rate: 1}, []granitehoist.Tokens{0}},
		{"an idle reserve", []claim{idle}, supply{grantable: 1000, total: 1000, rate: 0, idleReserve: 100}, []granitehoist.Tokens{100}},
		{"no idle reserve too small for a request", []claim{idle}, supply{grantable: 1000, total: 1000, rate: 0, idleReserve: 9}, []granitehoist.Tokens{0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			claims := make([]*claim, len(test.claims))
			for i := range test.claims {
				c := test.claims[i]
				claims[i] = &c
			}
			allocate(claims, test.supply, split)
			for i, c := range claims {
				expectEqual(t, c.grant, test.want[i])
			}
		})
	}
}

func TestIsRootReportDue(t *testing.T) {
	account := RegionAccount{Received: 100, Limit: 100, Confirmed: 5, ReportedAt: testTime.Unix()}
	for _, test := range []struct {
		name    string
		account RegionAccount
		report  RegionReport
		age     time.Duration
		want    bool
	}{
		{"nothing to report", account, RegionReport{Live: 100, Returned: 5}, rootInterval - time.Second, false},
		{"the last report is old", account, RegionReport{Live: 100, Returned: 5}, rootInterval, true},
		{"requests wait", account, RegionReport{Live: 100, Returned: 5, Need: 1}, 0, true},
		{"tokens were returned", account, RegionReport{Live: 100, Returned: 6}, 0, true},
		{"nothing was ever received", RegionAccount{}, RegionReport{}, 0, true},
		{"below half, just reported", account, RegionReport{Live: 49, Returned: 5, Want: 1}, 0, false},
		{"below half", account, RegionReport{Live: 49, Returned: 5, Want: 1}, shortfallInterval, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectEqual(t, test.account.isRootReportDue(test.report, testTime.Add(test.age)), test.want)
		})
	}
}
