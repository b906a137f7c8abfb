// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package orphan_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pack"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/orphan"
	"granitehoist.example/granitehoist/partner/upstream"
	"granitehoist.example/granitehoist/standin"
	"granitehoist.example/granitehoist/store"
)

const (
	dead = granitehoist.Incarnation("box-1")
	k    = granitehoist.BudgetID("tuul/kiosk/season")
)

var (
	ctx = context.Background()
	now = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
)

// discard is a sink that drops the response.
type discard struct{}

func (discard) Start(int, http.Header) error { return nil }
func (discard) Write([]byte) error           { return nil }

var _ = Describe("Settler", func() {
	var keys *standin.Store
	var engine *standin.Engine
	var address string
	var settler *orphan.Settler
	protocol := upstream.NewEngine()
	BeforeEach(func() {
		keys = standin.NewStore(standin.StoreSettings{})
		engine = standin.NewEngine(standin.EngineSettings{})
		server := httptest.NewServer(engine.Handler())
		DeferCleanup(server.Close)
		address = server.URL
		document := &config.Document{
			Partner:   "tuul",
			Services:  []config.Service{{Name: "pool", Kind: config.KindEngine, Models: []granitehoist.Model{"m"}}},
			Upstreams: []config.Upstream{{Name: "p1", Service: "pool", Address: address}, {Name: "p2", Service: "pool", Address: "http://127.0.0.1:1"}},
			Budgets:   []config.Budget{{Workspace: "kiosk", Name: "season", Tokens: 10}},
		}
		view := config.NewView().With(document, 1)
		settler = orphan.New(orphan.Settings{Region: "tuul", Store: keys, Shards: 1, View: func() *config.View { return view }, Engines: protocol})
	})

	attempt := func(n uint64) granitehoist.AttemptID { return granitehoist.NewAttemptID(dead, n, k, "request.1") }
	// serve runs an attempt to its end on the engine and returns its cost in tokens.
	serve := func(id granitehoist.AttemptID) granitehoist.Tokens {
		GinkgoHelper()
		body := `{"model":"m","max_tokens":8,"messages":[{"role":"user","content":"x"}]}`
		usage, err := protocol.Do(ctx, granitehoist.Call{Attempt: id, Address: address, Method: "POST", Path: "/v1/chat/completions", Header: map[string][]string{}, Body: []byte(body)}, discard{})
		Expect(err).NotTo(HaveOccurred())
		return usage.Total()
	}
	write := func(key string, charges ...bill.Charge) {
		GinkgoHelper()
		raw, err := bill.EncodeSegment(key, charges)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Create(ctx, keys, key, raw)
		Expect(err).NotTo(HaveOccurred())
	}
	charges := func() []bill.Charge {
		GinkgoHelper()
		all, err := bill.Read(ctx, keys)
		Expect(err).NotTo(HaveOccurred())
		return all
	}

	It("charges an uncharged attempt of a failed router exactly once", func() {
		cost := serve(attempt(1))
		for range 3 {
			result, err := settler.Settle(ctx, dead, false, now)
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Found).To(Equal(1))
			Expect(result.UnreachableEngines).To(Equal([]granitehoist.Upstream{"p2"}))
		}
		Expect(charges()).To(HaveLen(1))
		c := charges()[0]
		Expect(c.Tokens).To(Equal(cost))
		Expect(c.Budget).To(Equal(k))
		Expect(c.Request).To(Equal(granitehoist.RequestID("request.1")))
		Expect(c.Owner).To(Equal(granitehoist.Partner("tuul")))
	})

	It("charges for a failed router whose box name contains dots", func() {
		const dotted = granitehoist.Incarnation("box-1.miraflores.example-1f")
		cost := serve(granitehoist.NewAttemptID(dotted, 1, k, "request.1"))
		result, err := settler.Settle(ctx, dotted, false, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Charged).To(Equal(1))
		c := charges()[0]
		Expect(c.Incarnation).To(Equal(dotted))
		Expect(c.Budget).To(Equal(k))
		Expect(c.Request).To(Equal(granitehoist.RequestID("request.1")))
		Expect(c.Tokens).To(Equal(cost))
	})

	It("charges nothing for an attempt stopped before it reached the engine", func() {
		_, ok := protocol.Stop(ctx, address, attempt(1))
		Expect(ok).To(BeTrue())
		result, err := settler.Settle(ctx, dead, true, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Charged).To(BeZero())
		Expect(charges()).To(BeEmpty())
	})

	It("charges nothing for an attempt in a bill segment", func() {
		cost := serve(attempt(1))
		write(bill.SegmentKey("tuul", "box-2", 1), bill.Charge{Incarnation: dead, Seq: 1, Attempts: []granitehoist.AttemptID{attempt(1)}, Budget: k, Tokens: cost})
		result, err := settler.Settle(ctx, dead, false, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Charged).To(BeZero())
	})

	It("is replaced by a late charge of the failed router itself", func() {
		cost := serve(attempt(1))
		_, err := settler.Settle(ctx, dead, false, now)
		Expect(err).NotTo(HaveOccurred())
		write(bill.SegmentKey("tuul", "box-2", 1), bill.Charge{Incarnation: dead, Seq: 1, Attempts: []granitehoist.AttemptID{attempt(1)}, Budget: k, Tokens: cost})
		Expect(charges()).To(HaveLen(1))
		Expect(charges()[0].Orphan).To(BeFalse())
	})

	It("charges each attempt once when two routers settle concurrently", func() {
		serve(attempt(1))
		serve(attempt(2))
		done := make(chan error, 2)
		for range cap(done) {
			go func() {
				_, err := settler.Settle(ctx, dead, false, now)
				done <- err
			}()
		}
		for range cap(done) {
			Expect(<-done).To(Succeed())
		}
		Expect(charges()).To(HaveLen(2))
	})

	It("ignores attempts of an incarnation whose id has the failed one's as a prefix", func() {
		serve(granitehoist.NewAttemptID("box-10", 1, k, "r"))
		result, err := settler.Settle(ctx, dead, true, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Found).To(BeZero())
	})

	It("charges nothing while the store is down", func() {
		serve(attempt(1))
		keys.Fail(standin.StoreFaults{Down: true})
		_, err := settler.Settle(ctx, dead, false, now)
		Expect(err).To(MatchError(granitehoist.ErrUnavailable))
	})

	It("lists routers that stopped reporting without a graceful stop", func() {
		record := budget.NewRegionRecord()
		record.Members["alive"] = budget.Member{LastSeen: now.Unix()}
		record.Members["stopped"] = budget.Member{LastSeen: now.Add(-time.Hour).Unix(), Closed: true}
		record.Members[dead] = budget.Member{LastSeen: now.Add(-time.Hour).Unix()}
		raw, err := pack.Pack(record)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Create(ctx, keys, budget.RegionKey("tuul", 0), raw)
		Expect(err).NotTo(HaveOccurred())
		Expect(settler.UnresponsiveRouters(ctx, now)).To(Equal([]granitehoist.Incarnation{dead}))
	})
})
