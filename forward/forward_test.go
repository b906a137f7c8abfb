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
	"granitehoist.example/granitehoist/standin"
)

var _ = Describe("A request's path", func() {
	var s *site
	var sink *fakeSink
	serve := func(path string) (bool, error) {
		return s.forwarder.Serve(context.Background(), request(path), sink)
	}
	BeforeEach(func() {
		s = newSite()
		sink = &fakeSink{}
	})

	Describe("identification", func() {
		It("refuses an unknown route, no key and a wrong key as not run", func() {
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

		It("passes on what the caller sent, without its key, under the workspace's name", func() {
			w := s.worker(desk, "i-1", always(standin.WorkerAnswer{Body: "berth 4"}))
			r := request("/unsafe/x")
			r.Target = "/unsafe/x?berth=4"
			r.Header = http.Header{"Attempt-Id": {"r-1"}, "Authorization": {"Token a-key"}, "Tenant": {"somebody"}, "X-Own": {"kept"}, "Connection": {"x-hop"}, "X-Hop": {"dropped"}}
			_, err := s.forwarder.Serve(context.Background(), r, sink)
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.text()).To(Equal("berth 4"))
			got := w.Arrivals()[0]
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

	Describe("payment", func() {
		It("charges the prompt and the events that were passed on", func() {
			s.worker(model, "i-1", always(standin.WorkerAnswer{Events: 4}))
			_, err := serve("/stream/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(s.funds.reserved).To(BeZero())
			Expect(s.funds.used).To(Equal(100 + 4*tokens))
		})

		It("charges nothing for a request that no worker ran", func() {
			s.worker(model, "i-1", always(standin.WorkerAnswer{Status: 503, NotRun: true}))
			_, err := serve("/stream/x")
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamRefused))
			Expect(s.funds.used).To(BeZero())
			Expect(s.funds.reserved).To(BeZero())
		})

		It("says when to come back if tokens can't be had here now, and sends nothing", func() {
			w := s.worker(model, "i-1", always(standin.WorkerAnswer{Events: 1}))
			s.funds.outcome = escrow.Scarce
			_, err := serve("/stream/x")
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.BudgetUnreachable))
			Expect(err.(*granitehoist.Error).RetryAfter).To(BeNumerically(">", 0))
			Expect(w.Arrivals()).To(BeEmpty())
		})
	})

	Describe("streams", func() {
		It("go on at another worker without a gap or a repeat", func() {
			s.worker(model, "i-1", func(a standin.Arrival) standin.WorkerAnswer {
				return standin.WorkerAnswer{Events: 9, Cut: standin.Cut{Set: a.After == 0, After: 4, Within: true}}
			})
			s.worker(model, "i-2", func(a standin.Arrival) standin.WorkerAnswer {
				return standin.WorkerAnswer{Events: 9, Cut: standin.Cut{Set: a.After == 0, After: 4, Within: true}}
			})
			_, err := serve("/resume/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.text()).To(Equal(events(9)))
			Expect(s.arrivals()).To(HaveLen(2))
		})

		It("are not completed by a failure of the worker that should go on with them", func() {
			answer := func(a standin.Arrival) standin.WorkerAnswer {
				if a.After > 0 {
					return standin.WorkerAnswer{Status: 500, Body: "failed"}
				}
				return standin.WorkerAnswer{Events: 9, Cut: standin.Cut{Set: true, After: 4}}
			}
			s.worker(model, "i-1", answer)
			s.worker(model, "i-2", answer)
			started, err := serve("/resume/x")
			Expect(started).To(BeTrue())
			Expect(err).To(HaveOccurred())
			Expect(sink.text()).To(Equal(events(4)))
		})

		It("that may not be resumed are sent to one worker only", func() {
			s.worker(model, "i-1", always(standin.WorkerAnswer{Events: 9, Cut: standin.Cut{Set: true, After: 4}}))
			s.worker(model, "i-2", always(standin.WorkerAnswer{Events: 9, Cut: standin.Cut{Set: true, After: 4}}))
			started, err := serve("/stream/x")
			Expect(started).To(BeTrue())
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamCut))
			Expect(s.arrivals()).To(HaveLen(1))
		})

		It("without a length that end within an event are not whole", func() {
			s.worker(model, "i-1", always(standin.WorkerAnswer{Events: 9, Unframed: true, Cut: standin.Cut{Set: true, After: 4, Within: true, Clean: true}}))
			started, err := serve("/stream/x")
			Expect(started).To(BeTrue())
			Expect(err).To(HaveOccurred())
		})

		It("are moved from a worker that hangs before the first event", func() {
			answer := func(a standin.Arrival) standin.WorkerAnswer {
				return standin.WorkerAnswer{Events: 3, Silent: len(s.arrivals()) == 0 && a.Number == 1}
			}
			s.worker(model, "i-1", answer)
			s.worker(model, "i-2", always(standin.WorkerAnswer{Events: 3}))
			for range 4 {
				sink = &fakeSink{}
				_, err := serve("/resume/x")
				Expect(err).NotTo(HaveOccurred())
				Expect(sink.text()).To(Equal(events(3)))
			}
		})
	})

	Describe("plain requests", func() {
		It("are sent to a second worker if they are safe and the first failed", func() {
			first := true
			answer := func(standin.Arrival) standin.WorkerAnswer {
				if first {
					first = false
					return standin.WorkerAnswer{Status: 500, Body: "failed"}
				}
				return standin.WorkerAnswer{Body: "permit"}
			}
			s.worker(desk, "i-1", answer)
			s.worker(desk, "i-2", answer)
			_, err := serve("/safe/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.text()).To(Equal("permit"))
		})

		It("are never sent twice if they are unsafe and may have run", func() {
			for _, a := range []standin.WorkerAnswer{{Body: "berth", Cut: standin.Cut{Set: true, After: 2}}, {Crossed: true, Body: "x"}, {Body: "x", NoSeal: true}, {SurplusBefore: "nonsense\r\n\r\n"}, {Status: 503, Body: "no promise"}} {
				s = newSite()
				s.worker(desk, "i-1", always(a))
				s.worker(desk, "i-2", always(a))
				started, err := serve("/unsafe/x")
				Expect(started).To(BeFalse())
				Expect(granitehoist.CodeOf(err).Info().Fate).To(Equal(granitehoist.MayHaveRun), "%+v", a)
				Expect(s.arrivals()).To(HaveLen(1), "%+v", a)
			}
		})

		It("go to another worker if the first did not run them, even if they are unsafe", func() {
			refuse := true
			answer := func(standin.Arrival) standin.WorkerAnswer {
				if refuse {
					refuse = false
					return standin.WorkerAnswer{Status: 503, NotRun: true}
				}
				return standin.WorkerAnswer{Body: "berth"}
			}
			s.worker(desk, "i-1", answer)
			s.worker(desk, "i-2", answer)
			_, err := serve("/unsafe/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.text()).To(Equal("berth"))
		})

		It("get a worker's own failure unchanged if no attempt may follow", func() {
			s.worker(desk, "i-1", always(standin.WorkerAnswer{Status: 500, Body: "failed"}))
			_, err := serve("/unsafe/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.status).To(Equal(500))
			Expect(sink.header.Get("Response-Seal")).NotTo(BeEmpty())
		})

		It("never get the answer of an earlier request that was sent twice", func() {
			surplus := "HTTP/1.1 200 OK\r\nAttempt-Id: r-0\r\nResponse-Seal: x\r\nContent-Length: 5\r\n\r\nwrong"
			w := s.worker(desk, "i-1", func(a standin.Arrival) standin.WorkerAnswer {
				if a.Number == 2 {
					return standin.WorkerAnswer{SurplusBefore: surplus, Body: "right"}
				}
				return standin.WorkerAnswer{Body: "first"}
			})
			_, err := serve("/safe/x")
			Expect(err).NotTo(HaveOccurred())
			sink = &fakeSink{}
			_, err = serve("/safe/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.text()).To(Equal("right"))
			Expect(w.Arrivals()[0].Conn).To(Equal(w.Arrivals()[1].Conn))
		})

		It("do not use a connection on which something lies unread", func() {
			w := s.worker(desk, "i-1", always(standin.WorkerAnswer{Body: "whole", SurplusAfter: "HTTP/1.1 200 OK\r\n"}))
			for range 2 {
				_, err := serve("/safe/x")
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(20 * time.Millisecond)
			}
			Expect(w.Arrivals()[0].Conn).NotTo(Equal(w.Arrivals()[1].Conn))
		})

		It("do not use a connection whose last request was answered before it was read", func() {
			w := s.worker(desk, "i-1", func(a standin.Arrival) standin.WorkerAnswer {
				return standin.WorkerAnswer{Body: "early", Early: a.Number == 1}
			})
			r := request("/patient/x")
			r.Body = []byte(strings.Repeat("long", 8<<20))
			_, err := s.forwarder.Serve(context.Background(), r, sink)
			Expect(err).NotTo(HaveOccurred())
			_, err = serve("/patient/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(w.Arrivals()[1].Conn).NotTo(Equal(w.Arrivals()[0].Conn))
			Expect(w.Arrivals()[1].Body).To(Equal([]byte("question")))
		})
	})

	It("ends a worker's connection at once when the caller leaves", func() {
		w := s.worker(model, "i-1", always(standin.WorkerAnswer{Events: 1000, Gap: 20 * time.Millisecond}))
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			Eventually(w.Arrivals).Should(HaveLen(1))
			leave()
		}()
		_, err := s.forwarder.Serve(ctx, request("/resume/x"), sink)
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.CallerGone))
		Eventually(w.Open).Should(BeZero())
		Expect(w.Arrivals()).To(HaveLen(1))
	})

	It("makes no attempt for a caller that leaves while it waits for tokens, and returns them", func() {
		w := s.worker(model, "i-1", always(standin.WorkerAnswer{Events: 3}))
		ctx, leave := context.WithCancel(context.Background())
		s.funds.reserving = leave
		_, err := s.forwarder.Serve(ctx, request("/resume/x"), sink)
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.CallerGone))
		Consistently(w.Arrivals, "100ms").Should(BeEmpty())
		Expect(s.funds.reserved).To(BeZero())
		Expect(s.funds.used).To(BeZero())
	})

	It("gives a final answer at the route's timeout", func() {
		s.worker(desk, "i-1", always(standin.WorkerAnswer{Silent: true}))
		r := request("/unsafe/x")
		r.Timeout = 200 * time.Millisecond
		began := time.Now()
		_, err := s.forwarder.Serve(context.Background(), r, sink)
		Expect(granitehoist.CodeOf(err).Info().Fate).To(Equal(granitehoist.MayHaveRun))
		Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
	})
})
