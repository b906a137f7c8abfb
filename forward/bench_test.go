// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/standin"
)

// numberedRequest returns a request with an id of its own for each number.
func numberedRequest(path string, n int) *forward.Request {
	r := request(path)
	r.ID = granitehoist.RequestID(strconv.Itoa(n))
	r.Header.Set("Attempt-Id", string(r.ID))
	return r
}

// benchmarkServe measures requests for a path that one worker serves over loopback.
func benchmarkServe(b *testing.B, path string, service granitehoist.Service, answer standin.WorkerResponse) {
	RegisterTestingT(b)
	s := newFixture()
	w, err := standin.NewWorker("i-1", always(answer))
	Expect(err).NotTo(HaveOccurred())
	b.Cleanup(w.Close)
	s.table.Announce(balance.Instance{ID: "i-1", Service: service, Address: w.Address(), Version: 1}, time.Now())
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if _, err := s.forwarder.Serve(context.Background(), numberedRequest(path, n), &fakeSink{}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkServePlain(b *testing.B) {
	benchmarkServe(b, "/safe/x", desk, standin.WorkerResponse{Body: "permit"})
}

func BenchmarkServeStream(b *testing.B) {
	benchmarkServe(b, "/resume/x", model, standin.WorkerResponse{Events: 20})
}
