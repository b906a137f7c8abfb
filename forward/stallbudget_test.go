// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/platform"
	"granitehoist.example/granitehoist/standin"
)

// TestStalledAttemptContinuesWithoutRetry checks that a stalled attempt is not cancelled
// if the retry budget is empty.
func TestStalledAttemptContinuesWithoutRetry(t *testing.T) {
	RegisterTestingT(t)
	s := newFixture()
	for _, instance := range []string{"i-1", "i-2"} {
		// The gap between events exceeds the stall limits.
		w, err := standin.NewWorker(instance, always(standin.WorkerResponse{Events: 2, Gap: 1200 * time.Millisecond}))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		s.table.Announce(balance.Instance{ID: granitehoist.Upstream(instance), Service: model, Address: w.Address(), Version: 1}, time.Now())
	}
	f := forward.New(forward.Settings{
		Catalog: s.current, Budgets: s.budgets, Table: s.table, Codec: platform.Codec{},
		Pool:  exchange.NewPool(exchange.Settings{}),
		Retry: forward.RetrySettings{Window: time.Hour},
	})
	if _, err := f.Serve(context.Background(), request("/resume/x"), &fakeSink{}); err != nil {
		t.Fatalf("request with a retry in the budget: %v", err)
	}
	if _, err := f.Serve(context.Background(), request("/resume/x"), &fakeSink{}); err != nil {
		t.Errorf("request with an empty budget: %v", err)
	}
}
