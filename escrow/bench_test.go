// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/standin"
)

// BenchmarkSync measures one sync of a router among others, store included, and reports
// the size of the record.
func BenchmarkSync(b *testing.B) {
	for _, size := range []struct{ routers, workspaces int }{{6, 10}, {87, 24}, {300, 24}} {
		b.Run(fmt.Sprintf("routers=%d,workspaces=%d", size.routers, size.workspaces), func(b *testing.B) {
			now := time.Unix(1000, 0)
			clock := func() time.Time { return now }
			store := standin.NewStore(standin.StoreSettings{Clock: clock})
			var boxes []*box
			for i := range size.routers {
				each := newBox(fmt.Sprintf("edge-hall-%d", i), fmt.Sprintf("edge-hall-%d-0123456789abcdef01234567", i), store, size.routers, clock)
				for w := range size.workspaces {
					each.ledger.SetLimit(granitehoist.Workspace(fmt.Sprintf("work%03d", w)), 1<<40)
				}
				if err := each.sync(); err != nil {
					b.Fatal(err)
				}
				boxes = append(boxes, each)
			}
			b.ResetTimer()
			for i := range b.N {
				each := boxes[i%len(boxes)]
				w := granitehoist.Workspace(fmt.Sprintf("work%03d", i%size.workspaces))
				if free := each.ledger.State(w).Free / 2; each.ledger.Reserve(w, free, maxPriority, now) {
					each.ledger.Settle(w, free, free, now)
				}
				if err := each.sync(); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			entry, err := store.Get(context.Background(), escrow.RecordKey)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(entry.Value)), "record-bytes")
		})
	}
}

// BenchmarkReserve measures a reservation and settlement from owned tokens.
func BenchmarkReserve(b *testing.B) {
	now := time.Unix(1000, 0)
	store := standin.NewStore(standin.StoreSettings{})
	one := newBox("a", "a1", store, 1, func() time.Time { return now })
	one.ledger.SetLimit(testWorkspace, 1<<50)
	if err := one.sync(); err != nil {
		b.Fatal(err)
	}
	for range b.N {
		if one.ledger.Reserve(testWorkspace, 100, maxPriority, now) {
			one.ledger.Settle(testWorkspace, 100, 0, now)
		}
	}
}

// BenchmarkHolder measures the work of a holder for one request of a borrower, store
// included: a loan, a partial repayment, and a write of the record for every hundredth
// loan. It reports the size of the record, which does not depend on the number of
// routers.
func BenchmarkHolder(b *testing.B) {
	for _, routers := range []int{22, 87, 295, 1100} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			now := time.Unix(1000, 0)
			store := standin.NewStore(standin.StoreSettings{Clock: func() time.Time { return now }})
			holder := newHolder("edge-hall-1", "edge-hall-1-0123456789abcdef01234567", store, func() time.Time { return now })
			holder.ledger.SetLimit(testWorkspace, 1<<50)
			if err := holder.sync(); err != nil {
				b.Fatal(err)
			}
			repaid := make([]granitehoist.Tokens, routers)
			b.ResetTimer()
			for i := range b.N {
				borrower := granitehoist.Incarnation(fmt.Sprintf("edge-hall-%d-0123456789abcdef01234567", i%routers))
				loan := escrow.LendParams{Borrower: borrower, Workspace: testWorkspace, Need: 1000, Want: 1000}
				if _, err := holder.syncer.ServeLend(b.Context(), loan); err != nil {
					b.Fatal(err)
				}
				repaid[i%routers] += 100
				rest := escrow.RepayParams{Sender: borrower, Workspace: testWorkspace, Total: repaid[i%routers]}
				if _, err := holder.syncer.ServeRepay(b.Context(), rest); err != nil {
					b.Fatal(err)
				}
				now = now.Add(time.Millisecond)
				if i%100 > 0 {
					continue
				}
				if err := holder.sync(); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			entry, err := store.Get(b.Context(), escrow.RecordKey)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(entry.Value)), "record-bytes")
		})
	}
}
