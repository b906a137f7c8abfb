// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/standin"
)

// countingDialer is a net.Dialer that counts the dials. It is safe for concurrent use.
type countingDialer struct {
	net.Dialer
	dials atomic.Int32
}

// DialContext implements exchange.Dialer.
func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.dials.Add(1)
	return d.Dialer.DialContext(ctx, network, address)
}

// Guards against a router without a detour that waits for dials which have just failed, or
// that refuses requests although an upstream which it has not dialed since may serve them.
var _ = It("A request at a router without a detour is sent only to upstreams that have not just failed", func() {
	s, dialer := newFixture(), &countingDialer{}
	s.settings.Pool = exchange.NewPool(exchange.Settings{Dialer: dialer})
	s.forwarder = forward.New(s.settings)
	serve := func() (int, error) {
		sink := &fakeSink{}
		_, err := s.forwarder.Serve(context.Background(), request("/safe/x"), sink)
		return sink.status, err
	}
	for _, name := range []string{"i-1", "i-2", "i-3", "i-4"} {
		s.worker(desk, name, always(standin.WorkerResponse{Body: "answer"})).Crash()
	}
	_, err := serve()
	Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamRefused))
	Expect(dialer.dials.Load()).To(BeEquivalentTo(4))

	_, err = serve()
	Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamsUnreachable))
	Expect(err).To(HaveField("RetryAfter", BeNumerically(">", 0)))
	Expect(dialer.dials.Load()).To(BeEquivalentTo(4), "no further dials")

	s.worker(desk, "i-5", always(standin.WorkerResponse{Body: "answer"}))
	for range 10 {
		status, err := serve()
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
	}
})

// Guards against requests that are refused because the few upstreams to which they were sent
// first have just crashed, although others run.
var _ = It("A request whose first dials are all refused is sent to the upstream that is left", func() {
	for range 20 {
		s := newFixture()
		for _, name := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"} {
			s.worker(desk, name, always(standin.WorkerResponse{Body: "answer"})).Crash()
		}
		s.worker(desk, "i-7", always(standin.WorkerResponse{Body: "answer"}))
		sink := &fakeSink{}
		_, err := s.forwarder.Serve(context.Background(), request("/safe/x"), sink)
		Expect(err).NotTo(HaveOccurred())
		Expect(sink.status).To(Equal(http.StatusOK))
	}
})
