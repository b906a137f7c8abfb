// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/standin"
)

const (
	restoredLimit = granitehoist.Tokens(10_000)
	// restoredWindow is how old the copy is, at most, from which the store returns.
	restoredWindow = 10 * time.Second
)

// restoredFleet is a fleet whose store returns from older copies.
type restoredFleet struct {
	t     *testing.T
	now   time.Time
	store *standin.Store
	boxes []*box
	// starts counts the starts of routers.
	starts int
	spent  granitehoist.Tokens
	// window is the loss window of the routers.
	window time.Duration
	// shardsRecord is set once the routers see a large fleet.
	shardsRecord bool
	// cutOff holds the routers that do not reach the store.
	cutOff map[int]bool
}

func newRestoredFleet(t *testing.T, boxes int, window time.Duration) *restoredFleet {
	t.Helper()
	f := &restoredFleet{t: t, window: window, now: time.Unix(1000, 0), boxes: make([]*box, boxes), cutOff: map[int]bool{}}
	f.store = standin.NewStore(standin.StoreSettings{Clock: f.clock, Era: 1})
	for i := range f.boxes {
		f.start(i)
	}
	return f
}

func (f *restoredFleet) clock() time.Time { return f.now }

// start starts a router, which replaces the one on that box and loses the tokens that it
// owned.
func (f *restoredFleet) start(i int) {
	f.starts++
	ledger := escrow.NewLedger(escrow.LedgerSettings{
		Incarnation: granitehoist.Incarnation(fmt.Sprintf("i-%d", f.starts)),
		LossWindow:  f.window,
		Machine:     newTestMachine(uint64(i+1), time.Unix(1000, 0)).at(f.now),
	})
	ledger.SetLimit(testWorkspace, restoredLimit)
	f.boxes[i] = &box{ledger, escrow.NewSyncer(escrow.SyncerSettings{
		Box: boxName(i), Ledger: ledger, Store: f.store, Clock: f.clock,
		Routers: func() int { return len(f.boxes) }, Boxes: f.names, ShardsRecord: func() bool { return f.shardsRecord },
	})}
}

// names returns the names of all boxes.
func (f *restoredFleet) names() []granitehoist.Box {
	var names []granitehoist.Box
	for i := range f.boxes {
		names = append(names, boxName(i))
	}
	return names
}

func boxName(i int) granitehoist.Box { return granitehoist.Box(fmt.Sprint("box-", i)) }

// serve lets a router serve requests for a while, each of which uses its maximum cost.
func (f *restoredFleet) serve(i int, lasts time.Duration) {
	const maxCost, interval = 60, 100 * time.Millisecond
	for end := f.now.Add(lasts); f.now.Before(end); f.now = f.now.Add(interval) {
		if !f.cutOff[i] {
			// A conflict means that another router wrote; the next round syncs again.
			_ = f.boxes[i].sync()
		}
		if f.boxes[i].ledger.Reserve(testWorkspace, maxCost, maxPriority, f.now) {
			f.boxes[i].ledger.Settle(testWorkspace, maxCost, maxCost, f.now)
			f.spent += maxCost
		}
	}
}

// sync lets a router sync once.
func (f *restoredFleet) sync(i int) {
	f.t.Helper()
	if err := f.boxes[i].sync(); err != nil {
		f.t.Fatal(err)
	}
}

// passFirstWindow lets the first routers be granted some tokens, and waits until the ceilings
// hold.
func (f *restoredFleet) passFirstWindow(routers int) {
	for range 10 {
		for i := range routers {
			f.serve(i, 100*time.Millisecond)
		}
	}
	f.now = f.now.Add(2 * restoredWindow)
}

// serveAll lets all routers serve in turns until the budget must be exhausted.
func (f *restoredFleet) serveAll() {
	for range 30 {
		for i := range f.boxes {
			f.serve(i, time.Second)
		}
	}
}

func (f *restoredFleet) expectNoOverspend() {
	f.t.Helper()
	if f.spent > restoredLimit {
		f.t.Fatalf("%d tokens spent of %d", f.spent, restoredLimit)
	}
	f.t.Logf("%d tokens spent of %d, record %+v", f.spent, restoredLimit, f.record().Accounts[testWorkspace])
}

// withheld returns the tokens that count as granted although no row has them.
func (f *restoredFleet) withheld() granitehoist.Tokens {
	f.t.Helper()
	return f.record().Accounts[testWorkspace].Unconfirmed
}

func (f *restoredFleet) expectNothingWithheld() {
	f.t.Helper()
	if withheld := f.withheld(); withheld > 0 {
		f.t.Errorf("%d tokens are withheld", withheld)
	}
}

// record returns the record in the store.
func (f *restoredFleet) record() *escrow.Record {
	f.t.Helper()
	entry, err := f.store.Get(context.Background(), escrow.RecordKey)
	if err != nil {
		f.t.Fatal(err)
	}
	record, err := escrow.DecodeRecord(entry)
	if err != nil {
		f.t.Fatal(err)
	}
	return record
}

