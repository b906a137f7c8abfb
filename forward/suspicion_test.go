// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"fmt"
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

// deadly is in the path of requests that crash each worker that runs them.
const deadly = "deadly"

// crowd is a service whose workers are replaced as they crash.
type crowd struct {
	site    *site
	service granitehoist.Service
	// crash is the answer to a deadly request, other that to all others.
	crash, other standin.WorkerAnswer

	mu      sync.Mutex
	started int
	ended   []string
}

// newCrowd starts six workers of a service.
func newCrowd(s *site, service granitehoist.Service, crash, other standin.WorkerAnswer) *crowd {
	c := &crowd{site: s, service: service, crash: crash, other: other}
	for range 6 {
		c.add()
	}
	return c
}

func (c *crowd) add() {
	c.mu.Lock()
	c.started++
	id := fmt.Sprintf("w-%d", c.started)
	c.mu.Unlock()
	c.site.worker(c.service, id, func(a standin.Arrival) standin.WorkerAnswer {
		if !strings.Contains(a.Target, deadly) {
			return c.other
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.crash.Cut.Crash {
			c.ended = append(c.ended, id)
		}
		return c.crash
	})
}

// endings returns how many workers have crashed.
func (c *crowd) endings() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ended)
}

// replace starts a worker for each that crashed since there were so many.
func (c *crowd) replace(before int) {
	for range c.endings() - before {
		c.add()
	}
}

