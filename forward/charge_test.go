// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/standin"
)

const (
	// chargedPrompt and chargedOutput are the maximum cost of the requests below.
	chargedPrompt, chargedOutput = granitehoist.Tokens(100), granitehoist.Tokens(200)
	// wholeOutput is the charge of a request whose caller may have all of its output.
	wholeOutput = chargedPrompt + chargedOutput
)

// wordsOf returns a body of count words, each of which is a token.
func wordsOf(count granitehoist.Tokens) string {
	return strings.TrimSpace(strings.Repeat("token ", int(count)))
}

// newChargedFixture returns a fixture whose model service has routes of each kind.
func newChargedFixture() *fixture {
	s := newFixture()
	s.offer(8, func(d *catalog.Document) {
		for i := range d.Routes {
			d.Routes[i].Split = []catalog.Share{{Service: model, Weight: 1}}
		}
	})
	return s
}

// chargeOf serves a request at workers with the given responses and returns the charge and
// what the caller got.
func chargeOf(s *fixture, path string, change func(*forward.Request), sink *fakeSink, responses ...standin.WorkerResponse) (granitehoist.Tokens, string) {
	GinkgoHelper()
	for i, response := range responses {
		s.worker(model, "i-"+string(rune('1'+i)), always(response))
	}
	r := request(path)
	r.MaxCost = &forward.Cost{Prompt: chargedPrompt, Output: chargedOutput}
	if change != nil {
		change(r)
	}
	_, err := s.forwarder.Serve(context.Background(), r, sink)
	if err != nil {
		GinkgoWriter.Println(err)
	}
	Expect(s.budgets.reserved).To(BeZero(), "settled once")
	return s.budgets.used, sink.text()
}

