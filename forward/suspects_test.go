// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/standin"
	"granitehoist.example/granitehoist/suspect"
)

// crashPath marks the requests that crash each worker that runs them.
const crashPath = "deadly"

// crashingService is a service whose crashed workers can be replaced.
type crashingService struct {
	fixture *fixture
	service granitehoist.Service
	// crash is the answer to a request with crashPath, other to any other request.
	crash, other standin.WorkerResponse

	mu      sync.Mutex
	started int
	crashed []string
}

// newCrashingService starts a service with six workers.
func newCrashingService(s *fixture, service granitehoist.Service, crash, other standin.WorkerResponse) *crashingService {
	c := &crashingService{fixture: s, service: service, crash: crash, other: other}
	for range 6 {
		c.addWorker()
	}
	return c
}

func (c *crashingService) addWorker() {
	c.mu.Lock()
	c.started++
	id := fmt.Sprintf("w-%d", c.started)
	c.mu.Unlock()
	c.fixture.worker(c.service, id, func(a standin.ReceivedRequest) standin.WorkerResponse {
		if !strings.Contains(a.Target, crashPath) {
			return c.other
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.crash.Cut.Crash {
			c.crashed = append(c.crashed, id)
		}
		return c.crash
	})
}

// crashCount returns the number of crashed workers.
func (c *crashingService) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashed)
}

// replace starts a worker for each crash since the count was before.
func (c *crashingService) replace(before int) {
	for range c.crashCount() - before {
		c.addWorker()
	}
}

