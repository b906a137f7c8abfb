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

// sink records a response. If failAtWrite is above zero, Write fails from that call on.
type sink struct {
	status      int
	header      http.Header
	body        bytes.Buffer
	writes      int
	failAtWrite int
}

func (s *sink) Start(status int, header http.Header) error {
	s.status, s.header = status, header
	return nil
}

func (s *sink) Write(piece []byte) error {
	s.writes++
	if s.failAtWrite > 0 && s.writes >= s.failAtWrite {
		return errors.New("gone")
	}
	s.body.Write(piece)
	return nil
}

var ctx = context.Background()

const prompt = "a question of some length"

// call returns a call of an engine's chat completions.
func call(address string, stream bool) granitehoist.Call {
	body := fmt.Sprintf(`{"model":"m","max_tokens":16,"stream":%t,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":%q}]}`, stream, prompt)
	return granitehoist.Call{
		Attempt: "box-1.1", Address: address, Method: http.MethodPost, Path: "/v1/chat/completions",
		Header: http.Header{"Content-Type": {"application/json"}}, Body: []byte(body), Stream: stream,
	}
}

// serve serves a handler until the spec ends and returns its URL.
func serve(h http.Handler) string {
	server := httptest.NewServer(h)
	DeferCleanup(server.Close)
	return server.URL
}

// serveText serves a fixed body to every call.
func serveText(contentType, text string) string {
	return serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, text)
	}))
}

const finishedEvent = `data: {"id":"c-box-1.1","choices":[{"index":0,"delta":{"content":"x"},"finish_reason":"stop"}]}` + "\n\n"

