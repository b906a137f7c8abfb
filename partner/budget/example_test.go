// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget_test

import (
	"context"
	"fmt"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/standin"
)

// A request waits for tokens, a keeper grants them, and the request settles to
// what it cost.
func ExamplePurse() {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	id := granitehoist.NewBudgetID("tuul", "kiosk", "season")
	keeper := budget.NewKeeper(budget.KeeperSettings{
		Region: "tuul",
		Store:  standin.NewStore(standin.StoreSettings{}),
		Prepaid: func(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
			return 1000, 1, true
		},
	})
	purse := budget.NewPurse(budget.PurseSettings{Incarnation: "box-1"})

	fmt.Println("held at first:", purse.Reserve(id, 300))
	waiter := purse.Wait(id, 300, now)
	asks, _ := purse.Asks(now)
	result, err := keeper.Sync(context.Background(), 0, budget.SyncParams{Incarnation: "box-1", Asks: asks}, now)
	if err != nil {
		fmt.Println(err)
		return
	}
	purse.Apply(asks, result.Replies, now)
	fmt.Println("granted:", purse.EndWait(id, waiter, now) == budget.Granted)
	purse.Settle(id, 300, 120, now)
	fmt.Println("spent:", purse.State(id, now).Totals.Spent)
	// Output:
	// held at first: false
	// granted: true
	// spent: 120
}