var _ = Describe("A request that crashes each worker that runs it", func() {
	crash := standin.WorkerResponse{Cut: standin.Cut{Crash: true}}
	crashInStream := standin.WorkerResponse{Events: 20, Cut: standin.Cut{Crash: true, After: 3}}
	crashBeforeStream := standin.WorkerResponse{Cut: standin.Cut{Crash: true}, Events: 20}
	answer := standin.WorkerResponse{Body: "permit"}

	var s *fixture
	var table *suspect.Table

	BeforeEach(func() {
		s = newFixture()
		table = suspect.New(suspect.Settings{})
		table.SetSecret(suspect.Secret{1})
		s.useSuspects(table)
	})

	serve := func(path, body string) error {
		r := request(path)
		r.Body = []byte(body)
		r.Arrived = time.Now()
		_, err := s.forwarder.Serve(context.Background(), r, &fakeSink{})
		return err
	}

	DescribeTable("is refused after a few crashes", func(path string, service granitehoist.Service, crash standin.WorkerResponse, maxCrashes int) {
		c := newCrashingService(s, service, crash, answer)
		var err error
		for range 10 {
			before := c.crashCount()
			err = serve(path+crashPath, "question")
			c.replace(before)
		}
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.CrashesUpstreams))
		var refusal *granitehoist.Error
		Expect(err).To(BeAssignableToTypeOf(refusal))
		refusal, _ = err.(*granitehoist.Error)
		Expect(refusal.RetryAfter).To(BeNumerically("~", suspect.DefaultBlockDuration, 10*time.Second))
		Expect(c.crashCount()).To(BeNumerically("<=", maxCrashes))
		Expect(s.budgets.reserved).To(BeZero(), "tokens remain reserved")
		Expect(serve(path+"other", "question")).To(Succeed())
		before := c.crashCount()
		Expect(serve(path+crashPath, "another question")).NotTo(Succeed())
		Expect(c.crashCount()).To(BeNumerically(">", before), "a request with another body was refused")
	},
		Entry("on an unsafe route", "/unsafe/", desk, crash, 3),
		Entry("on a safe route", "/safe/", desk, crash, 4),
		Entry("before a stream has started", "/stream/", model, crashBeforeStream, 3),
		Entry("during a stream", "/stream/", model, crashInStream, 5),
		Entry("during a stream that is resumed", "/resume/", model, crashInStream, 6),
	)

	It("is not sent if crash records arrive while it waits for tokens", func() {
		c := newCrashingService(s, model, crashBeforeStream, answer)
		for range 2 {
			before := c.crashCount()
			Expect(serve("/stream/"+crashPath, "question")).NotTo(Succeed())
			c.replace(before)
		}
		records := table.Uncleared()
		i := slices.IndexFunc(records, func(r suspect.Record) bool { return !r.Scope })
		Expect(i).NotTo(Equal(-1), "there is no record of the request")
		records[i].Crashes = append(records[i].Crashes, suspect.Crash{Incarnation: "elsewhere", Round: 3, EarlyRound: 3})
		s.budgets.reserving = func() { table.Merge(records, time.Now()) }
		before := c.crashCount()
		Expect(granitehoist.CodeOf(serve("/stream/"+crashPath, "question"))).To(Equal(granitehoist.CrashesUpstreams))
		Expect(c.crashCount()).To(Equal(before))
		Expect(s.budgets.reserved).To(BeZero())
	})

	It("is refused for a part of its prompt, and requests without the part are not", func() {
		c := newCrashingService(s, model, crashBeforeStream, answer)
		prompted := func(path string, parts ...string) error {
			r := request(path)
			r.Target, r.PrefixParts = path, parts
			_, err := s.forwarder.Serve(context.Background(), r, &fakeSink{})
			return err
		}
		for n := range 3 {
			before := c.crashCount()
			Expect(prompted(fmt.Sprintf("/stream/%s-%d", crashPath, n), "common", fmt.Sprint("other-", n), "crashing")).NotTo(Succeed())
			c.replace(before)
		}
		before := c.crashCount()
		Expect(granitehoist.CodeOf(prompted("/stream/"+crashPath, "common", "crashing"))).To(Equal(granitehoist.CrashesUpstreams))
		Expect(c.crashCount()).To(Equal(before))
		for n := range 3 {
			Expect(prompted("/stream/x", "common", fmt.Sprint("other-", n))).To(Succeed())
		}
		for _, r := range table.Uncleared() {
			Expect(r.Scope && len(r.Crashes) > 1).To(BeFalse(), "a scope is accused of crashes under a suspect part")
		}
	})

	It("is reported as possibly run if its first attempt may have run", func() {
		c := newCrashingService(s, desk, crash, answer)
		for range 2 {
			before := c.crashCount()
			Expect(granitehoist.CodeOf(serve("/safe/"+crashPath, "question"))).To(Equal(granitehoist.UpstreamLost))
			c.replace(before)
		}
		Expect(granitehoist.CodeOf(serve("/safe/"+crashPath, "question"))).To(Equal(granitehoist.CrashesUpstreams))
	})

	It("is cleared once it succeeds", func() {
		c := newCrashingService(s, desk, crash, answer)
		Expect(serve("/unsafe/"+crashPath, "question")).NotTo(Succeed())
		c.replace(0)
		Expect(table.HasSuspects()).To(BeTrue())
		c.mu.Lock()
		c.crash = answer
		c.mu.Unlock()
		Expect(serve("/unsafe/"+crashPath, "question")).To(Succeed())
		Expect(table.HasSuspects()).To(BeFalse())
	})

	It("is pinned to one worker while it is suspect", func() {
		c := newCrashingService(s, desk, crash, answer)
		Expect(serve("/unsafe/"+crashPath, "question")).NotTo(Succeed())
		c.replace(0)
		query := balance.Query{Service: desk, Pin: table.Uncleared()[0].Digest.Hash()}
		first, err := s.table.Pick(query, time.Now())
		Expect(err).NotTo(HaveOccurred())
		for range 20 {
			lease, err := s.table.Pick(query, time.Now())
			Expect(err).NotTo(HaveOccurred())
			Expect(lease.ID).To(Equal(first.ID))
		}
	})
})