var _ = Describe("Engine", func() {
	engine := upstream.NewEngine()

	for _, stream := range []bool{false, true} {
		Context(fmt.Sprintf("with stream %t", stream), func() {
			var fake *standin.Engine
			var address string
			BeforeEach(func() {
				fake = standin.NewEngine(standin.EngineSettings{})
				address = serve(fake.Handler())
			})

			It("forwards a complete response with its usage", func() {
				var s sink
				usage, err := engine.Do(ctx, call(address, stream), &s)
				Expect(err).NotTo(HaveOccurred())
				Expect(usage.Reported).To(BeTrue())
				Expect(usage.Total()).To(Equal(standin.Cost(prompt, 16)))
				Expect(s.status).To(Equal(http.StatusOK))
				Expect(s.body.String()).To(ContainSubstring(standin.Answer(prompt, 16)[0]))
			})

			DescribeTable("detects an engine fault",
				func(faults standin.EngineFaults, code granitehoist.Code, execution granitehoist.ExecutionStatus) {
					fake.Fail(faults)
					var s sink
					_, err := engine.Do(ctx, call(address, stream), &s)
					Expect(granitehoist.CodeOf(err)).To(Equal(code))
					Expect(code.Info().Execution).To(Equal(execution))
					Expect(s.body.String()).NotTo(ContainSubstring("[DONE]"))
				},
				Entry("refused", standin.EngineFaults{RefuseEvery: 1}, granitehoist.UpstreamRefused, granitehoist.NotRun),
				Entry("shutting down", standin.EngineFaults{Draining: true}, granitehoist.UpstreamRefused, granitehoist.NotRun),
				Entry("response to another attempt", standin.EngineFaults{WrongIDEvery: 1}, granitehoist.AnswerCrossed, granitehoist.MayHaveRun),
			)

			It("detects a truncated response and reports its cost", func() {
				fake.Fail(standin.EngineFaults{CutEvery: 1, NoResume: true})
				var s sink
				_, err := engine.Do(ctx, call(address, stream), &s)
				Expect(granitehoist.CodeOf(err).Info().Execution).To(Equal(granitehoist.MayHaveRun))
				usage, ok := engine.Stop(ctx, address, "box-1.1")
				Expect(ok).To(BeTrue())
				executions := fake.Executions()
				Expect(executions).To(HaveLen(1))
				Expect(usage.Total()).To(Equal(executions[0].Prompt + executions[0].Output))
			})

			It("fails with CallerGone when the caller has disconnected", func() {
				s := sink{failAtWrite: 1}
				_, err := engine.Do(ctx, call(address, stream), &s)
				Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.CallerGone))
			})
		})
	}

	It("resumes an interrupted stream without losing or repeating an event", func() {
		fake := standin.NewEngine(standin.EngineSettings{})
		fake.Fail(standin.EngineFaults{CutEvery: 1})
		var uninterrupted, resumed sink
		usage, err := engine.Do(ctx, call(serve(fake.Handler()), true), &resumed)
		Expect(err).NotTo(HaveOccurred())
		Expect(usage.Total()).To(Equal(standin.Cost(prompt, 16)))
		_, err = engine.Do(ctx, call(serve(standin.NewEngine(standin.EngineSettings{}).Handler()), true), &uninterrupted)
		Expect(err).NotTo(HaveOccurred())
		Expect(resumed.body.String()).To(Equal(uninterrupted.body.String()))
		Expect(fake.Executions()[0].Runs).To(Equal(1))
	})

	It("hides the usage from callers that did not request it", func() {
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

	DescribeTable("rejects an incomplete or invalid response",
		func(stream bool, text string, code granitehoist.Code) {
			var s sink
			_, err := engine.Do(ctx, call(serveText("text/event-stream", text), stream), &s)
			Expect(granitehoist.CodeOf(err)).To(Equal(code))
		},
		Entry("an empty stream", true, "", granitehoist.UpstreamCut),
		Entry("only [DONE]", true, "data: [DONE]\n\n", granitehoist.UpstreamCut),
		Entry("a stream without [DONE]", true, finishedEvent, granitehoist.UpstreamCut),
		Entry("[DONE] before the finish reason", true, strings.Replace(finishedEvent, `"stop"`, "null", 1)+"data: [DONE]\n\n", granitehoist.UpstreamCut),
		Entry("a second choice without a finish reason", true, finishedEvent+`data: {"id":"c-box-1.1","choices":[{"index":1,"finish_reason":null}]}`+"\n\ndata: [DONE]\n\n", granitehoist.UpstreamCut),
		Entry("an error in the stream", true, `data: {"error":{"message":"x"}}`+"\n\n", granitehoist.UpstreamCut),
		Entry("an event of another attempt among its own", true, finishedEvent+strings.Replace(finishedEvent, "box-1.1", "box-1.2", 1)+"data: [DONE]\n\n", granitehoist.AnswerCrossed),
		Entry("an event that is not JSON", true, "data: {\n\n", granitehoist.UpstreamBadAnswer),
		Entry("a body that is not JSON", false, "<html>", granitehoist.UpstreamBadAnswer),
		Entry("a body without choices", false, `{"id":"c-box-1.1","choices":[]}`, granitehoist.UpstreamCut),
		Entry("a body without a finish reason", false, `{"id":"c-box-1.1","choices":[{"finish_reason":null}]}`, granitehoist.UpstreamCut),
		Entry("the response to an attempt whose id has this one as a prefix", false, `{"id":"c-box-1.11","choices":[{"finish_reason":"stop"}]}`, granitehoist.AnswerCrossed),
	)

	It("ignores a usage with a negative count", func() {
		text := `{"id":"c-box-1.1","choices":[{"finish_reason":"stop"}],"usage":{"prompt_tokens":-5,"completion_tokens":1}}`
		usage, err := engine.Do(ctx, call(serveText("application/json", text), false), &sink{})
		Expect(err).NotTo(HaveOccurred())
		Expect(usage.Reported).To(BeFalse())
	})

	It("returns UpstreamRefused only if no connection was made", func() {
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

	It("returns the Retry-After of an engine that refuses a call", func() {
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

	It("returns false from Stop if the engine is unreachable", func() {
		_, ok := engine.Stop(ctx, "http://127.0.0.1:1", "box-1.1")
		Expect(ok).To(BeFalse())
	})

	It("prevents an attempt that was stopped before it arrived from running", func() {
		fake := standin.NewEngine(standin.EngineSettings{})
		address := serve(fake.Handler())
		usage, ok := engine.Stop(ctx, address, "box-1.1")
		Expect(ok).To(BeTrue())
		Expect(usage.Total()).To(BeZero())
		_, err := engine.Do(ctx, call(address, false), &sink{})
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamRefused))
	})
})

var _ = Describe("Plain", func() {
	plain := upstream.NewPlain()
	onceCall := func(address string) granitehoist.Call {
		return granitehoist.Call{Attempt: "box-1.1", Address: address, Method: http.MethodPost, Path: "/permits?x=1", Header: http.Header{}, Body: []byte("b"), Once: true}
	}

	It("forwards the response", func() {
		fake := standin.NewPlain()
		var s sink
		_, err := plain.Do(ctx, onceCall(serve(fake.Handler())), &s)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.body.String()).To(ContainSubstring(`"path":"/permits"`))
		Expect(fake.Attempts()).To(HaveKeyWithValue(granitehoist.AttemptID("box-1.1"), 1))
	})

	It("sends a call once even if the response is lost", func() {
		fake := standin.NewPlain()
		address := serve(fake.Handler())
		for _, c := range []granitehoist.Call{onceCall(address), {Attempt: "box-1.2", Address: address, Method: http.MethodGet, Path: "/x", Header: http.Header{}, Once: true}} {
			_, err := plain.Do(ctx, c, &sink{})
			Expect(err).NotTo(HaveOccurred())
		}
		fake.Fail(standin.PlainFaults{LoseEvery: 1})
		for _, attempt := range []granitehoist.AttemptID{"box-1.3", "box-1.4"} {
			c := onceCall(address)
			c.Attempt = attempt
			if attempt == "box-1.4" {
				c.Method, c.Body = http.MethodGet, nil
			}
			_, err := plain.Do(ctx, c, &sink{})
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamLost))
			Expect(fake.Attempts()).To(HaveKeyWithValue(attempt, 1))
		}
	})

	It("detects the response to another attempt", func() {
		fake := standin.NewPlain()
		fake.Fail(standin.PlainFaults{WrongIDEvery: 1})
		_, err := plain.Do(ctx, onceCall(serve(fake.Handler())), &sink{})
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.AnswerCrossed))
	})

	It("forwards nothing of a truncated response", func() {
		address := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
		}))
		var s sink
		_, err := plain.Do(ctx, onceCall(address), &s)
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamCut))
		Expect(s.status).To(BeZero())
	})

	It("returns UpstreamLost when its deadline passes", func() {
		fake := standin.NewPlain()
		fake.Fail(standin.PlainFaults{Delay: 2 * time.Second})
		short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		_, err := plain.Do(short, onceCall(serve(fake.Handler())), &sink{})
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamLost))
	})

	It("does not follow redirects", func() {
		address := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://127.0.0.1:1/", http.StatusFound)
		}))
		var s sink
		_, err := plain.Do(ctx, onceCall(address), &s)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.status).To(Equal(http.StatusFound))
	})
})

var _ = Describe("EndToEndHeader", func() {
	It("removes hop-by-hop fields and the given names", func() {
		h := http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Keep-Alive": {"1"}, "X-Own": {"2"}, "X-Not": {"3"}}
		Expect(upstream.EndToEndHeader(h, "X-Not")).To(Equal(http.Header{"X-Own": {"2"}}))
	})
})
