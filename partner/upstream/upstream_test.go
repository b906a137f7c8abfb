// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package upstream_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/upstream"
	"granitehoist.example/granitehoist/standin"
)

// sink keeps an answer, and fails after a number of pieces if it is above zero.
type sink struct {
	status int
	header http.Header
	body   bytes.Buffer
	pieces int
	goneAt int
}

func (s *sink) Start(status int, header http.Header) error {
	s.status, s.header = status, header
	return nil
}

func (s *sink) Write(piece []byte) error {
	s.pieces++
	if s.goneAt > 0 && s.pieces >= s.goneAt {
		return errors.New("gone")
	}
	s.body.Write(piece)
	return nil
}

var ctx = context.Background()

const prompt = "a question of some length"

// call returns a call of an engine.
func call(address string, stream bool) granitehoist.Call {
	body := fmt.Sprintf(`{"model":"m","max_tokens":16,"stream":%t,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":%q}]}`, stream, prompt)
	return granitehoist.Call{
		Attempt: "box-1.1", Address: address, Method: http.MethodPost, Path: "/v1/chat/completions",
		Header: http.Header{"Content-Type": {"application/json"}}, Body: []byte(body), Stream: stream,
	}
}

// serve serves a handler until the test ends.
func serve(h http.Handler) string {
	server := httptest.NewServer(h)
	DeferCleanup(server.Close)
	return server.URL
}

// raw answers every call with a fixed text.
func raw(contentType, text string) string {
	return serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, text)
	}))
}

const finished = `data: {"id":"c-box-1.1","choices":[{"index":0,"delta":{"content":"x"},"finish_reason":"stop"}]}` + "\n\n"

