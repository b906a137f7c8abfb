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

// capacityStart is the present time of all measurements.
var capacityStart = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func capacityID(i int) granitehoist.BudgetID {
	return granitehoist.NewBudgetID("tuul", granitehoist.Workspace(fmt.Sprintf("workspace-%03d", i%540)), fmt.Sprintf("season-%05d", i))
}

// must returns the value of a call that can't fail with what is measured here, and
// panics if it does.
func must[T any](value T, err error) T {
	if err != nil {
		panic("measure: " + err.Error())
	}
	return value
}

// newRandom returns a source of bytes and numbers that differ for each i and
// are the same in each run.
func newRandom(i int) *rand.ChaCha8 {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(i))
	return rand.NewChaCha8(seed)
}

const (
	// leastAmount and amounts bound the amounts in messages: eight digits, as the balances
	// of large budgets have.
	leastAmount = 10_000_000
	// amounts is the number of different amounts.
	amounts = 1 << 24
)

// varied returns amounts with as many digits as real ones, which compress as
// badly.
func varied(i int) granitehoist.Tokens {
	return leastAmount + granitehoist.Tokens(newRandom(i).Uint64()%amounts)
}

func capacityReplies(n int) []budget.Reply {
	replies := make([]budget.Reply, n)
	for i := range replies {
		v := varied(i)
		replies[i] = budget.Reply{Budget: capacityID(i), Granted: v, Target: v % 99_991, Left: 9 * v}
	}
	return replies
}

// capacityAsks returns what a box sends to a keeper to ask about n budgets.
func capacityAsks(n int) budget.SyncParams {
	asks := make([]budget.Ask, n)
	for i := range asks {
		v := varied(i)
		totals := budget.Totals{Granted: v, Returned: v / 7, Spent: v / 3}
		asks[i] = budget.Ask{Budget: capacityID(i), Totals: totals, Want: v + v%8191, Need: v, Least: v, Rate: float64(v) / 7919, Largest: v % 9973}
	}
	return budget.SyncParams{Box: "box", Incarnation: capacityIncarnation(0), Asks: asks}
}

func capacityIncarnation(i int) granitehoist.Incarnation {
	return granitehoist.Incarnation(fmt.Sprintf("zaisan-hall-%04d-0123456789abcdef01234567", i))
}

func capacityPurse(n int) *budget.Purse {
	p := budget.NewPurse(budget.PurseSettings{Incarnation: "box"})
	p.Apply(nil, capacityReplies(n), capacityStart)
	return p
}

// packedBytes is the size of a value as routers pack it for messages and the store.
func packedBytes(value any) float64 { return float64(len(must(pack.Pack(value)))) }

// messageBytes is the size of a packed message between routers, in base64.
func messageBytes(value any) float64 { return packedBytes(value) * base64Growth }

// rowsPerAccount is the boxes that draw on one budget in a capacity page.
const rowsPerAccount = 10

// capacityPage returns a page with n rows.
func capacityPage(n int) *budget.Page {
	page := budget.NewPage()
	for i := range n {
		id := capacityID(i / rowsPerAccount)
		a := page.Accounts[id]
		if a == nil {
			a = &budget.PageAccount{Received: 1 << 40, Limit: 1 << 40, Elsewhere: 1 << 40, ReportedAt: capacityStart.Unix(), Rows: map[granitehoist.Incarnation]budget.Row{}}
			page.Accounts[id] = a
		}
		box := capacityIncarnation(i % rowsPerAccount)
		v := varied(i)
		a.Rows[box] = budget.Row{Totals: budget.Totals{Granted: v, Returned: v / 7, Spent: v / 3}, Rate: float64(v) / 7919, Largest: v % 9973}
		page.Members[box] = budget.Member{Box: "zaisan-hall-0001", Seen: capacityStart.Unix()}
	}
	return page
}

// pageWriteTime is what one write of a page with n rows takes the keeper, the
// store's own time included.
func pageWriteTime(n int) float64 {
	store := standin.NewStore(standin.StoreSettings{})
	key := budget.PageKey("tuul", 0)
	page := must(pack.Pack(capacityPage(n)))
	must(store.CompareAndSwap(context.Background(), granitehoist.Change{Key: key, Value: page}))
	keeper := budget.NewKeeper(budget.KeeperSettings{Region: "tuul", Store: store, Prepaid: func(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
		return 1 << 40, 1, true
	}})
	totals := capacityPage(1).Accounts[capacityID(0)].Rows[capacityIncarnation(0)].Totals
	return nanoseconds(func() {
		totals.Spent++
		ask := budget.Ask{Budget: capacityID(0), Totals: totals, Want: totals.Granted, Need: totals.Granted, Least: totals.Granted}
		params := budget.SyncParams{Box: "zaisan-hall-0001", Incarnation: capacityIncarnation(0), Asks: []budget.Ask{ask}}
		must(keeper.SyncAll(context.Background(), 0, []budget.SyncParams{params}, capacityStart))
	})
}

