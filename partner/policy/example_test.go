// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package policy_test

import (
	"fmt"
	"time"

	"granitehoist.example/granitehoist/partner/policy"
)

func ExamplePolicy_Decide() {
	p, err := policy.New(policy.Source{
		Name:     "lend-at-night",
		Permit:   `service == "granite-pool" && (hour >= 20 || hour < 6)`,
		Priority: "priority < 3 ? priority : 3",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, hour := range []int{12, 22} {
		d, err := p.Decide(policy.Request{
			Service:  "granite-pool",
			Priority: 9,
			Time:     time.Date(2026, 12, 2, hour, 0, 0, 0, time.UTC),
		})
		fmt.Println(hour, d.Permit, d.Priority, err)
	}
	// Output:
	// 12 false 0 <nil>
	// 22 true 3 <nil>
}
