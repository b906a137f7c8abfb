// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"granitehoist.example/granitehoist"
)

// A router that does not speak with the store fills its holdings by loans from
// relays, which do.

// Bounds of asking relays.
const (
	relaysAsked = 3
	// relayWait is how long a relay waits for the store on behalf of a
	// neighbour.
	relayWait = 45 * time.Millisecond
)

// replenish fills the holdings from relays, and reports whether they have done
// what can be done: the record can't help either where a relay that knows it
// does not.
func (s *Syncer) replenish(ctx context.Context) bool {
	low := s.settings.Ledger.lacks(s.settings.Routers(), s.settings.Clock())
	lenders := s.lenders()
	lenders = lenders[:min(len(lenders), relaysAsked)]
	var unhelped atomic.Int32
	var asking sync.WaitGroup
	for _, missing := range low {
		asking.Go(func() {
			if !s.borrowFromAny(ctx, lenders, missing) {
				unhelped.Add(1)
			}
		})
	}
	asking.Wait()
	inTouch := unhelped.Load() == 0
	if !inTouch {
		s.settings.Ledger.noteStoreFailure(s.settings.Clock())
	}
	return s.settings.Ledger.replenished(inTouch)
}

// borrowFromAny asks one lender after the other until nothing is missing or one
// is in touch with the store: then the others can't do more. It reports whether
// one of the two came about.
func (s *Syncer) borrowFromAny(ctx context.Context, lenders []granitehoist.Peer, missing shortage) bool {
	for _, lender := range lenders {
		if s.borrowFrom(ctx, lender, missing) {
			return true
		}
		if missing = s.settings.Ledger.lackOf(missing.workspace, s.settings.Routers(), s.settings.Clock()); missing.want == 0 {
			return true
		}
	}
	return false
}