var _ = Describe("A broken connection", func() {
	var s *fixture
	var table *suspect.Table

	BeforeEach(func() {
		s = newFixture()
		table = suspect.New(suspect.Settings{})
		table.SetSecret(suspect.Secret{1})
		s.useSuspects(table)
	})

	serve := func(path string) error {
		r := request(path)
		_, err := s.forwarder.Serve(context.Background(), r, &fakeSink{})
		return err
	}

	It("is not recorded as a crash if the worker still accepts connections", func() {
		s.worker(desk, "i-1", always(standin.WorkerResponse{Body: "permit", Cut: standin.Cut{Set: true, After: 2}}))
		Expect(serve("/unsafe/x")).NotTo(Succeed())
		Expect(table.HasSuspects()).To(BeFalse())
	})

	It("is not recorded as a crash if the worker is draining", func() {
		var w *standin.Worker
		w = s.worker(desk, "i-1", func(standin.ReceivedRequest) standin.WorkerResponse {
			s.table.Announce(balance.Instance{ID: "i-1", Service: desk, Address: w.Address(), Draining: true, Version: 2}, time.Now())
			return standin.WorkerResponse{Cut: standin.Cut{Crash: true}}
		})
		Expect(serve("/unsafe/x")).NotTo(Succeed())
		Expect(table.HasSuspects()).To(BeFalse())
	})

	It("is not recorded as a crash if the worker has withdrawn its entry", func() {
		s.worker(desk, "i-1", func(standin.ReceivedRequest) standin.WorkerResponse {
			s.table.Remove("i-1", time.Now())
			return standin.WorkerResponse{Cut: standin.Cut{Crash: true}}
		})
		Expect(serve("/unsafe/x")).NotTo(Succeed())
		Expect(table.HasSuspects()).To(BeFalse())
	})

	It("is not recorded as a crash if the caller has disconnected", func() {
		ctx, disconnect := context.WithCancel(context.Background())
		s.worker(desk, "i-1", func(standin.ReceivedRequest) standin.WorkerResponse {
			disconnect()
			return standin.WorkerResponse{Cut: standin.Cut{Crash: true}, Delay: 50 * time.Millisecond}
		})
		_, err := s.forwarder.Serve(ctx, request("/unsafe/x"), &fakeSink{})
		Expect(err).To(HaveOccurred())
		Expect(table.HasSuspects()).To(BeFalse())
	})

	It("is recorded as a crash until the request succeeds; a 5xx response does not clear it", func() {
		s.worker(desk, "i-1", always(standin.WorkerResponse{Cut: standin.Cut{Crash: true}}))
		Expect(serve("/unsafe/x")).NotTo(Succeed())
		Expect(table.HasSuspects()).To(BeTrue())
		answer := standin.WorkerResponse{Status: 500, Body: "own failure"}
		s.worker(desk, "i-2", func(standin.ReceivedRequest) standin.WorkerResponse { return answer })
		Expect(serve("/unsafe/x")).To(Succeed())
		Expect(table.HasSuspects()).To(BeTrue())
		answer = standin.WorkerResponse{Body: "permit"}
		Expect(serve("/unsafe/x")).To(Succeed())
		Expect(table.HasSuspects()).To(BeFalse())
	})
})

// BenchmarkServeWithSuspects measures requests while there are crash records of other
// requests.
func BenchmarkServeWithSuspects(b *testing.B) {
	RegisterTestingT(b)
	s := newFixture()
	table := suspect.New(suspect.Settings{})
	table.SetSecret(suspect.Secret{1})
	table.RecordCrash(suspect.Digest{1}, suspect.Observation{Incarnation: "i-0"}, time.Now())
	s.useSuspects(table)
	w, err := standin.NewWorker("i-1", always(standin.WorkerResponse{Body: "permit"}))
	Expect(err).NotTo(HaveOccurred())
	b.Cleanup(w.Close)
	s.table.Announce(balance.Instance{ID: "i-1", Service: desk, Address: w.Address(), Version: 1}, time.Now())
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if _, err := s.forwarder.Serve(context.Background(), numberedRequest("/safe/x", n), &fakeSink{}); err != nil {
			b.Fatal(err)
		}
	}
}
