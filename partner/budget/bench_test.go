// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget_test

import (
	"fmt"
	"testing"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/budget"
)

// filledLedger returns a ledger that holds tokens of count budgets, and their IDs.
func filledLedger(count int) (*budget.Ledger, []granitehoist.BudgetID) {
	p := newTestLedger("box-1")
	ids := make([]granitehoist.BudgetID, count)
	replies := make([]budget.Reply, count)
	for i := range ids {
		ids[i] = granitehoist.NewBudgetID("tuul", "w", fmt.Sprint(i))
		replies[i] = budget.Reply{Budget: ids[i], Granted: 1 << 40, Target: 1 << 40, Remaining: 1 << 40}
	}
	p.Apply(nil, replies, start)
	return p, ids
}

// BenchmarkReserveSettle measures a reservation from tokens held and its settlement.
func BenchmarkReserveSettle(b *testing.B) {
	for _, count := range []int{10, 1000, 14000} {
		b.Run(fmt.Sprintf("budgets=%d", count), func(b *testing.B) {
			p, ids := filledLedger(count)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := ids[i%count]
				if !p.Reserve(id, 1000) {
					b.Fatal("not reserved")
				}
				p.Settle(id, 1000, 0, start)
			}
		})
	}
}

// BenchmarkReports measures the collection of due reports.
func BenchmarkReports(b *testing.B) {
	for _, count := range []int{10, 1000, 14000} {
		b.Run(fmt.Sprintf("budgets=%d", count), func(b *testing.B) {
			p, _ := filledLedger(count)
			b.ReportAllocs()
			for b.Loop() {
				p.Reports(start)
			}
		})
	}
}
