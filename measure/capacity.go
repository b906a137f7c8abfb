// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
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

// Slope is a cost that grows by a step with each more of a thing, measured at
// two sizes.
type Slope struct {
	// Name is what grows, such as "purse-memory".
	Name string
	// Unit is the unit of the cost, such as "B" or "ns", and Per the thing.
	Unit, Per string
	// Small and Large are the sizes at which it was measured.
	Small, Large int
	// Step is the cost of one more and Base the cost of none.
	Step, Base float64
}

// At returns the cost at a size.
func (s Slope) At(size float64) float64 { return s.Base + s.Step*size }

func newSlope(name, unit, per string, small, large int, cost func(n int) float64) Slope {
	atSmall, atLarge := cost(small), cost(large)
	step := (atLarge - atSmall) / float64(large-small)
	return Slope{Name: name, Unit: unit, Per: per, Small: small, Large: large, Step: step, Base: atSmall - step*float64(small)}
}

// heapOf returns the heap bytes that what build returns takes.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// leastTime is how long a duration is measured for.
const leastTime = 100 * time.Millisecond

// nanoseconds returns the mean time of do.
func nanoseconds(do func()) float64 {
	do()
	begin := time.Now()
	runs := 0
	for time.Since(begin) < leastTime {
		do()
		runs++
	}
	return float64(time.Since(begin).Nanoseconds()) / float64(runs)
}

// Slopes measures all costs that docs/CAPACITY.md is worked out from.
func Slopes() []Slope {
	return []Slope{
		newSlope("purse-memory", "B", "budget", 1000, 14000, func(n int) float64 {
			return heapOf(func() any { return capacityPurse(n) })
		}),
		newSlope("purse-round", "ns", "budget", 1000, 14000, func(n int) float64 {
			p := capacityPurse(n)
			return nanoseconds(func() { p.Asks(capacityStart) })
		}),
		newSlope("ask-bytes", "B", "ask", 9, 90, func(n int) float64 { return messageBytes(capacityAsks(n)) }),
		newSlope("reply-bytes", "B", "reply", 9, 90, func(n int) float64 { return messageBytes(capacityReplies(n)) }),
		newSlope("page-bytes", "B", "row", 200, 2000, func(n int) float64 { return packedBytes(capacityPage(n)) }),
		newSlope("page-write", "ns", "row", 200, 2000, pageWriteTime),
		newSlope("charge-memory", "B", "charge", 10000, 100000, func(n int) float64 {
			return heapOf(func() any { return capacityLedger(n) })
		}),
		newSlope("batch-bytes", "B", "charge", 50, 500, batchBytes),
		newSlope("segment-bytes", "B", "charge", 500, 5000, batchBytes),
		newSlope("view-memory", "B", "budget", 1000, 14000, func(n int) float64 {
			d := capacityDocument(n)
			return heapOf(func() any { return config.NewView().With(d, 1) })
		}),
		newSlope("document-bytes", "B", "budget", 100, 1000, documentBytes),
		newSlope("burn-memory", "B", "key", 100, 1000, burnMemory),
		newSlope("member-bytes", "B", "member", 100, 1100, memberBytes),
		newSlope("choice-time", "ns", "upstream", 200, 10000, choiceTime),
		newSlope("choice-memory", "B", "upstream", 200, 10000, choiceMemory),
	}
}

var capacityStart = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func capacityID(i int) granitehoist.BudgetID {
	return granitehoist.NewBudgetID("tuul", granitehoist.Workspace(fmt.Sprintf("workspace-%03d", i%540)), fmt.Sprintf("season-%05d", i))
}

func mustJSON(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic("measure: " + err.Error())
	}
	return raw
}

// varied returns amounts with as many digits as real ones, which compress as
// badly.
func varied(i int) granitehoist.Tokens {
	source := newHexSource(i)
	var raw [4]byte
	// The source does not fail.
	_, _ = source.Read(raw[:])
	return 10_000_000 + granitehoist.Tokens(raw[0])<<16 + granitehoist.Tokens(raw[1])<<8 + granitehoist.Tokens(raw[2])
}

func capacityReplies(n int) []budget.Reply {
	replies := make([]budget.Reply, n)
	for i := range replies {
		v := varied(i)
		replies[i] = budget.Reply{Budget: capacityID(i), Granted: v, Target: v % 99_991, Left: 9 * v}
	}
	return replies
}

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

func mustPack(value any) []byte {
	raw, err := pack.Pack(value)
	if err != nil {
		panic("measure: " + err.Error())
	}
	return raw
}

func packedBytes(value any) float64 { return float64(len(mustPack(value))) }

// messageBytes is the size of a packed message between routers, in base64.
func messageBytes(value any) float64 { return packedBytes(value) * 4 / 3 }

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
	_, err := store.CompareAndSwap(context.Background(), granitehoist.Change{Key: key, Value: mustPack(capacityPage(n))})
	if err != nil {
		panic("measure: " + err.Error())
	}
	keeper := budget.NewKeeper(budget.KeeperSettings{Region: "tuul", Store: store, Prepaid: func(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
		return 1 << 40, 1, true
	}})
	totals := capacityPage(1).Accounts[capacityID(0)].Rows[capacityIncarnation(0)].Totals
	return nanoseconds(func() {
		totals.Spent++
		ask := budget.Ask{Budget: capacityID(0), Totals: totals, Want: totals.Granted, Need: totals.Granted, Least: totals.Granted}
		params := budget.SyncParams{Box: "zaisan-hall-0001", Incarnation: capacityIncarnation(0), Asks: []budget.Ask{ask}}
		if _, err := keeper.SyncAll(context.Background(), 0, []budget.SyncParams{params}, capacityStart); err != nil {
			panic("measure: " + err.Error())
		}
	})
}

