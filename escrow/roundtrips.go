// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"sync"
	"time"
)

const (
	// unmeasuredRoundTrip is assumed for a neighbour in another region until a call to it
	// has succeeded.
	unmeasuredRoundTrip = 100 * time.Millisecond
	// roundTripWeight is the weight of a call that took longer than the round trip, which
	// may include a wait for the store.
	roundTripWeight = 0.05
)

// roundTrips estimates the round trip to each neighbour in another region by the shortest
// calls. The zero value is ready to use. It is safe for concurrent use.
type roundTrips struct {
	mu sync.Mutex
	// byAddress holds the estimates.
	byAddress map[string]time.Duration
}

// observe records the duration of a call to a neighbour.
func (r *roundTrips) observe(address string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byAddress == nil {
		r.byAddress = map[string]time.Duration{}
	}
	estimate, known := r.byAddress[address]
	if !known || took < estimate {
		r.byAddress[address] = took
		return
	}
	r.byAddress[address] = estimate + time.Duration(roundTripWeight*float64(took-estimate))
}

// of returns the round trip to a lender, zero if it is in this router's region.
func (r *roundTrips) of(lender Lender) time.Duration {
	if !lender.IsFar {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if estimate, known := r.byAddress[lender.Address]; known {
		return estimate
	}
	return unmeasuredRoundTrip
}

// longest returns the longest round trip to any of the lenders.
func (r *roundTrips) longest(lenders []Lender) time.Duration {
	var longest time.Duration
	for _, lender := range lenders {
		longest = max(longest, r.of(lender))
	}
	return longest
}