// capacityCharge returns the i-th charge of a router, with ids as long as real
// ones.
func capacityCharge(i int) bill.Charge {
	return bill.Charge{
		Incarnation: capacityIncarnation(0),
		Seq:         uint64(i),
		Request:     granitehoist.RequestID(granitehoist.NewID("r", newRandom(i))),
		Attempts:    []granitehoist.AttemptID{granitehoist.NewAttemptID(capacityIncarnation(0), uint64(i), capacityID(i%500), granitehoist.RequestID(granitehoist.NewID("r", newRandom(i))))},
		Budget:      capacityID(i % 500),
		Owner:       "tuul",
		Service:     "granite-pool",
		Upstream:    granitehoist.Upstream(fmt.Sprintf("granite-pool-%d", i%100)),
		Tokens:      granitehoist.Tokens(100 + i*7%900),
		At:          capacityStart.Add(time.Duration(i) * 17 * time.Millisecond),
	}
}

func capacityLedger(n int) *bill.Ledger {
	l := bill.NewLedger(bill.LedgerSettings{Incarnation: "box", MaxPending: n})
	for i := range n {
		l.ReserveRoom()
		l.Charge(capacityCharge(i), capacityStart)
	}
	return l
}

// batchBytes is a batch of n charges as it is packed for a message or a segment.
func batchBytes(n int) float64 {
	var b bill.Batch
	for i := range n {
		b.Charges = append(b.Charges, capacityCharge(i))
	}
	return packedBytes(b)
}

// capacityDocument returns a document with n budgets and a key for each.
func capacityDocument(n int) *config.Document {
	d := &config.Document{Partner: "tuul"}
	for i := range n {
		id := capacityID(i)
		hash := config.HashKey(string(id))
		d.Budgets = append(d.Budgets, config.Budget{Workspace: id.Workspace(), Name: id.Name(), Tokens: 1 << 30})
		d.Keys = append(d.Keys, config.Key{Workspace: id.Workspace(), Budget: id.Name(), SHA256: fmt.Sprintf("%x", hash)})
	}
	return d
}

// documentBytes is the TOML text of a document with n budgets and keys.
func documentBytes(n int) float64 {
	total := 0
	for _, b := range capacityDocument(n).Budgets {
		total += len(fmt.Sprintf("[[budget]]\nworkspace = %q\nname = %q\ntokens = %d\n", b.Workspace, b.Name, b.Tokens))
		total += len(fmt.Sprintf("[[key]]\nworkspace = %q\nbudget = %q\nsha256 = %q\n", b.Workspace, b.Name, fmt.Sprintf("%064d", 0)))
	}
	return float64(total)
}

// burnMemory is what a router's burn report takes for n services, workspaces
// and availability zones.
func burnMemory(n int) float64 {
	return heapOf(func() any {
		var r report.Recorder
		for i := range n {
			r.Add(report.Key{Service: "granite-pool", Workspace: granitehoist.Workspace(fmt.Sprint(i))}, report.Counts{Requests: 1}, capacityStart)
		}
		return &r
	})
}

// memberBytes is the list of n members in the store.
func memberBytes(n int) float64 {
	var members []fleet.Member
	for i := range n {
		members = append(members, fleet.Member{Box: "zaisan-hall-0001", Incarnation: capacityIncarnation(i), Partner: "tuul", Region: "tuul", Zone: "zaisan-hall", Peers: "10.100.200.100:8081"})
	}
	return float64(len(must(json.Marshal(members))))
}

// choiceTime is what one choice among n upstreams takes, for an affinity that
// differs each time.
func choiceTime(n int) float64 {
	table := route.NewTable(route.Settings{})
	want := route.Want{Service: "s", Targets: capacityTargets(n)}
	source := newRandom(n)
	return nanoseconds(func() {
		want.Affinity = source.Uint64()
		slot := must(table.Acquire(context.Background(), want, capacityStart))
		slot.Done(route.Good, capacityStart)
	})
}

// choiceMemory is what a router keeps of n upstreams after its first choice.
func choiceMemory(n int) float64 {
	targets := capacityTargets(n)
	return heapOf(func() any {
		table := route.NewTable(route.Settings{})
		want := route.Want{Service: "s", Targets: targets, Affinity: 1}
		return must(table.Acquire(context.Background(), want, capacityStart))
	})
}

func capacityTargets(n int) []route.Target {
	targets := make([]route.Target, n)
	for i := range targets {
		targets[i] = route.Target{Name: granitehoist.Upstream(fmt.Sprintf("granite-pool-%05d", i)), Concurrency: 32}
	}
	return targets
}
