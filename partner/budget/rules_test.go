// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var ruleTime = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// check fails a test whose rule decided otherwise.
func check[T comparable](t *testing.T, got, want T) {
	t.Helper()
	NewWithT(t).Expect(got).To(Equal(want))
}

// ruleAccount returns an account that holds and waits for tokens. A negative
// target stands for no reply.
func ruleAccount(held, target, largest granitehoist.Tokens, waiting ...granitehoist.Tokens) *account {
	a := &account{totals: Totals{Granted: held}, reportedAt: ruleTime}
	a.demand.largest = largest
	if target >= 0 {
		a.reply = lastReply{received: true, at: ruleTime, target: target}
	}
	for _, bound := range waiting {
		a.demand.waiters = append(a.demand.waiters, &Waiter{bound: bound})
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
		{"nothing before the first reply", ruleAccount(100, -1, 10), false, 0},
		{"what is above the target", ruleAccount(100, 40, 10), false, 60},
		{"not a small part of the target", ruleAccount(100, 92, 10), false, 0},
		{"not what requests wait for", ruleAccount(100, 0, 0, 95), false, 5},
		{"a small part while the budget is scarce", ruleAccount(10, 8, 9), false, 2},
		{"a part that serves no request while the budget is scarce", ruleAccount(10, 0, 20, 20), false, 10},
		{"not a part that serves no request while there is enough", ruleAccount(10, 20, 20, 20), false, 0},
		{"all at a stop", ruleAccount(100, 100, 10), true, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			check(t, max(0, test.account.surplus(test.closing)), test.want)
		})
	}
}

func TestIsDue(t *testing.T) {
	for _, test := range []struct {
		name    string
		account *account
		silent  time.Duration
		closing bool
		want    bool
	}{
		{"a request waits", ruleAccount(0, -1, 0, 5), 0, false, true},
		{"others may wait for what is idle", ruleAccount(5, 0, 5), 0, false, true},
		{"the box stops", ruleAccount(0, -1, 0), 0, true, true},
		{"half of the target, just reported", ruleAccount(40, 100, 10), shortfallInterval - 1, false, false},
		{"half of the target", ruleAccount(40, 100, 10), shortfallInterval, false, true},
		{"enough, reported a while ago", ruleAccount(80, 100, 10), reportInterval - 1, false, false},
		{"enough, not reported for long", ruleAccount(80, 100, 10), reportInterval, false, true},
		{"nothing held and nothing changed", ruleAccount(0, -1, 0), time.Hour, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			check(t, test.account.isDue(test.closing, ruleTime.Add(test.silent)), test.want)
		})
	}
}

func TestLendable(t *testing.T) {
	for _, test := range []struct {
		name    string
		account *account
		want    granitehoist.Tokens
	}{
		{"half of what is free", ruleAccount(100, -1, 0), 50},
		{"half of what no request waits for", ruleAccount(100, -1, 0, 60), 20},
		{"less than nothing", ruleAccount(0, -1, 0, 60), -30},
	} {
		t.Run(test.name, func(t *testing.T) {
			check(t, test.account.lendable(time.Minute, ruleTime), test.want)
		})
	}
}

func TestLastReply(t *testing.T) {
	reply := lastReply{received: true, at: ruleTime, remaining: 10}
	for _, test := range []struct {
		name     string
		reply    lastReply
		bound    granitehoist.Tokens
		age      time.Duration
		exhausts bool
		outcome  Outcome
	}{
		{"none", lastReply{}, 20, 0, false, Unreachable},
		{"fresh, and the bound is larger", reply, 20, 0, true, Exhausted},
		{"fresh, and the bound fits", reply, 10, 0, false, Exhausted},
		{"too old to refuse at once", reply, 20, remainingFresh, false, Exhausted},
		{"from before the wait", reply, 20, DefaultWait, false, Unreachable},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := ruleTime.Add(test.age)
			check(t, test.reply.exhausts(test.bound, now), test.exhausts)
			check(t, test.reply.unservedOutcome(DefaultWait, now), test.outcome)
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
		{"the cover of a budget that lasts", 100_000, 1, 1, time.Hour},
		{"a share of the remaining life", 3600, 1, 1, 30 * time.Minute},
		{"less in the last minute", 30, 1, 1, 15 * time.Second / 2},
		{"less for the last requests", 3600, 360, 1, 15 * time.Minute},
		{"nothing for the last two requests", 100, 50, 1, 0},
		{"nothing without a forecast", 100, 1, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			check(t, horizon(test.total, test.largest, test.rate, split), test.want)
		})
	}
}

func TestAllot(t *testing.T) {
	split := Split{Cover: time.Hour, Share: 1}
	small := claim{least: 10, need: 10, want: 10, rate: 1, largest: 10}
	large := claim{least: 60, need: 80, want: 80, rate: 1, largest: 60}
	ahead := claim{want: 500, rate: 1, largest: 10, largestSum: 10}
	for _, test := range []struct {
		name   string
		claims []claim
		supply supply
		want   []granitehoist.Tokens
	}{
		{"the smallest request first", []claim{large, small}, supply{stock: 65, total: 65, rate: 2}, []granitehoist.Tokens{0, 10}},
		{"others of a holder once its smallest runs", []claim{large, small}, supply{stock: 75, total: 75, rate: 2}, []granitehoist.Tokens{65, 10}},
		{"no part of a request", []claim{large}, supply{stock: 59, total: 59, rate: 1}, []granitehoist.Tokens{0}},
		{"a quiet share ahead", []claim{ahead}, supply{stock: 1000, total: 1000, rate: 0, quiet: 100}, []granitehoist.Tokens{100}},
		{"no quiet share that serves no request", []claim{ahead}, supply{stock: 1000, total: 1000, rate: 0, quiet: 9}, []granitehoist.Tokens{0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			claims := make([]*claim, len(test.claims))
			for i := range test.claims {
				c := test.claims[i]
				claims[i] = &c
			}
			allot(claims, test.supply, split)
			for i, c := range claims {
				check(t, c.grant, test.want[i])
			}
		})
	}
}

func TestShouldAskRoot(t *testing.T) {
	account := PageAccount{Received: 100, Limit: 100, Confirmed: 5, ReportedAt: ruleTime.Unix()}
	for _, test := range []struct {
		name    string
		account PageAccount
		ask     RegionAsk
		age     time.Duration
		want    bool
	}{
		{"nothing to report", account, RegionAsk{Live: 100, Returned: 5}, rootInterval - time.Second, false},
		{"the last report is old", account, RegionAsk{Live: 100, Returned: 5}, rootInterval, true},
		{"requests wait", account, RegionAsk{Live: 100, Returned: 5, Need: 1}, 0, true},
		{"tokens were given back", account, RegionAsk{Live: 100, Returned: 6}, 0, true},
		{"nothing was ever received", PageAccount{}, RegionAsk{}, 0, true},
		{"below half, just reported", account, RegionAsk{Live: 49, Returned: 5, Want: 1}, 0, false},
		{"below half", account, RegionAsk{Live: 49, Returned: 5, Want: 1}, shortfallInterval, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			check(t, test.account.shouldAskRoot(test.ask, ruleTime.Add(test.age)), test.want)
		})
	}
}
