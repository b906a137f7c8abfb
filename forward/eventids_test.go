// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"fmt"
	"math"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/origin"
	"granitehoist.example/granitehoist/standin"
)

// numberedEvents returns the events from number first on of a stream of nine events, whose ids
// have an offset.
func numberedEvents(first, offset int) string {
	var text strings.Builder
	for n := first; n <= 9; n++ {
		text.WriteString(strings.Replace(standin.StreamEvent("r-1", n), fmt.Sprint("id: ", n), fmt.Sprint("id: ", n+offset), 1))
	}
	return text.String()
}

// firstIDs maps names to offsets from the ids 1 to 9.
var firstIDs = map[string]int{"from 0": -1, "from 1": 0, "from 7": 6, "up to the largest": math.MaxInt64 - 9}

// These specs guard against streams that end as complete without an event, or are begun again or
// refused, since an id of 0 counts as none.
var _ = Describe("The events of a stream", func() {
	var s *fixture
	var origins *fakeOrigins
	var sink *fakeSink
	BeforeEach(func() {
		s, sink = newFixture(), &fakeSink{}
		origins = &fakeOrigins{changed: make(chan struct{}), known: &origin.Origin{Service: model}}
		s.settings.Origins = origins
		s.forwarder = forward.New(s.settings)
	})
	resume := func(after int) error {
		r := request("/resume/x")
		r.LastEventID, r.Resumes = granitehoist.NewEventID(int64(after)), "r-0"
		_, err := s.forwarder.Serve(context.Background(), r, sink)
		return err
	}
	for name, offset := range firstIDs {
		Context("with ids "+name, func() {
			for _, path := range []string{"/resume/x", "/stream/x"} {
				It("arrive once and in order, "+path, func() {
					s.worker(model, "i-1", always(standin.WorkerResponse{Events: 9, IDOffset: offset}))
					_, err := s.forwarder.Serve(context.Background(), request(path), sink)
					Expect(err).NotTo(HaveOccurred())
					Expect(sink.text()).To(Equal(numberedEvents(1, offset)))
				})
			}
			for _, received := range []int{1, 4} {
				It(fmt.Sprintf("go on at another worker after %d of them", received), func() {
					var resumedAfter []string
					answer := func(a standin.ReceivedRequest) standin.WorkerResponse {
						resumedAfter = append(resumedAfter, a.Header.Get("Last-Event-Id"))
						cut := standin.Cut{Set: len(resumedAfter) == 1, After: received, MidEvent: true}
						return standin.WorkerResponse{Events: 9, IDOffset: offset, Cut: cut}
					}
					s.worker(model, "i-1", answer)
					s.worker(model, "i-2", answer)
					_, err := s.forwarder.Serve(context.Background(), request("/resume/x"), sink)
					Expect(err).NotTo(HaveOccurred())
					Expect(sink.text()).To(Equal(numberedEvents(1, offset)))
					Expect(resumedAfter).To(Equal([]string{"", fmt.Sprint(received + offset)}))
				})
			}
			It("go on after the first one for a caller that has it", func() {
				w := s.worker(model, "i-1", always(standin.WorkerResponse{Events: 9, IDOffset: offset}))
				Expect(resume(1 + offset)).To(Succeed())
				Expect(origins.asked).To(ConsistOf(origin.Stream{Workspace: tenant, Request: "r-0"}))
				Expect(w.Requests()[0].Header.Get("Last-Event-Id")).To(Equal(fmt.Sprint(1 + offset)))
				Expect(sink.text()).To(Equal(numberedEvents(2, offset)))
			})
		})
	}
	for _, first := range []int{0, 1} {
		It(fmt.Sprintf("are not relayed if one is missing after the caller's event %d", first), func() {
			s.worker(model, "i-1", always(standin.WorkerResponse{Events: 9, IDOffset: first - 1, SkipEvents: 1}))
			Expect(granitehoist.CodeOf(resume(first))).To(Equal(granitehoist.UpstreamBadAnswer))
			Expect(sink.text()).To(BeEmpty())
		})
	}
})
