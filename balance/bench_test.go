// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance_test

import (
	"fmt"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

// BenchmarkPick measures one choice among different numbers of instances.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{18, 140, 1000} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			now := time.Unix(1000, 0)
			t := balance.New(balance.Settings{})
			for i := range count {
				t.Announce(balance.Instance{ID: granitehoist.Upstream(fmt.Sprint("i-", i)), Service: "pool", Capacity: 64}, now)
			}
			for i := range b.N {
				lease, err := t.Pick(balance.Query{Service: "pool", PrefixHash: uint64(i), PrefixTokens: 5000, PromptTokens: 6000}, now)
				if err != nil {
					b.Fatal(err)
				}
				lease.Done(balance.Succeeded, now)
			}
		})
	}
}
