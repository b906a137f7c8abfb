// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package measure

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/internal/pack"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/report"
	"granitehoist.example/granitehoist/partner/route"
	"granitehoist.example/granitehoist/standin"
)

// sampleTime is the current time in all measurements.
var sampleTime = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func sampleID(i int) granitehoist.BudgetID {
	return granitehoist.NewBudgetID("tuul", granitehoist.Workspace(fmt.Sprintf("workspace-%03d", i%540)), fmt.Sprintf("season-%05d", i))
}

// must returns value, and panics if err is not nil.
func must[T any](value T, err error) T {
	if err != nil {
		panic("measure: " + err.Error())
	}
	return value
}

// newRandom returns a random source seeded with i.
func newRandom(i int) *rand.ChaCha8 {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(i))
	return rand.NewChaCha8(seed)
}

const (
	// minAmount is the smallest sample amount: eight digits, like the balances of large
	// budgets.
	minAmount = 10_000_000
	// amountRange is the number of different sample amounts.
	amountRange = 1 << 24
)

// sampleAmount returns a pseudo-random amount, which compresses as little as a real one.
func sampleAmount(i int) granitehoist.Tokens {
	return minAmount + granitehoist.Tokens(newRandom(i).Uint64()%amountRange)
}

func sampleReplies(n int) []budget.Reply {
	replies := make([]budget.Reply, n)
	for i := range replies {
		v := sampleAmount(i)
		replies[i] = budget.Reply{Budget: sampleID(i), Granted: v, Target: v % 99_991, Remaining: 9 * v}
	}
	return replies
}

// sampleReports returns a message of a box to an allocator with n reports.
func sampleReports(n int) budget.SyncParams {
	reports := make([]budget.Report, n)
	for i := range reports {
		v := sampleAmount(i)
		totals := budget.Totals{Granted: v, Returned: v / 7, Spent: v / 3}
		reports[i] = budget.Report{Budget: sampleID(i), Totals: totals, Want: v + v%8191, Need: v, Least: v, Rate: float64(v) / 7919, Largest: v % 9973}
	}
	return budget.SyncParams{Box: "box", Incarnation: sampleIncarnation(0), Reports: reports}
}

func sampleIncarnation(i int) granitehoist.Incarnation {
	return granitehoist.Incarnation(fmt.Sprintf("zaisan-hall-%04d-0123456789abcdef01234567", i))
}

func sampleBudgetLedger(n int) *budget.Ledger {
	p := budget.NewLedger(budget.LedgerSettings{Incarnation: "box"})
	p.Apply(nil, sampleReplies(n), sampleTime)
	return p
}

// packedBytes returns the packed size of a value.
func packedBytes(value any) float64 { return float64(len(must(pack.Pack(value)))) }

// messageBytes returns the size of a packed message between routers, in base64.
func messageBytes(value any) float64 { return packedBytes(value) * base64Overhead }

// rowsPerAccount is the number of boxes that use one budget in a sample record.
const rowsPerAccount = 10

// sampleRegionRecord returns a record with n rows.
func sampleRegionRecord(n int) *budget.RegionRecord {
	record := budget.NewRegionRecord()
	for i := range n {
		id := sampleID(i / rowsPerAccount)
		a := record.Accounts[id]
		if a == nil {
			a = &budget.RegionAccount{Received: 1 << 40, Limit: 1 << 40, RemainingElsewhere: 1 << 40, ReportedAt: sampleTime.Unix(), Rows: map[granitehoist.Incarnation]budget.Row{}}
			record.Accounts[id] = a
		}
		box := sampleIncarnation(i % rowsPerAccount)
		v := sampleAmount(i)
		a.Rows[box] = budget.Row{Totals: budget.Totals{Granted: v, Returned: v / 7, Spent: v / 3}, Rate: float64(v) / 7919, Largest: v % 9973}
		record.Members[box] = budget.Member{Box: "zaisan-hall-0001", LastSeen: sampleTime.Unix()}
	}
	return record
}

// regionRecordWriteTime returns the allocator's time in nanoseconds for one write of a
// region record with n rows, including the time of the stand-in for the store.
func regionRecordWriteTime(n int) float64 {
	store := standin.NewStore(standin.StoreSettings{})
	key := budget.RegionKey("tuul", 0)
	record := must(pack.Pack(sampleRegionRecord(n)))
	must(store.CompareAndSwap(context.Background(), granitehoist.Change{Key: key, Value: record}))
	allocator := budget.NewAllocator(budget.AllocatorSettings{Region: "tuul", Store: store, Prepaid: func(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
		return 1 << 40, 1, true
	}})
	totals := sampleRegionRecord(1).Accounts[sampleID(0)].Rows[sampleIncarnation(0)].Totals
	return nanoseconds(func() {
		totals.Spent++
		report := budget.Report{Budget: sampleID(0), Totals: totals, Want: totals.Granted, Need: totals.Granted, Least: totals.Granted}
		params := budget.SyncParams{Box: "zaisan-hall-0001", Incarnation: sampleIncarnation(0), Reports: []budget.Report{report}}
		must(allocator.SyncAll(context.Background(), 0, []budget.SyncParams{params}, sampleTime))
	})
}