var _ = Describe("A request that crashes each worker that runs it", func() {
	crash := standin.WorkerAnswer{Cut: standin.Cut{Crash: true}}
	crashInStream := standin.WorkerAnswer{Events: 20, Cut: standin.Cut{Crash: true, After: 3}}
	crashBeforeStream := standin.WorkerAnswer{Cut: standin.Cut{Crash: true}, Events: 20}
	answer := standin.WorkerAnswer{Body: "permit"}

	var s *site
	var table *suspect.Table

	BeforeEach(func() {
		s = newSite()
		table = suspect.New(suspect.Settings{})
		table.SetSecret(suspect.Secret{1})
		s.suspects(table)
	})

	serve := func(path, body string) error {
		r := request(path)
		r.Body = []byte(body)
		r.Arrived = time.Now()
		_, err := s.forwarder.Serve(context.Background(), r, &fakeSink{})
		return err
	}

	DescribeTable("is refused after a few, and nothing of it is sent any more", func(path string, service granitehoist.Service, crash standin.WorkerAnswer, most int) {
		c := newCrowd(s, service, crash, answer)
		var err error
		for range 10 {
			before := c.endings()
			err = serve(path+deadly, "question")
			c.replace(before)
		}
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.CrashesUpstreams))
		var refusal *granitehoist.Error
		Expect(err).To(BeAssignableToTypeOf(refusal))
		refusal, _ = err.(*granitehoist.Error)
		Expect(refusal.RetryAfter).To(BeNumerically("~", suspect.DefaultBlock, 10*time.Second))
		Expect(c.endings()).To(BeNumerically("<=", most))
		Expect(s.funds.reserved).To(BeZero(), "tokens stay reserved behind it")
		Expect(serve(path+"other", "question")).To(Succeed())
		before := c.endings()
		Expect(serve(path+deadly, "another question")).NotTo(Succeed())
		Expect(c.endings()).To(BeNumerically(">", before), "another body is another request")
	},
		Entry("at most once", "/unsafe/", desk, crash, 3),
		Entry("any number of times", "/safe/", desk, crash, 4),
		Entry("as a stream that has not begun", "/stream/", model, crashBeforeStream, 3),
		Entry("as a stream that has begun", "/stream/", model, crashInStream, 5),
		Entry("as a stream that is resumed", "/resume/", model, crashInStream, 6),
	)

	It("is not sent if the evidence arrives while it waits for tokens", func() {
		c := newCrowd(s, model, crashBeforeStream, answer)
		for range 2 {
			before := c.endings()
			Expect(serve("/stream/"+deadly, "question")).NotTo(Succeed())
			c.replace(before)
		}
		told := table.Open()
		told[0].Crashes = append(told[0].Crashes, suspect.Crash{Life: "elsewhere", Round: 3, Early: 3})
		s.funds.reserving = func() { table.Merge(told, time.Now()) }
		before := c.endings()
		Expect(granitehoist.CodeOf(serve("/stream/"+deadly, "question"))).To(Equal(granitehoist.CrashesUpstreams))
		Expect(c.endings()).To(Equal(before))
		Expect(s.funds.reserved).To(BeZero())
	})

	It("is answered as one that may have run if its first attempt did", func() {
		c := newCrowd(s, desk, crash, answer)
		for range 2 {
			before := c.endings()
			Expect(granitehoist.CodeOf(serve("/safe/"+deadly, "question"))).To(Equal(granitehoist.UpstreamLost))
			c.replace(before)
		}
		Expect(granitehoist.CodeOf(serve("/safe/"+deadly, "question"))).To(Equal(granitehoist.CrashesUpstreams))
	})

	It("is cleared once it succeeds", func() {
		c := newCrowd(s, desk, crash, answer)
		Expect(serve("/unsafe/"+deadly, "question")).NotTo(Succeed())
		c.replace(0)
		Expect(table.Any()).To(BeTrue())
		c.mu.Lock()
		c.crash = answer
		c.mu.Unlock()
		Expect(serve("/unsafe/"+deadly, "question")).To(Succeed())
		Expect(table.Any()).To(BeFalse())
	})

	It("is pinned to one worker while it is suspect", func() {
		c := newCrowd(s, desk, crash, answer)
		Expect(serve("/unsafe/"+deadly, "question")).NotTo(Succeed())
		c.replace(0)
		query := balance.Query{Service: desk, Pin: table.Open()[0].Digest.Hash()}
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
	var s *site
	var table *suspect.Table

	BeforeEach(func() {
		s = newSite()
		table = suspect.New(suspect.Settings{})
		table.SetSecret(suspect.Secret{1})
		s.suspects(table)
	})

	serve := func(path string) error {
		r := request(path)
		_, err := s.forwarder.Serve(context.Background(), r, &fakeSink{})
		return err
	}

	It("is no evidence if the worker still takes connections", func() {
		s.worker(desk, "i-1", always(standin.WorkerAnswer{Body: "permit", Cut: standin.Cut{Set: true, After: 2}}))
		Expect(serve("/unsafe/x")).NotTo(Succeed())
		Expect(table.Any()).To(BeFalse())
	})

	It("is no evidence if the worker drains", func() {
		var w *standin.Worker
		w = s.worker(desk, "i-1", func(standin.Arrival) standin.WorkerAnswer {
			s.table.Announce(balance.Instance{ID: "i-1", Service: desk, Address: w.Address(), Draining: true, Version: 2}, time.Now())
			return standin.WorkerAnswer{Cut: standin.Cut{Crash: true}}
		})
		Expect(serve("/unsafe/x")).NotTo(Succeed())
		Expect(table.Any()).To(BeFalse())
	})

	It("is no evidence if the worker has withdrawn its entry", func() {
		s.worker(desk, "i-1", func(standin.Arrival) standin.WorkerAnswer {
			s.table.Remove("i-1", time.Now())
			return standin.WorkerAnswer{Cut: standin.Cut{Crash: true}}
		})
		Expect(serve("/unsafe/x")).NotTo(Succeed())
		Expect(table.Any()).To(BeFalse())
	})

	It("is no evidence if the caller has left", func() {
		ctx, leave := context.WithCancel(context.Background())
		s.worker(desk, "i-1", func(standin.Arrival) standin.WorkerAnswer {
			leave()
			return standin.WorkerAnswer{Cut: standin.Cut{Crash: true}, Delay: 50 * time.Millisecond}
		})
		_, err := s.forwarder.Serve(ctx, request("/unsafe/x"), &fakeSink{})
		Expect(err).To(HaveOccurred())
		Expect(table.Any()).To(BeFalse())
	})

	It("is evidence against a request until that succeeds, which an own failure of the worker is not", func() {
		s.worker(desk, "i-1", always(standin.WorkerAnswer{Cut: standin.Cut{Crash: true}}))
		Expect(serve("/unsafe/x")).NotTo(Succeed())
		Expect(table.Any()).To(BeTrue())
		answer := standin.WorkerAnswer{Status: 500, Body: "own failure"}
		s.worker(desk, "i-2", func(standin.Arrival) standin.WorkerAnswer { return answer })
		Expect(serve("/unsafe/x")).To(Succeed())
		Expect(table.Any()).To(BeTrue())
		answer = standin.WorkerAnswer{Body: "permit"}
		Expect(serve("/unsafe/x")).To(Succeed())
		Expect(table.Any()).To(BeFalse())
	})
})

// BenchmarkServeBesideSuspects serves requests while there is evidence against others.
func BenchmarkServeBesideSuspects(b *testing.B) {
	RegisterTestingT(b)
	s := newSite()
	table := suspect.New(suspect.Settings{})
	table.SetSecret(suspect.Secret{1})
	table.NoteCrash(suspect.Digest{1}, suspect.Observation{Life: "i-0"}, time.Now())
	s.suspects(table)
	w, err := standin.NewWorker("i-1", always(standin.WorkerAnswer{Body: "permit"}))
	Expect(err).NotTo(HaveOccurred())
	b.Cleanup(w.Close)
	s.table.Announce(balance.Instance{ID: "i-1", Service: desk, Address: w.Address(), Version: 1}, time.Now())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.forwarder.Serve(context.Background(), request("/safe/x"), &fakeSink{}); err != nil {
			b.Fatal(err)
		}
	}
}
