// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance_test

import (
	"fmt"
	"time"

	"granitehoist.example/granitehoist/balance"
)

// Choose an instance, send the request to its address, and report the result.
func Example() {
	now := time.Unix(1000, 0)
	table := balance.New(balance.Settings{Zone: "north"})
	table.Announce(balance.Instance{ID: "i-1", Service: "answers", Address: "10.0.0.1:80", Zone: "north", Version: 1}, now)
	lease, err := table.Pick(balance.Query{Service: "answers"}, now)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(lease.ID, lease.Address)
	lease.Done(balance.Succeeded, now.Add(20*time.Millisecond))
	// Output: i-1 10.0.0.1:80
}
