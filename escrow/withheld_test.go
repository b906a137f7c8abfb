// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"context"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/standin"
)

// TestWithheldRequestIsNotGranted guards against granting a request that the end of a
// budget withholds when it starts to wait.
func TestWithheldRequestIsNotGranted(t *testing.T) {
	const limit = granitehoist.Tokens(100_000)
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	store := standin.NewStore(standin.StoreSettings{Clock: clock})
	// Another incarnation has spent all but 2,000 tokens.
	record := &escrow.Record{
		Format: 1,
		Boxes:  map[granitehoist.Box]granitehoist.Incarnation{"b": "b1"},
		Accounts: map[granitehoist.Workspace]*escrow.StoredAccount{testWorkspace: {Rows: map[granitehoist.Incarnation]escrow.Row{
			"b1": {Granted: limit - 2000, Spent: limit - 2000},
		}}},
	}
	value, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.CompareAndSwap(context.Background(), granitehoist.Change{Key: escrow.RecordKey, Value: value}); err != nil {
		t.Fatal(err)
	}
	b := newBox("a", "a1", store, 2, clock)
	b.ledger.SetLimit(testWorkspace, limit)
	if err := b.sync(); err != nil {
		t.Fatal(err)
	}
	// The loan leaves more tokens here than the target.
	b.ledger.RecordLoan(testWorkspace, "b1", escrow.LendResult{Total: 1000}, now)
	for range 10 {
		if !b.ledger.Reserve(testWorkspace, 10, maxPriority, now) {
			t.Fatal("a small request is refused")
		}
		b.ledger.Settle(testWorkspace, 10, 0, now)
	}
	const large = granitehoist.Tokens(900)
	if free := b.ledger.State(testWorkspace).Free; free < large {
		t.Fatalf("%d tokens are free here, too few for the request", free)
	}
	if b.ledger.Reserve(testWorkspace, large, maxPriority, now) {
		t.Fatal("the request is not withheld at the end of the budget")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if answer := b.syncer.Reserve(ctx, testWorkspace, large, maxPriority); answer.Outcome == escrow.Granted {
		t.Errorf("the request is %s after a wait", answer.Outcome)
	}
}
