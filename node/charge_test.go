// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/standin"
)

const (
	// wholePrepaid is the budget of the workspace, of which each request can cost
	// wholePrompt and wholeOutput tokens.
	wholePrepaid, wholePrompt, wholeOutput = 60_000, 200, 400
	// wholePause is the time between two requests.
	wholePause = 10 * time.Millisecond
	// minUsedShare is the part of the budget that has to be used.
	minUsedShare = 0.95
)

// TestWholeAnswersSpendTheBudget guards against a workspace that receives more than its budget
// by answers that come whole, or that can't use it.
func TestWholeAnswersSpendTheBudget(t *testing.T) {
	t.Parallel()
	whole := strings.TrimSpace(strings.Repeat("token ", wholeOutput))
	for _, c := range []struct {
		name, path string
		response   standin.WorkerResponse
	}{
		{"unsafe", "/once/x", standin.WorkerResponse{Body: whole, ContentType: "text/plain"}},
		{"safe", "/safe/x", standin.WorkerResponse{Body: whole}},
		{"streaming", "/stream/x", standin.WorkerResponse{Body: whole, ContentType: "application/json"}},
		{"failing", "/once/x", standin.WorkerResponse{Status: http.StatusInternalServerError, Body: whole}},
		{"events", "/stream/x", standin.WorkerResponse{Events: wholeOutput / 5, Label: strings.TrimSpace(strings.Repeat("token ", 5))}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestFleet(t, 3)
			s.configure(1, wholePrepaid, "/once/", "/safe/", "/stream/")
			for range 2 {
				s.startWorkerFunc(func(r standin.ReceivedRequest) standin.WorkerResponse {
					if strings.HasPrefix(r.ID, "whole") {
						return c.response
					}
					return standin.WorkerResponse{}
				})
			}
			s.awaitFleet(c.path)
			var mu sync.Mutex
			received, refused := 0, 0
			var callers sync.WaitGroup
			// A slow machine needs more requests until the budget is used.
			used := func() bool {
				mu.Lock()
				defer mu.Unlock()
				return float64(received) >= minUsedShare*wholePrepaid
			}
			const leastRequests = 3 * wholePrepaid / (wholePrompt + wholeOutput)
			for i, until := 0, time.Now().Add(stepTimeout); i < leastRequests || (!used() && time.Now().Before(until)); i++ {
				m := s.members[i%len(s.members)]
				callers.Go(func() {
					got, err := m.ask(c.path, fmt.Sprint("whole-", i), "Token-Usage", fmt.Sprintf("%d,%d", wholePrompt, wholeOutput))
					mu.Lock()
					defer mu.Unlock()
					if got.header.Get("Response-Seal") != "" {
						received += wholePrompt + strings.Count(got.body, "token")
					}
					if err == nil && (got.status == http.StatusPaymentRequired || got.status == http.StatusServiceUnavailable) {
						refused++
					}
				})
				time.Sleep(wholePause)
			}
			callers.Wait()
			t.Logf("%d of %d tokens received, %d requests refused", received, wholePrepaid, refused)
			s.Expect(received).To(BeNumerically("<=", wholePrepaid))
			s.Expect(received).To(BeNumerically(">=", int(minUsedShare*wholePrepaid)))
			s.Expect(refused).To(BeNumerically(">", 0))
		})
	}
}
