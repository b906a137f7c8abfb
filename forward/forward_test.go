// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/standin"
)

var _ = Describe("Serve", func() {
	var s *fixture
	var sink *fakeSink
	serve := func(path string) (bool, error) {
		return s.forwarder.Serve(context.Background(), request(path), sink)
	}
	BeforeEach(func() {
		s = newFixture()
		sink = &fakeSink{}
	})

	Describe("identification", func() {
		It("refuses an unknown route, a missing key and a wrong key", func() {
			_, err := serve("/nowhere/x")
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.NotFound))
			r := request("/safe/x")
			r.Key = ""
			_, err = s.forwarder.Serve(context.Background(), r, sink)
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.MissingKey))
			r.Key = "wrong"
			_, err = s.forwarder.Serve(context.Background(), r, sink)
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.WrongKey))
		})

		It("forwards the request without the key and with the name of the workspace", func() {
			w := s.worker(desk, "i-1", always(standin.WorkerResponse{Body: "berth 4"}))
			r := request("/unsafe/x")
			r.Target = "/unsafe/x?berth=4"
			r.Header = http.Header{"Attempt-Id": {"r-1"}, "Authorization": {"Token a-key"}, "Tenant": {"somebody"}, "X-Own": {"kept"}, "Connection": {"x-hop"}, "X-Hop": {"dropped"}}
			_, err := s.forwarder.Serve(context.Background(), r, sink)
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.text()).To(Equal("berth 4"))
			got := w.Requests()[0]
			Expect(got.Target).To(Equal("/unsafe/x?berth=4"))
			Expect(got.Host).To(Equal("h.example"))
			Expect(got.Body).To(Equal([]byte("question")))
			Expect(got.Header.Get("Tenant")).To(Equal(string(tenant)))
			Expect(got.Header.Get("Expect-Instance")).To(Equal("i-1"))
			Expect(got.Header.Get("X-Own")).To(Equal("kept"))
			Expect(got.Header).NotTo(HaveKey("Authorization"))
			Expect(got.Header).NotTo(HaveKey("X-Hop"))
		})
	})

	Describe("charging", func() {
		It("charges the prompt and the relayed events", func() {
			s.worker(model, "i-1", always(standin.WorkerResponse{Events: 4}))
			_, err := serve("/stream/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(s.budgets.reserved).To(BeZero())
			Expect(s.budgets.used).To(Equal(100 + 4*tokens))
		})

		It("charges nothing for a request that no worker ran", func() {
			s.worker(model, "i-1", always(standin.WorkerResponse{Status: 503, NotRun: true}))
			_, err := serve("/stream/x")
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamRefused))
			Expect(s.budgets.used).To(BeZero())
			Expect(s.budgets.reserved).To(BeZero())
		})

		It("refuses with a Retry-After and sends nothing if tokens are scarce", func() {
			w := s.worker(model, "i-1", always(standin.WorkerResponse{Events: 1}))
			s.budgets.outcome = escrow.Scarce
			_, err := serve("/stream/x")
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.BudgetUnreachable))
			Expect(err.(*granitehoist.Error).RetryAfter).To(BeNumerically(">", 0))
			Expect(w.Requests()).To(BeEmpty())
		})
	})

	Describe("streams", func() {
		It("resume at another worker without lost or repeated events", func() {
			s.worker(model, "i-1", func(a standin.ReceivedRequest) standin.WorkerResponse {
				return standin.WorkerResponse{Events: 9, Cut: standin.Cut{Set: a.After == 0, After: 4, MidEvent: true}}
			})
			s.worker(model, "i-2", func(a standin.ReceivedRequest) standin.WorkerResponse {
				return standin.WorkerResponse{Events: 9, Cut: standin.Cut{Set: a.After == 0, After: 4, MidEvent: true}}
			})
			_, err := serve("/resume/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.text()).To(Equal(events(9)))
			Expect(s.arrivals()).To(HaveLen(2))
		})

		It("are not completed by a 5xx response of the worker that should resume them", func() {
			answer := func(a standin.ReceivedRequest) standin.WorkerResponse {
				if a.After > 0 {
					return standin.WorkerResponse{Status: 500, Body: "failed"}
				}
				return standin.WorkerResponse{Events: 9, Cut: standin.Cut{Set: true, After: 4}}
			}
			s.worker(model, "i-1", answer)
			s.worker(model, "i-2", answer)
			started, err := serve("/resume/x")
			Expect(started).To(BeTrue())
			Expect(err).To(HaveOccurred())
			Expect(sink.text()).To(Equal(events(4)))
		})

		It("that may not be resumed are sent to one worker only", func() {
			s.worker(model, "i-1", always(standin.WorkerResponse{Events: 9, Cut: standin.Cut{Set: true, After: 4}}))
			s.worker(model, "i-2", always(standin.WorkerResponse{Events: 9, Cut: standin.Cut{Set: true, After: 4}}))
			started, err := serve("/stream/x")
			Expect(started).To(BeTrue())
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamCut))
			Expect(s.arrivals()).To(HaveLen(1))
		})

		It("that end within an event with the connection are truncated", func() {
			s.worker(model, "i-1", always(standin.WorkerResponse{Events: 9, Unframed: true, Cut: standin.Cut{Set: true, After: 4, MidEvent: true, FIN: true}}))
			started, err := serve("/stream/x")
			Expect(started).To(BeTrue())
			Expect(err).To(HaveOccurred())
		})

		It("are retried elsewhere if the worker hangs before the first event", func() {
			answer := func(a standin.ReceivedRequest) standin.WorkerResponse {
				return standin.WorkerResponse{Events: 3, Hang: len(s.arrivals()) == 0 && a.Number == 1}
			}
			s.worker(model, "i-1", answer)
			s.worker(model, "i-2", always(standin.WorkerResponse{Events: 3}))
			for range 4 {
				sink = &fakeSink{}
				_, err := serve("/resume/x")
				Expect(err).NotTo(HaveOccurred())
				Expect(sink.text()).To(Equal(events(3)))
			}
		})
	})

	Describe("plain requests", func() {
		It("are retried at a second worker if they are safe and the first failed", func() {
			first := true
			answer := func(standin.ReceivedRequest) standin.WorkerResponse {
				if first {
					first = false
					return standin.WorkerResponse{Status: 500, Body: "failed"}
				}
				return standin.WorkerResponse{Body: "permit"}
			}
			s.worker(desk, "i-1", answer)
			s.worker(desk, "i-2", answer)
			_, err := serve("/safe/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.text()).To(Equal("permit"))
		})

		It("are never sent twice if they are unsafe and may have run", func() {
			for _, a := range []standin.WorkerResponse{{Body: "berth", Cut: standin.Cut{Set: true, After: 2}}, {WrongID: true, Body: "x"}, {Body: "x", NoSeal: true}, {ExtraBefore: "nonsense\r\n\r\n"}, {Status: 503, Body: "no promise"}} {
				s = newFixture()
				s.worker(desk, "i-1", always(a))
				s.worker(desk, "i-2", always(a))
				started, err := serve("/unsafe/x")
				Expect(started).To(BeFalse())
				Expect(granitehoist.CodeOf(err).Info().Execution).To(Equal(granitehoist.MayHaveRun), "%+v", a)
				Expect(s.arrivals()).To(HaveLen(1), "%+v", a)
			}
		})

		It("are retried at another worker if the first did not run them, even if they are unsafe", func() {
			firstAttempt := true
			answer := func(standin.ReceivedRequest) standin.WorkerResponse {
				if firstAttempt {
					firstAttempt = false
					return standin.WorkerResponse{Status: 503, NotRun: true}
				}
				return standin.WorkerResponse{Body: "berth"}
			}
			s.worker(desk, "i-1", answer)
			s.worker(desk, "i-2", answer)
			_, err := serve("/unsafe/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.text()).To(Equal("berth"))
		})

		It("get the 5xx response of a worker unchanged if no attempt may follow", func() {
			s.worker(desk, "i-1", always(standin.WorkerResponse{Status: 500, Body: "failed"}))
			_, err := serve("/unsafe/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.status).To(Equal(500))
			Expect(sink.header.Get("Response-Seal")).NotTo(BeEmpty())
		})

		It("never get a duplicate response to an earlier request", func() {
			surplus := "HTTP/1.1 200 OK\r\nAttempt-Id: r-0\r\nResponse-Seal: x\r\nContent-Length: 5\r\n\r\nwrong"
			w := s.worker(desk, "i-1", func(a standin.ReceivedRequest) standin.WorkerResponse {
				if a.Number == 2 {
					return standin.WorkerResponse{ExtraBefore: surplus, Body: "right"}
				}
				return standin.WorkerResponse{Body: "first"}
			})
			_, err := s.forwarder.Serve(context.Background(), earlierRequest("/safe/x"), sink)
			Expect(err).NotTo(HaveOccurred())
			sink = &fakeSink{}
			_, err = serve("/safe/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.text()).To(Equal("right"))
			Expect(w.Requests()[0].Conn).To(Equal(w.Requests()[1].Conn))
		})

		It("do not use a connection with unread bytes", func() {
			w := s.worker(desk, "i-1", always(standin.WorkerResponse{Body: "whole", ExtraAfter: "HTTP/1.1 200 OK\r\n"}))
			for _, r := range []*forward.Request{earlierRequest("/safe/x"), request("/safe/x")} {
				_, err := s.forwarder.Serve(context.Background(), r, sink)
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(20 * time.Millisecond)
			}
			Expect(w.Requests()[0].Conn).NotTo(Equal(w.Requests()[1].Conn))
		})

		It("do not use a connection whose last response preceded the end of its request", func() {
			w := s.worker(desk, "i-1", func(a standin.ReceivedRequest) standin.WorkerResponse {
				return standin.WorkerResponse{Body: "early", Early: a.Number == 1, EarlyPause: 500 * time.Millisecond}
			})
			r := earlierRequest("/patient/x")
			r.Body = []byte(strings.Repeat("long", 8<<20))
			_, err := s.forwarder.Serve(context.Background(), r, sink)
			Expect(err).NotTo(HaveOccurred())
			_, err = serve("/patient/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(w.Requests()[1].Conn).NotTo(Equal(w.Requests()[0].Conn))
			Expect(w.Requests()[1].Body).To(Equal([]byte("question")))
		})
	})

	It("closes the connection to the worker at once when the caller disconnects", func() {
		w := s.worker(model, "i-1", always(standin.WorkerResponse{Events: 1000, Gap: 20 * time.Millisecond}))
		ctx, disconnect := context.WithCancel(context.Background())
		go func() {
			Eventually(w.Requests).Should(HaveLen(1))
			disconnect()
		}()
		_, err := s.forwarder.Serve(ctx, request("/resume/x"), sink)
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.CallerGone))
		Eventually(w.OpenConns).Should(BeZero())
		Expect(w.Requests()).To(HaveLen(1))
	})

	It("makes no attempt and releases the tokens if the caller disconnects while it waits for them", func() {
		w := s.worker(model, "i-1", always(standin.WorkerResponse{Events: 3}))
		ctx, disconnect := context.WithCancel(context.Background())
		s.budgets.reserving = disconnect
		_, err := s.forwarder.Serve(ctx, request("/resume/x"), sink)
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.CallerGone))
		Consistently(w.Requests, "100ms").Should(BeEmpty())
		Expect(s.budgets.reserved).To(BeZero())
		Expect(s.budgets.used).To(BeZero())
	})

	It("returns an error at the timeout of the request", func() {
		s.worker(desk, "i-1", always(standin.WorkerResponse{Hang: true}))
		r := request("/unsafe/x")
		r.Timeout = 200 * time.Millisecond
		start := time.Now()
		_, err := s.forwarder.Serve(context.Background(), r, sink)
		Expect(granitehoist.CodeOf(err).Info().Execution).To(Equal(granitehoist.MayHaveRun))
		Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
	})
})