var _ = Describe("Engine", func() {
	engine := upstream.NewEngine()

	for _, stream := range []bool{false, true} {
		Context(fmt.Sprintf("with stream %t", stream), func() {
			var stand *standin.Engine
			var address string
			BeforeEach(func() {
				stand = standin.NewEngine(standin.EngineSettings{})
				address = serve(stand.Handler())
			})

			It("passes on a whole answer with its usage", func() {
				var s sink
				usage, err := engine.Do(ctx, call(address, stream), &s)
				Expect(err).NotTo(HaveOccurred())
				Expect(usage.Reported).To(BeTrue())
				Expect(usage.Total()).To(Equal(standin.Cost(prompt, 16)))
				Expect(s.status).To(Equal(http.StatusOK))
				Expect(s.body.String()).To(ContainSubstring(standin.Answer(prompt, 16)[0]))
			})

			DescribeTable("finds out what is wrong",
				func(faults standin.EngineFaults, code granitehoist.Code, fate granitehoist.Fate) {
					stand.Fail(faults)
					var s sink
					_, err := engine.Do(ctx, call(address, stream), &s)
					Expect(granitehoist.CodeOf(err)).To(Equal(code))
					Expect(code.Info().Fate).To(Equal(fate))
					Expect(s.body.String()).NotTo(ContainSubstring("[DONE]"))
				},
				Entry("refused", standin.EngineFaults{RefuseEvery: 1}, granitehoist.UpstreamRefused, granitehoist.NotRun),
				Entry("leaving", standin.EngineFaults{Leaving: true}, granitehoist.UpstreamRefused, granitehoist.NotRun),
				Entry("crossed", standin.EngineFaults{CrossEvery: 1}, granitehoist.AnswerCrossed, granitehoist.MayHaveRun),
			)

			It("finds out that an answer was cut, and what it cost", func() {
				stand.Fail(standin.EngineFaults{CutEvery: 1, Forget: true})
				var s sink
				_, err := engine.Do(ctx, call(address, stream), &s)
				Expect(granitehoist.CodeOf(err).Info().Fate).To(Equal(granitehoist.MayHaveRun))
				usage, ok := engine.Stop(ctx, address, "box-1.1")
				Expect(ok).To(BeTrue())
				books := stand.Books()
				Expect(books).To(HaveLen(1))
				Expect(usage.Total()).To(Equal(books[0].Prompt + books[0].Output))
			})

			It("stops when the caller has gone", func() {
				s := sink{goneAt: 1}
				_, err := engine.Do(ctx, call(address, stream), &s)
				Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.CallerGone))
			})
		})
	}

	It("resumes a stream that broke off, without a word twice or missing", func() {
		stand := standin.NewEngine(standin.EngineSettings{})
		stand.Fail(standin.EngineFaults{CutEvery: 1})
		var whole, resumed sink
		usage, err := engine.Do(ctx, call(serve(stand.Handler()), true), &resumed)
		Expect(err).NotTo(HaveOccurred())
		Expect(usage.Total()).To(Equal(standin.Cost(prompt, 16)))
		_, err = engine.Do(ctx, call(serve(standin.NewEngine(standin.EngineSettings{}).Handler()), true), &whole)
		Expect(err).NotTo(HaveOccurred())
		Expect(resumed.body.String()).To(Equal(whole.body.String()))
		Expect(stand.Books()[0].Runs).To(Equal(1))
	})

	It("keeps the usage from callers that did not ask for it", func() {
		address := serve(standin.NewEngine(standin.EngineSettings{}).Handler())
		c := call(address, true)
		c.HideUsage = true
		var s sink
		usage, err := engine.Do(ctx, c, &s)
		Expect(err).NotTo(HaveOccurred())
		Expect(usage.Reported).To(BeTrue())
		Expect(s.body.String()).NotTo(ContainSubstring("usage"))
		Expect(s.body.String()).To(ContainSubstring("[DONE]"))
	})

	DescribeTable("does not take for whole",
		func(stream bool, text string, code granitehoist.Code) {
			var s sink
			_, err := engine.Do(ctx, call(raw("text/event-stream", text), stream), &s)
			Expect(granitehoist.CodeOf(err)).To(Equal(code))
		},
		Entry("an empty stream", true, "", granitehoist.UpstreamCut),
		Entry("an end mark alone", true, "data: [DONE]\n\n", granitehoist.UpstreamCut),
		Entry("a stream without its end mark", true, finished, granitehoist.UpstreamCut),
		Entry("an end mark before the finish", true, strings.Replace(finished, `"stop"`, "null", 1)+"data: [DONE]\n\n", granitehoist.UpstreamCut),
		Entry("a second choice that did not finish", true, finished+`data: {"id":"c-box-1.1","choices":[{"index":1,"finish_reason":null}]}`+"\n\ndata: [DONE]\n\n", granitehoist.UpstreamCut),
		Entry("an error in the stream", true, `data: {"error":{"message":"x"}}`+"\n\n", granitehoist.UpstreamCut),
		Entry("an event of another attempt amid its own", true, finished+strings.Replace(finished, "box-1.1", "box-1.2", 1)+"data: [DONE]\n\n", granitehoist.AnswerCrossed),
		Entry("an event that is no JSON", true, "data: {\n\n", granitehoist.UpstreamBadAnswer),
		Entry("a body that is no JSON", false, "<html>", granitehoist.UpstreamBadAnswer),
		Entry("a body without choices", false, `{"id":"c-box-1.1","choices":[]}`, granitehoist.UpstreamCut),
		Entry("a body without a finish", false, `{"id":"c-box-1.1","choices":[{"finish_reason":null}]}`, granitehoist.UpstreamCut),
		Entry("the answer of an attempt with a longer id", false, `{"id":"c-box-1.11","choices":[{"finish_reason":"stop"}]}`, granitehoist.AnswerCrossed),
	)

	It("does not believe a negative usage", func() {
		text := `{"id":"c-box-1.1","choices":[{"finish_reason":"stop"}],"usage":{"prompt_tokens":-5,"completion_tokens":1}}`
		usage, err := engine.Do(ctx, call(raw("application/json", text), false), &sink{})
		Expect(err).NotTo(HaveOccurred())
		Expect(usage.Reported).To(BeFalse())
	})

	It("says not run only when no connection was made", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := "http://" + listener.Addr().String()
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				_ = conn.Close()
			}
		}()
		_, err = engine.Do(ctx, call(address, false), &sink{})
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamLost))
		Expect(listener.Close()).To(Succeed())
		_, err = engine.Do(ctx, call(address, false), &sink{})
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamRefused))
	})

	It("passes on for how long an engine that turns a call away wants none", func() {
		address := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "2.5")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		_, err := engine.Do(ctx, call(address, false), &sink{})
		var refused *granitehoist.Error
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Code).To(Equal(granitehoist.UpstreamRefused))
		Expect(refused.RetryAfter).To(Equal(2500 * time.Millisecond))
	})

	It("can't tell the cost if nobody answers", func() {
		_, ok := engine.Stop(ctx, "http://127.0.0.1:1", "box-1.1")
		Expect(ok).To(BeFalse())
	})

	It("keeps an attempt that was stopped before it arrived from running", func() {
		stand := standin.NewEngine(standin.EngineSettings{})
		address := serve(stand.Handler())
		usage, ok := engine.Stop(ctx, address, "box-1.1")
		Expect(ok).To(BeTrue())
		Expect(usage.Total()).To(BeZero())
		_, err := engine.Do(ctx, call(address, false), &sink{})
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamRefused))
	})
})

