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

var _ = Describe("A request that ends each upstream that runs it", func() {
	// ends breaks the connection off; nobody listens at the upstreams' addresses.
	ends := func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error) {
		return granitehoist.Usage{}, granitehoist.Wrap(granitehoist.UpstreamLost, io.ErrUnexpectedEOF, "")
	}

	// askAtOnce sends a request that runs at most once, under a new id; ask does so once
	// what ended an upstream before is over.
	arrivals := 0
	askAtOnce := func(s *site, body string) answer {
		arrivals++
		return s.send(http.MethodPost, "/services/gate/open", body, gate.HeaderRequest, fmt.Sprint("r-", arrivals))
	}
	ask := func(s *site, body string) answer {
		time.Sleep(suspect.SettleTime)
		return askAtOnce(s, body)
	}

	It("is not sent again at once, and its caller is told when to come back", func() {
		s := newSite()
		s.plain.steps = []step{ends}
		ask(s, "deadly")
		held := askAtOnce(s, "deadly")
		Expect(held.code).To(Equal(granitehoist.CrashesUpstreams))
		Expect(held.fate).To(Equal(granitehoist.NotRun))
		Expect(held.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(s.plain.count()).To(Equal(1))
		s.plain.steps = []step{answers}
		Expect(ask(s, "deadly").code).To(Equal(granitehoist.Served))
	})

	It("is refused after three, under any id, and the next is served", func() {
		s := newSite()
		s.plain.steps = []step{ends}
		var codes []granitehoist.Code
		for range 5 {
			codes = append(codes, ask(s, "deadly").code)
		}
		Expect(codes[3:]).To(Equal([]granitehoist.Code{granitehoist.CrashesUpstreams, granitehoist.CrashesUpstreams}))
		Expect(s.plain.count()).To(Equal(3))
		refused := ask(s, "deadly")
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.fate).To(Equal(granitehoist.NotRun))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		_, reserved := s.funds.state()
		Expect(reserved).To(BeZero())
		s.plain.steps = []step{answers}
		Expect(ask(s, "another").code).To(Equal(granitehoist.Served))
		Expect(ask(s, "deadly").code).To(Equal(granitehoist.CrashesUpstreams))
	})

	It("is cleared by an answer", func() {
		s := newSite()
		s.plain.steps = []step{ends, ends, answers, ends, ends, answers}
		for range 3 {
			ask(s, "unlucky")
		}
		for range 3 {
			Expect(ask(s, "unlucky").code).NotTo(Equal(granitehoist.CrashesUpstreams))
		}
	})

	It("is no such request if the upstream goes on to take connections", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		s := newSite()
		d := document()
		for i := range d.Upstreams {
			d.Upstreams[i].Address = "http://" + listener.Addr().String()
		}
		s.view = config.NewView().With(d, 2)
		s.plain.steps = []step{ends}
		for range 5 {
			Expect(ask(s, "unlucky").code).To(Equal(granitehoist.UpstreamLost))
		}
	})
})
