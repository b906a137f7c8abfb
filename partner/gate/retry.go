// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import "granitehoist.example/granitehoist/internal/retrybudget"

const (
	// retriesPerRequest bounds retries to a tenth of the requests of all
	// services together, so that a failing service is not loaded much further
	// by them. Chosen, not measured.
	retriesPerRequest = 0.1
	// maxSavedRetries is the most retries that requests without a retry can
	// save up. Chosen, not measured.
	maxSavedRetries = 20
	// initialRetryPart is the part of maxSavedRetries that a router starts
	// with: 10 retries. Chosen, not measured.
	initialRetryPart = 0.5
)

// newRetryBudget returns the retry budget of a router. It does not refill with
// time.
func newRetryBudget() *retrybudget.Budget {
	return retrybudget.New(retrybudget.Settings{
		PerRequest:  retriesPerRequest,
		Capacity:    maxSavedRetries,
		InitialPart: initialRetryPart,
	})
}
