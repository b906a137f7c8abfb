// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/standin"
)

// BenchmarkStreamBegin measures the time from a request to the first event of its stream
// over sockets, at one of four routers: with one release, where no record of the stream
// leaves the router, and with two, where it is sent to three others.
func BenchmarkStreamBegin(b *testing.B) {
	for _, releases := range [][]granitehoist.Release{{"v1"}, {"v1", "v2"}} {
		b.Run(fmt.Sprintf("releases=%d", len(releases)), func(b *testing.B) {
			s := startFleet(NewWithT(b), b.Cleanup, 4)
			s.configure(1, 1_000_000_000, "/stream/", "/a/")
			s.startReleases(2, func(standin.ReceivedRequest) standin.WorkerResponse {
				return standin.WorkerResponse{Events: 1}
			}, releases...)
			for _, m := range s.members {
				s.Eventually(m.node.FleetSize, stepTimeout).Should(Equal(len(s.members)))
				s.Eventually(m.status("/stream/x"), stepTimeout).Should(Equal(200))
			}
			for i := 0; b.Loop(); i++ {
				s.members[0].beginStream(fmt.Sprintf("q-%d", i), 1)
			}
		})
	}
}
