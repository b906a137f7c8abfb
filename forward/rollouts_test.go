// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/rollout"
	"granitehoist.example/granitehoist/standin"
)

const (
	oldRelease = granitehoist.Release("v1")
	newRelease = granitehoist.Release("v2")
)

var _ forward.Rollouts = (*rollout.Gate)(nil)

// fakeRollouts admits the first attempt of each request to the new release first, others to
// the old one, and records its calls.
type fakeRollouts struct {
	mu      sync.Mutex
	retries []bool
	refunds int
	sent    []granitehoist.Release
	samples []rollout.Sample
}

func (f *fakeRollouts) Admit(_ granitehoist.Service, retry bool, _ time.Time) rollout.Admission {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries = append(f.retries, retry)
	baseline := balance.ReleaseRule{Except: []granitehoist.Release{newRelease}}
	if retry {
		return rollout.Admission{Rules: []balance.ReleaseRule{baseline}}
	}
	return rollout.Admission{Rules: []balance.ReleaseRule{{Only: newRelease}, baseline}, Canary: true}
}

func (f *fakeRollouts) Refund(granitehoist.Service, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refunds++
}

func (f *fakeRollouts) Sent(_ granitehoist.Service, r granitehoist.Release, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, r)
}

func (f *fakeRollouts) Ended(s rollout.Sample, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.samples = append(f.samples, s)
}

