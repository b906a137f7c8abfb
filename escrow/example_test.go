// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"context"
	"fmt"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/standin"
)

// A router takes tokens from the record, pays for a request and returns the remaining
// tokens at shutdown.
func Example() {
	now := time.Unix(0, 0)
	store := standin.NewStore(standin.StoreSettings{})
	ledger := escrow.NewLedger(escrow.LedgerSettings{Incarnation: "edge-1-a"})
	syncer := escrow.NewSyncer(escrow.SyncerSettings{Box: "edge-1", Ledger: ledger, Store: store})
	ledger.SetLimit("kiosk", 1000)
	if err := syncer.Sync(context.Background()); err != nil {
		fmt.Println(err)
	}
	fmt.Println("reserved:", ledger.Reserve("kiosk", 80, granitehoist.DefaultPriority, now))
	ledger.Settle("kiosk", 80, 50, now)
	ledger.Close()
	if err := syncer.Sync(context.Background()); err != nil {
		fmt.Println(err)
	}
	state := ledger.State("kiosk")
	fmt.Println("spent:", state.Spent, "owned after the stop:", state.Granted-state.Returned-state.Spent)
	// Output:
	// reserved: true
	// spent: 50 owned after the stop: 0
}
