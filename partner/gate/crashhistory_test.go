// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/gate"
	"granitehoist.example/granitehoist/suspect"
)

var _ = Describe("A request that crashes each upstream that runs it", func() {
	// crash breaks the connection; nothing listens at the upstreams' addresses.
	crash := func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error) {
		return granitehoist.Usage{}, granitehoist.Wrap(granitehoist.UpstreamLost, io.ErrUnexpectedEOF, "")
	}

	// sendNow sends a request that runs at most once, under a new id. send does so after
	// the previous crash has settled.
	arrivals := 0
	sendNow := func(s *fixture, body string) gateResponse {
		arrivals++
		return s.send(http.MethodPost, "/services/gate/open", body, gate.HeaderRequest, fmt.Sprint("r-", arrivals))
	}
	send := func(s *fixture, body string) gateResponse {
		time.Sleep(suspect.SettleTime)
		return sendNow(s, body)
	}

	It("is refused with Retry-After right after a crash", func() {
		s := newFixture()
		s.plain.steps = []step{crash}
		send(s, "deadly")
		got := sendNow(s, "deadly")
		Expect(got.code).To(Equal(granitehoist.CrashesUpstreams))
		Expect(got.execution).To(Equal(granitehoist.NotRun))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(s.plain.count()).To(Equal(1))
		s.plain.steps = []step{respondOK}
		Expect(send(s, "deadly").code).To(Equal(granitehoist.Served))
	})

	It("is refused under any id after three crashes, while other requests are served", func() {
		s := newFixture()
		s.plain.steps = []step{crash}
		var codes []granitehoist.Code
		for range 5 {
			codes = append(codes, send(s, "deadly").code)
		}
		Expect(codes[3:]).To(Equal([]granitehoist.Code{granitehoist.CrashesUpstreams, granitehoist.CrashesUpstreams}))
		Expect(s.plain.count()).To(Equal(3))
		refused := send(s, "deadly")
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.execution).To(Equal(granitehoist.NotRun))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		_, reserved := s.budgets.state()
		Expect(reserved).To(BeZero())
		s.plain.steps = []step{respondOK}
		Expect(send(s, "another").code).To(Equal(granitehoist.Served))
		Expect(send(s, "deadly").code).To(Equal(granitehoist.CrashesUpstreams))
	})

	It("has its crash history cleared by a successful response", func() {
		s := newFixture()
		s.plain.steps = []step{crash, crash, respondOK, crash, crash, respondOK}
		for range 3 {
			send(s, "unlucky")
		}
		for range 3 {
			Expect(send(s, "unlucky").code).NotTo(Equal(granitehoist.CrashesUpstreams))
		}
	})

	It("is not refused if the upstream still accepts connections", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		s := newFixture()
		d := document()
		for i := range d.Upstreams {
			d.Upstreams[i].Address = "http://" + listener.Addr().String()
		}
		s.view = config.NewView().With(d, 2)
		s.plain.steps = []step{crash}
		for range 5 {
			Expect(send(s, "unlucky").code).To(Equal(granitehoist.UpstreamLost))
		}
	})
})