func capacityCharge(i int) bill.Charge {
	return bill.Charge{
		Incarnation: capacityIncarnation(0),
		Seq:         uint64(i),
		Request:     granitehoist.RequestID(granitehoist.NewID("r", newHexSource(i))),
		Attempts:    []granitehoist.AttemptID{granitehoist.NewAttemptID(capacityIncarnation(0), uint64(i), capacityID(i%500), granitehoist.RequestID(granitehoist.NewID("r", newHexSource(i))))},
		Budget:      capacityID(i % 500),
		Owner:       "tuul",
		Service:     "granite-pool",
		Upstream:    granitehoist.Upstream(fmt.Sprintf("granite-pool-%d", i%100)),
		Tokens:      granitehoist.Tokens(100 + i*7%900),
		At:          capacityStart.Add(time.Duration(i) * 17 * time.Millisecond),
	}
}

func capacityLedger(n int) *bill.Ledger {
	l := bill.NewLedger(bill.LedgerSettings{Incarnation: "box", Most: n})
	for i := range n {
		l.Open()
		l.Charge(capacityCharge(i), capacityStart)
	}
	return l
}

func batchBytes(n int) float64 {
	var b bill.Batch
	for i := range n {
		b.Charges = append(b.Charges, capacityCharge(i))
	}
	return packedBytes(b)
}

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

func memberBytes(n int) float64 {
	var members []fleet.Member
	for i := range n {
		members = append(members, fleet.Member{Box: "zaisan-hall-0001", Incarnation: capacityIncarnation(i), Partner: "tuul", Region: "tuul", Zone: "zaisan-hall", Peers: "10.100.200.100:8081"})
	}
	return float64(len(mustJSON(members)))
}

func choiceTime(n int) float64 {
	table := route.NewTable(route.Settings{})
	want := route.Want{Service: "s", Targets: capacityTargets(n)}
	source := newHexSource(n)
	return nanoseconds(func() {
		want.Affinity = source.next()
		slot, err := table.Acquire(context.Background(), want, capacityStart)
		if err != nil {
			panic("measure: " + err.Error())
		}
		slot.Done(route.Good, capacityStart)
	})
}

func choiceMemory(n int) float64 {
	targets := capacityTargets(n)
	return heapOf(func() any {
		table := route.NewTable(route.Settings{})
		slot, err := table.Acquire(context.Background(), route.Want{Service: "s", Targets: targets, Affinity: 1}, capacityStart)
		if err != nil {
			panic("measure: " + err.Error())
		}
		return slot
	})
}

func capacityTargets(n int) []route.Target {
	targets := make([]route.Target, n)
	for i := range targets {
		targets[i] = route.Target{Name: granitehoist.Upstream(fmt.Sprintf("granite-pool-%05d", i)), Concurrency: 32}
	}
	return targets
}

// hexSource yields different bytes for each number.
type hexSource struct{ state uint64 }

func newHexSource(i int) *hexSource { return &hexSource{uint64(i) + 1} }

func (s *hexSource) next() uint64 {
	s.state = s.state*6364136223846793005 + 1442695040888963407
	return s.state
}

// Read implements io.Reader.
func (s *hexSource) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.next() >> 56)
	}
	return len(p), nil
}

// Capacity measures the slopes and writes them, then the loads of each role at
// a size, as a table and one line of key=value pairs a row.
func Capacity(out io.Writer, sizes []FleetSize) error {
	slopes := Slopes()
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "slope\tstep\tbase\tmeasured at")
	for _, s := range slopes {
		fmt.Fprintf(table, "%s\t%.1f %s a %s\t%.0f %s\t%d and %d\n", s.Name, s.Step, s.Unit, s.Per, s.Base, s.Unit, s.Small, s.Large)
	}
	for _, size := range sizes {
		fmt.Fprintf(table, "\n%s\tprocessor of one core\tmemory\tnetwork\tstore writes\tstore reads\n", size.Name)
		for _, l := range Loads(slopes, size) {
			fmt.Fprintf(table, "%s\t%.3f %%\t%.2f MB\t%.2f KB/s\t%.2f /s\t%.2f /s\n", l.Role, 100*l.Cores, l.Memory/1e6, l.Bytes/1e3, l.Writes, l.Reads)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, size := range sizes {
		for _, l := range Loads(slopes, size) {
			if _, err := fmt.Fprintf(out, "size=%s role=%s cores=%.5f memory=%.0f bytes=%.0f writes=%.3f reads=%.3f\n", size.Name, l.Role, l.Cores, l.Memory, l.Bytes, l.Writes, l.Reads); err != nil {
				return err
			}
		}
	}
	return nil
}