// These specs guard against requests that fail for want of a canary, against canary
// requests that are not refunded, and against evidence with a wrong outcome or time.
var _ = Describe("Roll-outs", func() {
	var s *fixture
	var rollouts *fakeRollouts
	var sink *fakeSink
	BeforeEach(func() {
		s, rollouts, sink = newFixture(), &fakeRollouts{}, &fakeSink{}
		s.settings.Rollouts = rollouts
		s.forwarder = forward.New(s.settings)
	})
	serve := func(path string) error {
		_, err := s.forwarder.Serve(context.Background(), request(path), sink)
		return err
	}
	// worker adds a worker of a release.
	worker := func(service granitehoist.Service, release granitehoist.Release, answer standin.WorkerResponse) {
		w := s.worker(service, "i-"+string(release), always(answer))
		s.table.Announce(balance.Instance{ID: granitehoist.Upstream(w.Instance()), Service: service, Address: w.Address(), Release: release, Version: 2}, time.Now())
	}

	It("send a canary request to the target", func() {
		worker(desk, oldRelease, standin.WorkerResponse{Body: "old"})
		worker(desk, newRelease, standin.WorkerResponse{Body: "new"})
		Expect(serve("/safe/x")).To(Succeed())
		Expect(sink.text()).To(Equal("new"))
		Expect(rollouts.sent).To(Equal([]granitehoist.Release{newRelease}))
		Expect(rollouts.refunds).To(BeZero())
	})

	It("send a canary request to the baseline and refund it if the target has no candidate", func() {
		worker(desk, oldRelease, standin.WorkerResponse{Body: "old"})
		Expect(serve("/safe/x")).To(Succeed())
		Expect(sink.text()).To(Equal("old"))
		Expect(rollouts.sent).To(Equal([]granitehoist.Release{oldRelease}))
		Expect(rollouts.refunds).To(Equal(1))
	})

	It("refund a canary request once if no release has a candidate", func() {
		Expect(granitehoist.CodeOf(serve("/safe/x"))).To(Equal(granitehoist.NoUpstream))
		Expect(rollouts.sent).To(BeEmpty())
		Expect(rollouts.refunds).To(Equal(1))
	})

	It("retry a request that failed at the target at the baseline", func() {
		worker(desk, oldRelease, standin.WorkerResponse{Body: "old"})
		worker(desk, newRelease, standin.WorkerResponse{Status: 500, Body: "failed"})
		Expect(serve("/safe/x")).To(Succeed())
		Expect(sink.text()).To(Equal("old"))
		Expect(rollouts.retries).To(Equal([]bool{false, true}))
		Expect(rollouts.sent).To(Equal([]granitehoist.Release{newRelease, oldRelease}))
		Expect(rollouts.samples).To(HaveLen(2))
		Expect(rollouts.samples[0].Outcome).To(Equal(rollout.Bad))
		Expect(rollouts.samples[1].Outcome).To(Equal(rollout.Good))
	})

	DescribeTable("learn the result of an attempt",
		func(path string, service granitehoist.Service, answer standin.WorkerResponse, want rollout.Sample) {
			worker(service, newRelease, answer)
			// The error is that of the answer.
			_ = serve(path)
			Expect(rollouts.samples).To(HaveLen(1))
			got := rollouts.samples[0]
			Expect(got.Head).To(BeNumerically(">", 0))
			Expect(got.Upstream).NotTo(BeEmpty())
			want.Service, want.Release, want.Upstream, want.Head = service, newRelease, got.Upstream, got.Head
			Expect(got).To(Equal(want))
		},
		Entry("served", "/unsafe/x", desk, standin.WorkerResponse{Body: "x"}, rollout.Sample{Route: "unsafe", Outcome: rollout.Good, Answered: true}),
		Entry("failed", "/unsafe/x", desk, standin.WorkerResponse{Status: 500, Body: "x"}, rollout.Sample{Route: "unsafe", Outcome: rollout.Bad, Answered: true}),
		Entry("without a seal", "/unsafe/x", desk, standin.WorkerResponse{Body: "x", NoSeal: true}, rollout.Sample{Route: "unsafe", Outcome: rollout.Bad, Answered: true}),
		Entry("cut off", "/unsafe/x", desk, standin.WorkerResponse{Body: "long", Cut: standin.Cut{Set: true, After: 2}}, rollout.Sample{Route: "unsafe", Outcome: rollout.Bad, Answered: true}),
		Entry("not run", "/unsafe/x", desk, standin.WorkerResponse{Status: 503, NotRun: true}, rollout.Sample{Route: "unsafe", Outcome: rollout.Inconclusive, Answered: true}),
		Entry("a stream", "/stream/x", model, standin.WorkerResponse{Events: 3}, rollout.Sample{Route: "stream", Outcome: rollout.Good, Answered: true}),
		Entry("a stream that is cut off", "/stream/x", model, standin.WorkerResponse{Events: 9, Cut: standin.Cut{Set: true, After: 4}}, rollout.Sample{Route: "stream", Outcome: rollout.Bad, Answered: true}),
	)

	It("learn that an instance is down or crashed", func() {
		worker(desk, newRelease, standin.WorkerResponse{Cut: standin.Cut{Crash: true}})
		Expect(serve("/unsafe/x")).NotTo(Succeed())
		Expect(serve("/unsafe/x")).NotTo(Succeed())
		Expect(rollouts.samples).To(HaveLen(2))
		for _, sample := range rollouts.samples {
			Expect(sample.Outcome).To(Equal(rollout.Down))
			Expect(sample.Upstream).NotTo(BeEmpty())
		}
	})

	It("learn the time to the first event of a stream, not to its end", func() {
		worker(model, newRelease, standin.WorkerResponse{Events: 10, Gap: 30 * time.Millisecond})
		started := time.Now()
		Expect(serve("/stream/x")).To(Succeed())
		whole := time.Since(started)
		Expect(rollouts.samples).To(HaveLen(1))
		Expect(rollouts.samples[0].Head).To(BeNumerically("<=", whole-8*30*time.Millisecond))
	})

	It("learn a lower bound of the time of an attempt that the caller ends", func() {
		worker(desk, newRelease, standin.WorkerResponse{Hang: true})
		const patience = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_, err := s.forwarder.Serve(ctx, request("/unsafe/x"), sink)
		Expect(err).To(HaveOccurred())
		Expect(rollouts.samples).To(HaveLen(1))
		Expect(rollouts.samples[0].Outcome).To(Equal(rollout.Inconclusive))
		Expect(rollouts.samples[0].Answered).To(BeFalse())
		Expect(rollouts.samples[0].Head).To(And(BeNumerically(">", 0), BeNumerically("<", stepTimeout)))
	})
})
