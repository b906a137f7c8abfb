// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/standin"
)

// TestEndlessResponse guards against a response without an end that is neither counted nor
// logged, or that is not bounded on its way through another router.
func TestEndlessResponse(t *testing.T) {
	t.Parallel()
	for _, kind := range []partitionKind{connected, refusing} {
		t.Run(partitionNames[kind], func(t *testing.T) {
			t.Parallel()
			s := newTestFleet(t, 2)
			s.configure(1, 1_000_000, "/a/")
			endless := map[string]bool{}
			w := s.startWorkerFunc(func(r standin.ReceivedRequest) standin.WorkerResponse {
				if strings.HasPrefix(r.ID, "endless") {
					return standin.WorkerResponse{Endless: standin.Endless{Part: standin.EndlessFields}}
				}
				return standin.WorkerResponse{Body: "answer"}
			})
			for range 3 {
				s.startWorker(standin.WorkerResponse{Body: "answer"})
			}
			s.awaitFleet("/a/x")
			m := s.members[0]
			m.partition.set(kind)
			// The router finds other ways while its connections end.
			s.Eventually(func() int {
				got, err := m.ask("/a/x", fmt.Sprint("warm-", time.Now().UnixNano()))
				if err != nil {
					return 0
				}
				return got.status
			}, stepTimeout).Should(Equal(http.StatusOK))
			for i := 0; len(endless) == 0 && i < 200; i++ {
				id := fmt.Sprint("endless-", i)
				got, err := m.ask("/a/x", id)
				s.Expect(err).NotTo(HaveOccurred())
				s.Expect(got.status).To(Or(Equal(http.StatusOK), Equal(http.StatusBadGateway)))
				if m.logs.FilterMessage(event.ReadLimitExceeded).Len() > 0 {
					endless[id] = true
				}
			}
			s.Expect(endless).NotTo(BeEmpty())
			logged := m.logs.FilterMessage(event.ReadLimitExceeded)
			s.Expect(logged.FilterField(zap.String("peer", w.Instance())).Len()).To(Equal(logged.Len()))
			s.Expect(m.metrics()).To(ContainSubstring(`read_limits_exceeded{from="upstream",part="head",bound="bytes"}`))
			s.Expect(m.metric("upstream_out")).To(Equal("1"))
			s.Expect(w.EndlessBytes()).To(BeNumerically("<", int64(len(endless))*32<<20))
		})
	}
}
