// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package retrybudget_test

import (
	"fmt"
	"time"

	"granitehoist.example/granitehoist/internal/retrybudget"
)

// Two routers share 4 retries, and every second request adds one.
func ExampleBudget() {
	b := retrybudget.New(retrybudget.Settings{
		PerRequest: 0.5,
		Capacity:   4,
		Routers:    func() int { return 2 },
	})
	now := time.Now()
	fmt.Println(b.Take(now), b.Take(now), b.Take(now))
	b.Earn(now)
	fmt.Println(b.Take(now))
	b.Earn(now)
	fmt.Println(b.Take(now))
	// Output:
	// true true false
	// false
	// true
}
