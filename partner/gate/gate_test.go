// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/gate"
	"granitehoist.example/granitehoist/standin"
)

type step = func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error)

var _ = Describe("Gate", func() {
	var s *fixture
	BeforeEach(func() { s = newFixture() })

	// expectNothingSpent expects that no token was charged or is reserved, and that no
	// upstream was called.
	expectNothingSpent := func() {
		GinkgoHelper()
		available, reserved := s.budgets.state()
		Expect(available).To(Equal(granitehoist.Tokens(10_000)))
		Expect(reserved).To(BeZero())
		Expect(s.ledger.Pending()).To(BeZero())
		Expect(s.engine.count() + s.plain.count()).To(BeZero())
	}

	It("settles to the reported usage and records one charge", func() {
		got := s.chat(goodBody, gate.HeaderRequest, "mine")
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.header.Get(gate.HeaderRequest)).To(Equal("mine"))
		Expect(got.header.Get(gate.HeaderCode)).To(Equal("1"))
		available, reserved := s.budgets.state()
		Expect(available).To(Equal(granitehoist.Tokens(9990)))
		Expect(reserved).To(BeZero())
		charges := s.ledger.Next(10).Charges
		Expect(charges).To(HaveLen(1))
		Expect(charges[0].Tokens).To(Equal(granitehoist.Tokens(10)))
		Expect(charges[0].Request).To(Equal(granitehoist.RequestID("mine")))
		Expect(charges[0].Budget).To(Equal(budgetID))
	})

	It("sets the maximum of output tokens in the request", func() {
		s.chat(`{"model":"m","max_completion_tokens":7,"messages":[{"role":"user","content":"hello"}]}`)
		Expect(string(s.engine.calls[0].Body)).To(ContainSubstring(`"max_tokens":7`))
		Expect(string(s.engine.calls[0].Body)).NotTo(ContainSubstring("max_completion_tokens"))
		s.chat(goodBody)
		Expect(string(s.engine.calls[1].Body)).To(ContainSubstring(`"max_tokens":50`))
		s.chat(`{"model":"m","max_tokens":100000,"messages":[{"role":"user","content":"hello"}]}`)
		Expect(string(s.engine.calls[2].Body)).To(ContainSubstring(`"max_tokens":100,`))
	})

	DescribeTable("refuses an invalid completion as not run and charges nothing",
		func(body string, code granitehoist.Code) {
			got := s.chat(body)
			Expect(got.code).To(Equal(code), got.body)
			Expect(got.execution).To(Equal(granitehoist.NotRun))
			Expect(got.status).To(Equal(code.Info().Status))
			expectNothingSpent()
		},
		Entry("not JSON", "hello", granitehoist.BadRequest),
		Entry("empty body", "", granitehoist.BadRequest),
		Entry("a list", "[]", granitehoist.BadRequest),
		Entry("null", "null", granitehoist.BadRequest),
		Entry("no model", `{"messages":[{"role":"user","content":"x"}]}`, granitehoist.BadRequest),
		Entry("model of the wrong type", `{"model":3,"messages":[]}`, granitehoist.BadRequest),
		Entry("unknown model", `{"model":"z","messages":[{"role":"user","content":"x"}]}`, granitehoist.UnknownModel),
		Entry("no messages", `{"model":"m","messages":[]}`, granitehoist.BadRequest),
		Entry("neither messages nor prompt", `{"model":"m"}`, granitehoist.BadRequest),
		Entry("both messages and prompt", `{"model":"m","prompt":"x","messages":[{"role":"user","content":"x"}]}`, granitehoist.BadRequest),
		Entry("prompt on the chat path", `{"model":"m","prompt":"x"}`, granitehoist.BadRequest),
		Entry("negative tokens", `{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, granitehoist.BadTokenCount),
		Entry("zero tokens", `{"model":"m","max_tokens":0,"messages":[{"role":"user","content":"x"}]}`, granitehoist.BadTokenCount),
		Entry("fractional tokens", `{"model":"m","max_tokens":1.5,"messages":[{"role":"user","content":"x"}]}`, granitehoist.BadTokenCount),
		Entry("too many tokens", `{"model":"m","max_tokens":1e300,"messages":[{"role":"user","content":"x"}]}`, granitehoist.BadTokenCount),
		Entry("tokens as a string", `{"model":"m","max_tokens":"9","messages":[{"role":"user","content":"x"}]}`, granitehoist.BadTokenCount),
		Entry("two different maximums", `{"model":"m","max_tokens":1,"max_completion_tokens":2,"messages":[{"role":"user","content":"x"}]}`, granitehoist.BadTokenCount),
		Entry("too many choices", `{"model":"m","n":1000,"messages":[{"role":"user","content":"x"}]}`, granitehoist.BadTokenCount),
		Entry("a field with unbounded cost", `{"model":"m","best_of":9,"messages":[{"role":"user","content":"x"}]}`, granitehoist.Unsupported),
		Entry("a chat template of the caller", `{"model":"m","chat_template":"x","messages":[{"role":"user","content":"x"}]}`, granitehoist.Unsupported),
		Entry("max_tokens in capitals", `{"model":"m","MAX_TOKENS":9,"messages":[{"role":"user","content":"x"}]}`, granitehoist.Unsupported),
		Entry("an image", `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url","image_url":{"url":"x"}}]}]}`, granitehoist.Unsupported),
		Entry("content of another type", `{"model":"m","messages":[{"role":"user","content":{"a":1}}]}`, granitehoist.Unsupported),
		Entry("a body over the limit", `{"model":"m","messages":[{"role":"user","content":"`+strings.Repeat("x", 20_000)+`"}]}`, granitehoist.BodyTooLarge),
		Entry("a request that a policy denies", `{"model":"m","messages":[{"role":"user","content":"`+strings.Repeat("x", 6000)+`"}]}`, granitehoist.PolicyDenied),
	)

	DescribeTable("refuses invalid headers as not run",
		func(code granitehoist.Code, headers ...string) {
			got := s.chat(goodBody, headers...)
			Expect(got.code).To(Equal(code), got.body)
			Expect(got.execution).To(Equal(granitehoist.NotRun))
			expectNothingSpent()
		},
		Entry("headers over the limit", granitehoist.HeaderTooLarge, "X-Long", strings.Repeat("x", 40_000)),
		Entry("no key", granitehoist.MissingKey, "Authorization", ""),
		Entry("another scheme", granitehoist.MissingKey, "Authorization", "Basic eDp5"),
		Entry("an unknown key", granitehoist.WrongKey, "Authorization", "Bearer nobody"),
		Entry("priority too high", granitehoist.BadHeader, gate.HeaderPriority, "10"),
		Entry("priority not a number", granitehoist.BadHeader, gate.HeaderPriority, "high"),
		Entry("deadline of zero", granitehoist.BadHeader, gate.HeaderDeadline, "0"),
		Entry("deadline too large", granitehoist.BadHeader, gate.HeaderDeadline, "99999999999999999999"),
		Entry("once not a boolean", granitehoist.BadHeader, gate.HeaderOnce, "maybe"),
		Entry("once without an id", granitehoist.BadHeader, gate.HeaderOnce, "true"),
		Entry("an id with a space", granitehoist.BadHeader, gate.HeaderRequest, "a b"),
		Entry("an id too long", granitehoist.BadHeader, gate.HeaderRequest, strings.Repeat("x", 200)),
		Entry("an unknown budget", granitehoist.BudgetUnknown, gate.HeaderBudget, "winter"),
	)

	DescribeTable("refuses unknown paths, methods and services",
		func(method, path string, code granitehoist.Code) {
			Expect(s.send(method, path, "").code).To(Equal(code))
		},
		Entry("unknown path", http.MethodGet, "/v2/x", granitehoist.NotFound),
		Entry("wrong method", http.MethodDelete, "/v1/chat/completions", granitehoist.MethodNotAllowed),
		Entry("unknown service", http.MethodGet, "/services/none/x", granitehoist.UnknownService),
		Entry("an engine as a plain service", http.MethodGet, "/services/pool/x", granitehoist.UnknownService),
	)

	It("refuses requests before the first document", func() {
		s.view = config.NewView()
		Expect(s.chat(goodBody).code).To(Equal(granitehoist.NotReady))
		Expect(s.send(http.MethodGet, gate.PathReady, "").status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.send(http.MethodGet, gate.PathHealth, "").status).To(Equal(http.StatusOK))
	})

	It("still serves requests while not ready", func() {
		s.gate.MarkUnready()
		Expect(s.send(http.MethodGet, gate.PathReady, "").status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.chat(goodBody).status).To(Equal(http.StatusOK))
	})

	It("refuses requests while draining", func() {
		s.gate.Drain()
		got := s.chat(goodBody)
		Expect(got.code).To(Equal(granitehoist.Draining))
		Expect(got.execution).To(Equal(granitehoist.NotRun))
		Expect(s.send(http.MethodGet, gate.PathReady, "").status).To(Equal(http.StatusServiceUnavailable))
	})

	It("lists models only for a known key", func() {
		Expect(s.send(http.MethodGet, "/v1/models", "").body).To(ContainSubstring(`"id":"m"`))
		Expect(s.send(http.MethodGet, "/v1/models", "", "Authorization", "Bearer x").code).To(Equal(granitehoist.WrongKey))
	})

	Describe("when the reservation fails", func() {
		It("returns the reason and calls no upstream", func() {
			s.budgets.fail = granitehoist.Errorf(granitehoist.BudgetUnreachable, "")
			got := s.chat(goodBody)
			Expect(got.code).To(Equal(granitehoist.BudgetUnreachable))
			Expect(got.execution).To(Equal(granitehoist.NotRun))
			expectNothingSpent()
		})

		It("releases the place in the ledger", func() {
			s.budgets.fail = granitehoist.Errorf(granitehoist.BudgetExhausted, "")
			for range 10 {
				s.chat(goodBody)
			}
			s.budgets.fail = nil
			Expect(s.chat(goodBody).status).To(Equal(http.StatusOK))
		})
	})

	Describe("when upstreams fail", func() {
		It("retries a refused request at another upstream and charges it once", func() {
			s.engine.steps = []step{failWith(granitehoist.UpstreamRefused), respondOK}
			got := s.chat(goodBody)
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(s.engine.calls[0].Address).NotTo(Equal(s.engine.calls[1].Address))
			Expect(s.engine.calls[0].Attempt).NotTo(Equal(s.engine.calls[1].Attempt))
			available, reserved := s.budgets.state()
			Expect(available).To(Equal(granitehoist.Tokens(9990)))
			Expect(reserved).To(BeZero())
			Expect(s.ledger.Pending()).To(Equal(1))
		})

		It("sends no requests to an upstream during its Retry-After", func() {
			s.engine.steps = []step{func(granitehoist.Call, granitehoist.Sink) (granitehoist.Usage, error) {
				refused := granitehoist.Errorf(granitehoist.UpstreamRefused, "")
				refused.RetryAfter = time.Minute
				return granitehoist.Usage{}, refused
			}, respondOK}
			Expect(s.chat(goodBody).status).To(Equal(http.StatusOK))
			// Longer than an upstream that fails is excluded.
			time.Sleep(700 * time.Millisecond)
			for range 20 {
				Expect(s.chat(goodBody).status).To(Equal(http.StatusOK))
			}
			for _, c := range s.engine.calls[1:] {
				Expect(c.Address).NotTo(Equal(s.engine.calls[0].Address))
			}
		})

		It("reports not run if all upstreams refuse, and charges nothing", func() {
			s.engine.steps = []step{failWith(granitehoist.UpstreamRefused)}
			got := s.chat(goodBody)
			Expect(got.code).To(Equal(granitehoist.UpstreamRefused))
			Expect(got.execution).To(Equal(granitehoist.NotRun))
			available, _ := s.budgets.state()
			Expect(available).To(Equal(granitehoist.Tokens(10_000)))
			Expect(s.ledger.Pending()).To(BeZero())
		})

		It("charges the reported cost of a lost attempt in addition to the successful one", func() {
			s.engine.steps = []step{failWith(granitehoist.UpstreamLost), respondOK}
			s.engine.stopUsage = &granitehoist.Usage{Prompt: 4, Output: 1, Reported: true}
			Expect(s.chat(goodBody).status).To(Equal(http.StatusOK))
			available, reserved := s.budgets.state()
			Expect(available).To(Equal(granitehoist.Tokens(9985)))
			Expect(reserved).To(BeZero())
			charges := s.ledger.Next(10).Charges
			Expect(charges).To(HaveLen(1))
			Expect(charges[0].Tokens).To(Equal(granitehoist.Tokens(15)))
			Expect(charges[0].Estimated).To(BeFalse())
		})

		It("charges nothing for a lost attempt that never reached the engine", func() {
			s.engine.steps = []step{failWith(granitehoist.UpstreamLost)}
			s.engine.stopUsage = &granitehoist.Usage{Reported: true}
			Expect(s.chat(goodBody).execution).To(Equal(granitehoist.MayHaveRun))
			Expect(s.ledger.Pending()).To(BeZero())
			available, reserved := s.budgets.state()
			Expect(available).To(Equal(granitehoist.Tokens(10_000)))
			Expect(reserved).To(BeZero())
		})

		It("charges the bound, marked as estimated, if the engine reports no cost", func() {
			s.engine.steps = []step{failWith(granitehoist.UpstreamLost)}
			got := s.chat(goodBody)
			Expect(got.execution).To(Equal(granitehoist.MayHaveRun))
			charges := s.ledger.Next(10).Charges
			Expect(charges).To(HaveLen(1))
			Expect(charges[0].Estimated).To(BeTrue())
			available, reserved := s.budgets.state()
			Expect(available + charges[0].Tokens).To(Equal(granitehoist.Tokens(10_000)))
			Expect(reserved).To(BeZero())
		})

		DescribeTable("never reports not run after an attempt that may have run",
			func(retry step, upstreams int) {
				document := document()
				document.Upstreams = document.Upstreams[:upstreams]
				document.Services = document.Services[:1]
				s.view = config.NewView().With(document, 2)
				s.engine.steps = []step{failWith(granitehoist.UpstreamLost), retry}
				s.engine.stopUsage = &granitehoist.Usage{Prompt: 4, Output: 1, Reported: true}
				got := s.chat(goodBody)
				Expect(got.code).To(Equal(granitehoist.UpstreamLost))
				Expect(got.execution).To(Equal(granitehoist.MayHaveRun))
				Expect(s.ledger.Next(10).Charges[0].Tokens).To(Equal(granitehoist.Tokens(5)))
			},
			Entry("if the retry is refused", failWith(granitehoist.UpstreamRefused), 3),
			Entry("if there is no other upstream", respondOK, 1),
		)

		It("ends an interrupted stream with an error event and no [DONE]", func() {
			s.engine.steps = []step{failMidStream}
			s.engine.stopUsage = &granitehoist.Usage{Prompt: 4, Output: 1, Reported: true}
			got := s.chat(`{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`)
			Expect(got.body).To(ContainSubstring(`"type":"upstream_cut"`))
			Expect(got.body).To(ContainSubstring(`"fate":"may have run"`))
			Expect(got.body).NotTo(ContainSubstring("[DONE]"))
			Expect(s.engine.count()).To(Equal(1))
		})

		It("limits the retries of a failing service", func() {
			s.engine.steps = []step{failWith(granitehoist.UpstreamRefused)}
			const requests = 200
			for range requests {
				s.chat(goodBody)
			}
			Expect(s.engine.count()).To(BeNumerically("<=", requests+requests/10+10))
		})
	})

	Describe("a plain service", func() {
		It("forwards method, path, query, headers, body and status", func() {
			s.plain.steps = []step{func(_ granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
				_ = sink.Start(http.StatusTeapot, http.Header{"X-Own": {"1"}})
				return granitehoist.Usage{}, sink.Write([]byte("own"))
			}}
			got := s.send(http.MethodPatch, "/services/desk/a%2Fb/c?x=1&y=%20", "body", "X-Mine", "2", gate.HeaderCode, "1", "Granitehoist_fate", "ran")
			Expect(got.status).To(Equal(http.StatusTeapot))
			Expect(got.body).To(Equal("own"))
			Expect(got.header.Get("X-Own")).To(Equal("1"))
			c := s.plain.calls[0]
			Expect(c.Method).To(Equal(http.MethodPatch))
			Expect(c.Path).To(Equal("/a%2Fb/c?x=1&y=%20"))
			Expect(string(c.Body)).To(Equal("body"))
			Expect(c.Header.Get("X-Mine")).To(Equal("2"))
			Expect(c.Header.Get("Authorization")).To(BeEmpty())
			Expect(c.Header).NotTo(HaveKey("Granitehoist_fate"))
			Expect(c.Header).NotTo(HaveKey(gate.HeaderCode))
			available, _ := s.budgets.state()
			Expect(available).To(Equal(granitehoist.Tokens(9997)))
		})

		DescribeTable("forwards the same path however the prefix and service name are escaped",
			func(path string) {
				Expect(s.send(http.MethodGet, path, "").status).To(Equal(http.StatusOK))
				Expect(s.plain.calls[0].Path).To(Equal("/x%2Fy?z=1"))
			},
			Entry("nothing escaped", "/services/desk/x%2Fy?z=1"),
			Entry("service name escaped", "/services/d%65sk/x%2Fy?z=1"),
			Entry("prefix escaped", "/%73ervices/desk/x%2Fy?z=1"),
		)

		It("retries a lost GET but not a lost POST", func() {
			s.plain.steps = []step{failWith(granitehoist.UpstreamLost), respondOK}
			Expect(s.send(http.MethodGet, "/services/desk/x", "").status).To(Equal(http.StatusOK))
			s.plain.calls = nil
			got := s.send(http.MethodPost, "/services/desk/x", "")
			Expect(got.execution).To(Equal(granitehoist.MayHaveRun))
			Expect(s.plain.count()).To(Equal(1))
		})
	})

	Describe("a request that is not to be repeated", func() {
		sendOnce := func() gateResponse {
			return s.send(http.MethodPost, "/services/gate/permits", "p", gate.HeaderRequest, "permit-1")
		}

		It("runs once, and is then refused as already run", func() {
			Expect(sendOnce().status).To(Equal(http.StatusOK))
			got := sendOnce()
			Expect(got.code).To(Equal(granitehoist.AlreadyRun))
			Expect(got.execution).To(Equal(granitehoist.Ran))
			Expect(s.plain.count()).To(Equal(1))
			Expect(s.ledger.Pending()).To(Equal(1))
		})

		It("is not sent again after a lost response", func() {
			s.plain.steps = []step{failWith(granitehoist.UpstreamLost), respondOK}
			Expect(sendOnce().execution).To(Equal(granitehoist.MayHaveRun))
			Expect(sendOnce().code).To(Equal(granitehoist.OnceUnsure))
			Expect(s.plain.count()).To(Equal(1))
		})

		It("may be sent again after all upstreams refused it", func() {
			s.plain.steps = []step{failWith(granitehoist.UpstreamRefused), failWith(granitehoist.UpstreamRefused), respondOK}
			got := sendOnce()
			Expect(got.execution).To(Equal(granitehoist.NotRun))
			Expect(sendOnce().status).To(Equal(http.StatusOK))
		})

		It("is refused as not run while the store is down", func() {
			s.store.Fail(standin.StoreFaults{Down: true})
			got := sendOnce()
			Expect(got.code).To(Equal(granitehoist.OnceUnavailable))
			Expect(got.execution).To(Equal(granitehoist.NotRun))
			expectNothingSpent()
		})

		It("sets Call.Once", func() {
			sendOnce()
			Expect(s.plain.calls[0].Once).To(BeTrue())
		})
	})

	It("reports not run if the deadline passes while the request is queued", func() {
		release := make(chan struct{})
		s.engine.steps = []step{func(c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
			<-release
			return respondOK(c, sink)
		}}
		document := document()
		for i := range document.Upstreams {
			document.Upstreams[i].Concurrency = 1
		}
		s.view = config.NewView().With(document, 2)
		finished := make(chan gateResponse, 3)
		for range 3 {
			go func() { finished <- s.chat(goodBody) }()
		}
		Eventually(s.engine.count).Should(Equal(3))
		got := s.chat(goodBody, gate.HeaderDeadline, "20")
		Expect(got.code).To(Equal(granitehoist.Overloaded))
		Expect(got.execution).To(Equal(granitehoist.NotRun))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		close(release)
		for range 3 {
			Expect((<-finished).status).To(Equal(http.StatusOK))
		}
	})

	It("serves a queued request at an upstream added meanwhile", func() {
		const first, second = "http://127.0.0.1:1", "http://127.0.0.1:2"
		release := map[string]chan struct{}{first: make(chan struct{}, 3), second: make(chan struct{}, 3)}
		s.engine.steps = []step{func(c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
			<-release[c.Address]
			return respondOK(c, sink)
		}}
		var view atomic.Pointer[config.View]
		serve := func(serial granitehoist.Serial, upstreams int) {
			document := document()
			document.Services, document.Upstreams = document.Services[:1], document.Upstreams[:upstreams]
			for i := range document.Upstreams {
				document.Upstreams[i].Concurrency = 1
			}
			view.Store(config.NewView().With(document, serial))
		}
		serve(2, 1)
		s.settings.View = view.Load
		s.gate = gate.New(s.settings)
		finished := make(chan gateResponse, 3)
		chat := func() {
			defer GinkgoRecover()
			finished <- s.chat(goodBody)
		}
		go chat()
		Eventually(s.engine.count).Should(Equal(1))
		go chat()
		Consistently(s.engine.count, "200ms").Should(Equal(1), "the second request is queued")
		serve(3, 2)
		go chat()
		Eventually(s.engine.count).Should(Equal(2))

		By("freeing capacity at the new upstream")
		release[second] <- struct{}{}
		Expect((<-finished).status).To(Equal(http.StatusOK))
		Eventually(s.engine.count).Should(Equal(3))
		release[second] <- struct{}{}
		release[first] <- struct{}{}
		Expect((<-finished).status).To(Equal(http.StatusOK))
		Expect((<-finished).status).To(Equal(http.StatusOK))
		_, reserved := s.budgets.state()
		Expect(reserved).To(BeZero())
	})

	It("does not disclose the cause of an error to the caller", func() {
		s.budgets.fail = granitehoist.Wrap(granitehoist.BudgetUnreachable, errors.New("store at 10.0.0.1"), "")
		Expect(s.chat(goodBody).body).NotTo(ContainSubstring("10.0.0.1"))
	})

	DescribeTable("refuses a request whose body does not arrive in time", func(key string, code string) {
		s.settings.Limits.ReadTimeout = 50 * time.Millisecond
		server := httptest.NewServer(gate.New(s.settings))
		defer server.Close()
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", key)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(response.Header.Get(gate.HeaderCode)).To(Equal(code))
		Expect(response.Header.Get(gate.HeaderExecution)).To(Equal(string(granitehoist.NotRun)))
		expectNothingSpent()
	},
		Entry("valid key", key, "1005"),
		Entry("unknown key, before the body is read", "nobody", "2002"),
	)

	It("does not apply the read timeout to the response", func() {
		s.settings.Limits.ReadTimeout = 50 * time.Millisecond
		s.engine.steps = []step{func(c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
			time.Sleep(200 * time.Millisecond)
			return respondOK(c, sink)
		}}
		server := httptest.NewServer(gate.New(s.settings))
		defer server.Close()
		request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(goodBody))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := server.Client().Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	It("panics without required settings", func() {
		Expect(func() { gate.New(gate.Settings{}) }).To(Panic())
	})
})