// These specs guard against a workspace that receives more tokens than it is charged, on any
// kind of route and with any kind of answer, and against charges for the same tokens twice.
var _ = Describe("The charge of a request", func() {
	var s *fixture
	BeforeEach(func() { s = newChargedFixture() })
	whole := standin.WorkerResponse{Body: wordsOf(chargedOutput), ContentType: "text/plain"}

	DescribeTable("covers a whole answer on each kind of route",
		func(path string) {
			used, got := chargeOf(s, path, nil, &fakeSink{}, whole)
			Expect(got).To(Equal(whole.Body))
			Expect(used).To(Equal(wholeOutput))
		},
		Entry("unsafe", "/unsafe/x"),
		Entry("safe", "/safe/x"),
		Entry("safe without a target", "/patient/x"),
		Entry("streaming", "/stream/x"),
		Entry("streaming that may be resumed", "/resume/x"),
	)

	DescribeTable("covers an answer on a streaming route that is no stream of counted events",
		func(response standin.WorkerResponse) {
			used, got := chargeOf(s, "/stream/x", nil, &fakeSink{}, response)
			Expect(got).To(Equal(response.Body))
			Expect(used).To(Equal(wholeOutput))
		},
		Entry("a whole answer without a type", standin.WorkerResponse{Body: wordsOf(chargedOutput)}),
		Entry("an event without an id", standin.WorkerResponse{Body: "data: " + wordsOf(chargedOutput) + "\n\n", ContentType: "text/event-stream"}),
		Entry("an event without its end", standin.WorkerResponse{Body: "id: 1\ndata: " + wordsOf(chargedOutput), ContentType: "text/event-stream"}),
		Entry("paragraphs of plain text", standin.WorkerResponse{Body: wordsOf(chargedOutput/2) + "\n\n" + wordsOf(chargedOutput/2), ContentType: "text/plain"}),
		Entry("an event with an id in plain text", standin.WorkerResponse{Body: "id: 1\ndata: " + wordsOf(chargedOutput) + "\n\n", ContentType: "text/plain"}),
		Entry("without a length", standin.WorkerResponse{Body: wordsOf(chargedOutput), Unframed: true, ContentType: "text/plain"}),
	)

	DescribeTable("covers the body of a failure",
		func(path string, status int) {
			used, got := chargeOf(s, path, nil, &fakeSink{}, standin.WorkerResponse{Status: status, Body: wordsOf(chargedOutput)})
			Expect(got).To(Equal(wordsOf(chargedOutput)))
			Expect(used).To(Equal(wholeOutput))
		},
		Entry("of a server, unsafe", "/unsafe/x", http.StatusInternalServerError),
		Entry("of a server, streaming", "/stream/x", http.StatusInternalServerError),
		Entry("of a request, unsafe", "/unsafe/x", http.StatusUnprocessableEntity),
		Entry("of a request, streaming", "/stream/x", http.StatusUnprocessableEntity),
	)

	It("covers an answer that the caller did not take to its end", func() {
		used, _ := chargeOf(s, "/unsafe/x", nil, &fakeSink{disconnected: true}, whole)
		Expect(used).To(Equal(wholeOutput))
	})

	It("counts the events of a stream", func() {
		used, _ := chargeOf(s, "/stream/x", nil, &fakeSink{}, standin.WorkerResponse{Events: 4})
		Expect(used).To(Equal(chargedPrompt + 4*tokens))
	})
	It("counts the events of a stream that is broken off, and one more", func() {
		used, got := chargeOf(s, "/stream/x", nil, &fakeSink{}, standin.WorkerResponse{Events: 10, Cut: standin.Cut{Set: true, After: 4, MidEvent: true}})
		Expect(got).To(Equal(events(4)))
		Expect(used).To(Equal(chargedPrompt + 5*tokens))
	})
	It("counts the prompt once and each event once if a stream goes on elsewhere", func() {
		broken := standin.WorkerResponse{Events: 10, Cut: standin.Cut{Set: true, After: 4}}
		used, got := chargeOf(s, "/resume/x", nil, &fakeSink{}, broken, broken)
		Expect(got).To(Equal(events(8)[:len(got)]))
		Expect(used).To(BeNumerically(">=", chargedPrompt+tokens*granitehoist.Tokens(strings.Count(got, "id: "))))
		Expect(used).To(BeNumerically("<=", chargedPrompt+10*tokens+tokens))
	})
	It("counts only the events after the one that the caller has", func() {
		s.worker(model, "i-9", func(r standin.ReceivedRequest) standin.WorkerResponse {
			return standin.WorkerResponse{Events: 10, Cut: standin.Cut{Set: r.After == 0, After: 6}}
		})
		first, _ := chargeOf(s, "/resume/x", func(r *forward.Request) { r.ID, r.Header = "r-0", http.Header{"Attempt-Id": {"r-0"}} }, &fakeSink{})
		Expect(first).To(Equal(chargedPrompt + 7*tokens))
		both, _ := chargeOf(s, "/resume/x", func(r *forward.Request) { r.LastEventID, r.Resumes = granitehoist.NewEventID(6), "r-0" }, &fakeSink{})
		Expect(both - first).To(Equal(chargedPrompt + 4*tokens))
	})
	It("counts a whole answer once if an attempt before it failed", func() {
		first := true
		answer := func(standin.ReceivedRequest) standin.WorkerResponse {
			if first {
				first = false
				return standin.WorkerResponse{Status: http.StatusInternalServerError, Body: wordsOf(chargedOutput)}
			}
			return whole
		}
		s.worker(model, "i-8", answer)
		s.worker(model, "i-9", answer)
		used, got := chargeOf(s, "/safe/x", nil, &fakeSink{})
		Expect(got).To(Equal(whole.Body))
		Expect(used).To(Equal(wholeOutput))
	})
	It("has no output if the caller got none", func() {
		used, got := chargeOf(s, "/unsafe/x", nil, &fakeSink{}, standin.WorkerResponse{Body: wordsOf(chargedOutput), Cut: standin.Cut{Set: true, After: 20}})
		Expect(got).To(BeEmpty())
		Expect(used).To(BeNumerically("<=", chargedPrompt+tokens))
	})
	It("is zero if no worker ran the request", func() {
		used, _ := chargeOf(s, "/unsafe/x", nil, &fakeSink{}, standin.WorkerResponse{Status: http.StatusServiceUnavailable, NotRun: true, Body: "full"})
		Expect(used).To(BeZero())
	})
})