// restoredCase is a restoration with routers that fail.
type restoredCase struct {
	name string
	// killed are the routers that are killed before the store returns.
	killed []int
	// cutOff are the routers that do not reach the store afterwards, until the others have
	// exhausted the budget.
	cutOff []int
}

// play lets routers be granted tokens that the store loses, and all of them serve afterwards.
func (c restoredCase) play(t *testing.T, window time.Duration) *restoredFleet {
	t.Helper()
	f := newRestoredFleet(t, 3, window)
	f.passFirstWindow(len(f.boxes))
	for i := range f.boxes {
		f.serve(i, time.Second)
	}
	backup := f.store.Backup()
	for i := range f.boxes {
		f.serve(i, restoredWindow/4)
	}
	for _, i := range c.killed {
		f.start(i)
	}
	f.store.Restore(backup)
	for _, i := range c.cutOff {
		f.cutOff[i] = true
	}
	f.serveAll()
	f.cutOff = map[int]bool{}
	f.serveAll()
	f.expectNoOverspend()
	return f
}

// TestRestoredStoreOverspend guards against tokens that are granted twice, since the store
// has lost the first grant in returning from an older copy.
func TestRestoredStoreOverspend(t *testing.T) {
	for _, c := range []restoredCase{
		{"all routers live", nil, nil},
		{"one router is killed", []int{0}, nil},
		{"one router is cut off", nil, []int{0}},
		{"one router is killed, one is cut off", []int{1}, []int{0}},
		{"all routers are killed", []int{0, 1, 2}, nil},
	} {
		t.Run(c.name, func(t *testing.T) { c.play(t, restoredWindow) })
	}
}

// TestRestoredStoreOverspendWithSurvivors guards against the same without a loss window,
// where the routers that live know what the store has lost.
func TestRestoredStoreOverspendWithSurvivors(t *testing.T) {
	for _, c := range []restoredCase{
		{"all routers live", nil, nil},
		{"one router is killed", []int{0}, nil},
		{"one router is cut off", nil, []int{0}},
		{"one router is killed, one is cut off", []int{1}, []int{0}},
	} {
		t.Run(c.name, func(t *testing.T) { c.play(t, escrow.NoLossWindow) })
	}
}

// TestRestoredStoreOverspendWithoutSurvivors guards against the same by default, if no router
// lives that knows what the store has lost.
func TestRestoredStoreOverspendWithoutSurvivors(t *testing.T) {
	restoredCase{name: "all routers are killed", killed: []int{0, 1, 2}}.play(t, 0)
}

// TestRestoredStoreStrandsNothing guards against tokens that are withheld for good although
// all routers have written again what the store had lost.
func TestRestoredStoreStrandsNothing(t *testing.T) {
	for _, c := range []restoredCase{
		{"all routers live", nil, nil},
		{"one router is cut off", nil, []int{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := c.play(t, 0)
			f.expectNothingWithheld()
		})
	}
}

// TestRestoredStoreAwaitsIdleRouter guards against tokens that are withheld for good although
// a router that was granted none has confirmed the record.
func TestRestoredStoreAwaitsIdleRouter(t *testing.T) {
	f := newRestoredFleet(t, 2, 0)
	f.serve(0, time.Second)
	f.sync(1)
	f.now = f.now.Add(2 * escrow.DefaultLossWindow)
	f.serve(0, time.Second)
	f.store.Restore(f.store.Backup())
	f.serve(0, 2*time.Second)
	if f.withheld() == 0 {
		t.Error("nothing is withheld before the idle router has confirmed the record")
	}
	f.sync(1)
	f.serve(0, 2*time.Second)
	f.expectNothingWithheld()
}