var _ = Describe("Plain", func() {
	plain := upstream.NewPlain()
	once := func(address string) granitehoist.Call {
		return granitehoist.Call{Attempt: "box-1.1", Address: address, Method: http.MethodPost, Path: "/permits?x=1", Header: http.Header{}, Body: []byte("b"), Once: true}
	}

	It("passes the answer on", func() {
		stand := standin.NewPlain()
		var s sink
		_, err := plain.Do(ctx, once(serve(stand.Handler())), &s)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.body.String()).To(ContainSubstring(`"path":"/permits"`))
		Expect(stand.Attempts()).To(HaveKeyWithValue(granitehoist.AttemptID("box-1.1"), 1))
	})

	It("sends a call once though its answer is lost", func() {
		stand := standin.NewPlain()
		address := serve(stand.Handler())
		for _, c := range []granitehoist.Call{once(address), {Attempt: "box-1.2", Address: address, Method: http.MethodGet, Path: "/x", Header: http.Header{}, Once: true}} {
			_, err := plain.Do(ctx, c, &sink{})
			Expect(err).NotTo(HaveOccurred())
		}
		stand.Fail(standin.PlainFaults{LoseEvery: 1})
		for _, attempt := range []granitehoist.AttemptID{"box-1.3", "box-1.4"} {
			c := once(address)
			c.Attempt = attempt
			if attempt == "box-1.4" {
				c.Method, c.Body = http.MethodGet, nil
			}
			_, err := plain.Do(ctx, c, &sink{})
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamLost))
			Expect(stand.Attempts()).To(HaveKeyWithValue(attempt, 1))
		}
	})

	It("finds a crossed answer", func() {
		stand := standin.NewPlain()
		stand.Fail(standin.PlainFaults{CrossEvery: 1})
		_, err := plain.Do(ctx, once(serve(stand.Handler())), &sink{})
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.AnswerCrossed))
	})

	It("gives nothing of an answer that is cut", func() {
		address := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
		}))
		var s sink
		_, err := plain.Do(ctx, once(address), &s)
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamCut))
		Expect(s.status).To(BeZero())
	})

	It("ends with its deadline, as may have run", func() {
		stand := standin.NewPlain()
		stand.Fail(standin.PlainFaults{Delay: 2 * time.Second})
		short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		_, err := plain.Do(short, once(serve(stand.Handler())), &sink{})
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamLost))
	})

	It("does not follow the service elsewhere", func() {
		address := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://127.0.0.1:1/", http.StatusFound)
		}))
		var s sink
		_, err := plain.Do(ctx, once(address), &s)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.status).To(Equal(http.StatusFound))
	})
})

var _ = Describe("CopyHeader", func() {
	It("leaves out what belongs to one connection", func() {
		h := http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Keep-Alive": {"1"}, "X-Own": {"2"}, "X-Not": {"3"}}
		Expect(upstream.CopyHeader(h, "X-Not")).To(Equal(http.Header{"X-Own": {"2"}}))
	})
})