// sampleCharge returns the i-th charge of a router, with IDs of realistic length.
func sampleCharge(i int) bill.Charge {
	return bill.Charge{
		Incarnation: sampleIncarnation(0),
		Seq:         uint64(i),
		Request:     granitehoist.RequestID(granitehoist.NewID("r", newRandom(i))),
		Attempts:    []granitehoist.AttemptID{granitehoist.NewAttemptID(sampleIncarnation(0), uint64(i), sampleID(i%500), granitehoist.RequestID(granitehoist.NewID("r", newRandom(i))))},
		Budget:      sampleID(i % 500),
		Owner:       "tuul",
		Service:     "granite-pool",
		Upstream:    granitehoist.Upstream(fmt.Sprintf("granite-pool-%d", i%100)),
		Tokens:      granitehoist.Tokens(100 + i*7%900),
		At:          sampleTime.Add(time.Duration(i) * 17 * time.Millisecond),
	}
}

func sampleLedger(n int) *bill.Ledger {
	l := bill.NewLedger(bill.LedgerSettings{Incarnation: "box", MaxPending: n})
	for i := range n {
		l.ReserveSlot()
		l.Charge(sampleCharge(i), sampleTime)
	}
	return l
}

// batchBytes returns the packed size of a batch of n charges.
func batchBytes(n int) float64 {
	var b bill.Batch
	for i := range n {
		b.Charges = append(b.Charges, sampleCharge(i))
	}
	return packedBytes(b)
}

// sampleDocument returns a document with n budgets and a key for each.
func sampleDocument(n int) *config.Document {
	d := &config.Document{Partner: "tuul"}
	for i := range n {
		id := sampleID(i)
		hash := config.HashKey(string(id))
		d.Budgets = append(d.Budgets, config.Budget{Workspace: id.Workspace(), Name: id.Name(), Tokens: 1 << 30})
		d.Keys = append(d.Keys, config.Key{Workspace: id.Workspace(), Budget: id.Name(), SHA256: fmt.Sprintf("%x", hash)})
	}
	return d
}

// documentBytes returns the size of the TOML text of a document with n budgets and keys.
func documentBytes(n int) float64 {
	total := 0
	for _, b := range sampleDocument(n).Budgets {
		total += len(fmt.Sprintf("[[budget]]\nworkspace = %q\nname = %q\ntokens = %d\n", b.Workspace, b.Name, b.Tokens))
		total += len(fmt.Sprintf("[[key]]\nworkspace = %q\nbudget = %q\nsha256 = %q\n", b.Workspace, b.Name, fmt.Sprintf("%064d", 0)))
	}
	return float64(total)
}

// burnMemory returns the memory of a router's burn report for n keys.
func burnMemory(n int) float64 {
	return heapOf(func() any {
		var r report.Recorder
		for i := range n {
			r.Add(report.Key{Service: "granite-pool", Workspace: granitehoist.Workspace(fmt.Sprint(i))}, report.Counts{Requests: 1}, sampleTime)
		}
		return &r
	})
}

// memberBytes returns the size of a list of n members in the store.
func memberBytes(n int) float64 {
	var members []fleet.Member
	for i := range n {
		members = append(members, fleet.Member{Box: "zaisan-hall-0001", Incarnation: sampleIncarnation(i), Partner: "tuul", Region: "tuul", Zone: "zaisan-hall", PeerAddress: "10.100.200.100:8081"})
	}
	return float64(len(must(json.Marshal(members))))
}

// choiceTime returns the time in nanoseconds of one choice among n upstreams, each with a
// different affinity.
func choiceTime(n int) float64 {
	table := route.NewTable(route.Settings{})
	want := route.Request{Service: "s", Targets: sampleTargets(n)}
	source := newRandom(n)
	return nanoseconds(func() {
		want.Affinity = source.Uint64()
		slot := must(table.Acquire(context.Background(), want, sampleTime))
		slot.Done(route.Succeeded, sampleTime)
	})
}

// choiceMemory returns the memory of a router's table of n upstreams after its first
// choice.
func choiceMemory(n int) float64 {
	targets := sampleTargets(n)
	return heapOf(func() any {
		table := route.NewTable(route.Settings{})
		want := route.Request{Service: "s", Targets: targets, Affinity: 1}
		return must(table.Acquire(context.Background(), want, sampleTime))
	})
}

func sampleTargets(n int) []route.Target {
	targets := make([]route.Target, n)
	for i := range targets {
		targets[i] = route.Target{Name: granitehoist.Upstream(fmt.Sprintf("granite-pool-%05d", i)), Concurrency: 32}
	}
	return targets
}