// TestIdleRouterConfirmsRecord guards against a router that does not confirm the record of a
// restored store, since it needs no tokens.
func TestIdleRouterConfirmsRecord(t *testing.T) {
	f := newRestoredFleet(t, 2, 0)
	f.serve(0, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.boxes[1].syncer.Run(ctx)
	time.Sleep(2 * escrow.DefaultInterval)
	f.store.Restore(f.store.Backup())
	f.boxes[1].ledger.NoteEra(f.store.Era())
	for range 40 {
		if f.record().ConfirmedIn[boxName(1)] == f.store.Era() {
			return
		}
		time.Sleep(escrow.DefaultInterval / 10)
	}
	t.Errorf("confirmed: %v", f.record().ConfirmedIn)
}

// TestRunConfirmsShard guards against a router that does not write its rows of a shard again.
func TestRunConfirmsShard(t *testing.T) {
	f := newRestoredFleet(t, 1, 0)
	f.shardsRecord = true
	f.serve(0, time.Second)
	backup := f.store.Backup()
	f.serve(0, time.Second)
	f.store.Restore(backup)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.boxes[0].syncer.Run(ctx)
	f.boxes[0].ledger.NoteEra(f.store.Era())
	f.boxes[0].syncer.TriggerSync()
	confirmed := func() bool {
		entries, _, err := f.store.List(ctx, escrow.RecordKey+"/")
		if err != nil || len(entries) != 1 {
			t.Fatalf("%d records of shards, %v", len(entries), err)
		}
		record, err := escrow.DecodeRecord(entries[0])
		if err != nil {
			t.Fatal(err)
		}
		return record.ConfirmedIn[boxName(0)] == f.store.Era()
	}
	for end := time.Now().Add(4 * escrow.DefaultInterval); !confirmed(); time.Sleep(escrow.DefaultInterval / 10) {
		if time.Now().After(end) {
			t.Fatal("the record is not confirmed")
		}
	}
}

// TestRestoredStoreAwaitsNoAbsentRouter guards against tokens that are withheld for good since
// a router has left that was granted none.
func TestRestoredStoreAwaitsNoAbsentRouter(t *testing.T) {
	f := newRestoredFleet(t, 2, 0)
	f.serve(0, time.Second)
	f.boxes = f.boxes[:1]
	for range 4 {
		f.now = f.now.Add(escrow.DefaultLossWindow)
		f.serve(0, time.Second)
	}
	f.store.Restore(f.store.Backup())
	f.serve(0, 2*time.Second)
	f.expectNothingWithheld()
}

// TestRestoredStoreOverspendByUnknownRouter guards against granting twice what the store has
// lost with the first row of a router that was killed.
func TestRestoredStoreOverspendByUnknownRouter(t *testing.T) {
	for _, c := range []struct {
		name string
		// restart is when the router is started again.
		restart func(f *restoredFleet, restore func())
	}{
		{"started again before the store returns", func(f *restoredFleet, restore func()) {
			f.start(1)
			restore()
			f.serveAll()
		}},
		{"started again afterwards", func(f *restoredFleet, restore func()) {
			restore()
			f.serve(0, 2*time.Second)
			f.start(1)
			f.serveAll()
		}},
		{"not started again", func(f *restoredFleet, restore func()) {
			restore()
			f.serve(0, time.Minute)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRestoredFleet(t, 2, 0)
			f.serve(0, time.Second)
			f.now = f.now.Add(2 * escrow.DefaultLossWindow)
			f.serve(0, 200*time.Millisecond)
			backup := f.store.Backup()
			f.serve(1, restoredWindow/2)
			c.restart(f, func() { f.store.Restore(backup) })
			f.expectNoOverspend()
		})
	}
}

// TestRestoredStoreIsDividedAgain guards against a router that is granted tokens of a record
// whose division the store has lost.
func TestRestoredStoreIsDividedAgain(t *testing.T) {
	f := newRestoredFleet(t, 2, 0)
	f.serve(0, time.Second)
	backup := f.store.Backup()
	f.shardsRecord = true
	f.serve(0, time.Second)
	f.store.Restore(backup)
	f.boxes[0].ledger.NoteEra(f.store.Era())
	f.serve(0, time.Second)
	if f.record().Shards == 0 {
		t.Error("the record is not divided")
	}
	f.shardsRecord = false
	f.start(1)
	f.serveAll()
	if f.spent > restoredLimit {
		t.Errorf("%d tokens spent of %d", f.spent, restoredLimit)
	}
}

// timedBackup is a copy of the store and when it was taken.
type timedBackup struct {
	*standin.StoreBackup
	at time.Time
}

// TestHistoriesOfRestoredStore guards against overspending in random histories of requests,
// kills, cuts and restorations, also of one era after the other.
func TestHistoriesOfRestoredStore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newRestoredFleet(t, rapid.IntRange(2, 4).Draw(r, "boxes"), restoredWindow)
		f.passFirstWindow(rapid.IntRange(1, len(f.boxes)).Draw(r, "granted at first"))
		box := rapid.IntRange(0, len(f.boxes)-1)
		backups := []timedBackup{{f.store.Backup(), f.now}}
		for range rapid.IntRange(20, 60).Draw(r, "steps") {
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0:
				f.start(box.Draw(r, "killed"))
			case 1:
				i := box.Draw(r, "cut off")
				f.cutOff[i] = !f.cutOff[i]
			case 2:
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(r, "seconds")) * time.Second)
			case 3:
				backups = slices.DeleteFunc(backups, func(b timedBackup) bool { return f.now.Sub(b.at) >= restoredWindow })
				if len(backups) > 0 {
					f.store.Restore(backups[rapid.IntRange(0, len(backups)-1).Draw(r, "backup")].StoreBackup)
				}
			default:
				f.serve(box.Draw(r, "box"), time.Duration(rapid.IntRange(1, 15).Draw(r, "tenths"))*100*time.Millisecond)
			}
			backups = append(backups, timedBackup{f.store.Backup(), f.now})
		}
		f.cutOff = map[int]bool{}
		f.serveAll()
		if f.spent > restoredLimit {
			r.Fatalf("%d tokens spent of %d", f.spent, restoredLimit)
		}
	})
}
