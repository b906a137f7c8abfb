// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route_test

import (
	"fmt"
	"testing"

	"granitehoist.example/granitehoist/partner/route"
)

// BenchmarkAcquire measures the choice among a service's upstreams.
func BenchmarkAcquire(b *testing.B) {
	for _, count := range []int{12, 200, 10000} {
		b.Run(fmt.Sprintf("upstreams=%d", count), func(b *testing.B) {
			table := route.NewTable(route.Settings{})
			want := route.Request{Service: "s", Targets: targets(count, 32)}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				want.Affinity = uint64(i + 1)
				slot, err := table.Acquire(ctx, want, start)
				if err != nil {
					b.Fatal(err)
				}
				slot.Done(route.Succeeded, start)
			}
		})
	}
}
