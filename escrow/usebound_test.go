// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/standin"
)

// testMachine is a machine with clocks that a test controls.
type testMachine struct {
	boot escrow.Boot
	// zero is when the time since boot was zero.
	zero time.Time
}

// newTestMachine returns a machine that booted an hour before now.
func newTestMachine(id uint64, now time.Time) testMachine {
	booted := now.Add(-time.Hour)
	return testMachine{boot: escrow.Boot{ID: id, TimeMS: booted.UnixMilli()}, zero: booted}
}

// at returns the machine for a process that starts at now.
func (m testMachine) at(now time.Time) escrow.Machine {
	return escrow.Machine{Boot: m.boot, Started: now.Sub(m.zero), SinceBoot: func(now time.Time) time.Duration { return now.Sub(m.zero) }}
}

// machineChange is what happens to a machine between two processes.
type machineChange int

const (
	// unchanged: nothing happens.
	unchanged machineChange = iota
	// rebooted: the machine has booted again.
	rebooted
	// rebootedUnderOldID: a simulated machine has booted again, under the id of its host, and its
	// time since boot is near that of the boot before.
	rebootedUnderOldID
	// clockSet: the time of day was set.
	clockSet
	// replaced: another machine has the name of the box, and its time since boot is near.
	replaced
	machineChanges
)

func (m *testMachine) change(c machineChange, now time.Time) {
	const step = 2 * time.Second
	switch c {
	case unchanged, machineChanges:
	case rebooted:
		*m = testMachine{boot: escrow.Boot{ID: m.boot.ID + 1000, TimeMS: now.UnixMilli()}, zero: now}
	case rebootedUnderOldID:
		m.boot.TimeMS = now.UnixMilli()
		m.zero = m.zero.Add(step)
	case clockSet:
		m.boot.TimeMS -= step.Milliseconds()
	case replaced:
		m.boot.ID += 1000
		m.zero = m.zero.Add(step)
	}
}

// crashedFleet is a router that spends at a steady rate and crashes.
type crashedFleet struct {
	t       *testing.T
	now     time.Time
	store   *standin.Store
	machine testMachine
	spent   granitehoist.Tokens
}

const (
	crashLimit   = granitehoist.Tokens(1_200_000)
	crashRequest = granitehoist.Tokens(1000)
	// crashRate is the rate of spending in tokens a second: the budget lasts for 48 s.
	crashRate = 25 * crashRequest
)

func newCrashedFleet(t *testing.T) *crashedFleet {
	t.Helper()
	f := &crashedFleet{t: t, now: time.Unix(1000, 0)}
	f.store = standin.NewStore(standin.StoreSettings{Clock: f.clock, Era: 1})
	f.machine = newTestMachine(1, f.now)
	return f
}

func (f *crashedFleet) clock() time.Time { return f.now }

// start starts a router.
func (f *crashedFleet) start(incarnation string) *box {
	b := newBoxWith(escrow.LedgerSettings{Incarnation: granitehoist.Incarnation(incarnation), Machine: f.machine.at(f.now)}, "box", f.store, 1, f.clock)
	b.ledger.SetLimit(testWorkspace, crashLimit)
	return b
}

// serve lets a router spend for a while, and returns how many requests it did not admit.
func (f *crashedFleet) serve(b *box, lasts time.Duration) int {
	refused := 0
	for end := f.now.Add(lasts); f.now.Before(end); f.now = f.now.Add(time.Second * time.Duration(crashRequest) / time.Duration(crashRate)) {
		if !b.ledger.Reserve(testWorkspace, crashRequest, maxPriority, f.now) {
			// In an outage the sync fails.
			_ = b.sync()
			if !b.ledger.Reserve(testWorkspace, crashRequest, maxPriority, f.now) {
				refused++
				continue
			}
		}
		b.ledger.Settle(testWorkspace, crashRequest, crashRequest, f.now)
		f.spent += crashRequest
		if f.now.UnixMilli()%700 < 40 {
			_ = b.sync()
		}
	}
	return refused
}

// expectUsable expects that routers that follow can use a share of the budget, and no more than
// all.
func (f *crashedFleet) expectUsable(b *box, share float64) {
	f.t.Helper()
	f.serve(b, time.Minute)
	expect := NewWithT(f.t)
	expect.Expect(f.spent).To(BeNumerically("<=", crashLimit))
	expect.Expect(float64(f.spent) / float64(crashLimit)).To(BeNumerically(">=", share))
}

// TestCrashReturnsTokens guards against tokens that are lost although the successor of a router
// can know that they were not used.
func TestCrashReturnsTokens(t *testing.T) {
	t.Run("once", func(t *testing.T) {
		f := newCrashedFleet(t)
		f.serve(f.start("a"), 15*time.Second)
		f.now = f.now.Add(time.Second)
		f.expectUsable(f.start("b"), 0.96)
	})
	t.Run("twice", func(t *testing.T) {
		f := newCrashedFleet(t)
		f.serve(f.start("a"), 15*time.Second)
		f.now = f.now.Add(time.Second)
		f.serve(f.start("b"), 5*time.Second)
		f.now = f.now.Add(time.Second)
		f.expectUsable(f.start("c"), 0.92)
	})
}

// TestCrashInOutage guards against tokens that are granted twice after an outage of the store, in
// which the router used what it had reserved for it.
func TestCrashInOutage(t *testing.T) {
	for _, lasts := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
		t.Run(lasts.String(), func(t *testing.T) {
			f := newCrashedFleet(t)
			a := f.start("a")
			f.serve(a, 15*time.Second)
			f.store.Fail(standin.StoreFaults{Down: true})
			NewWithT(t).Expect(f.serve(a, lasts)).To(BeNumerically("<=", 1), "requests that an outage leaves without tokens")
			f.store.Fail(standin.StoreFaults{})
			f.expectUsable(f.start("b"), 0.75)
		})
	}
}

// TestUnprovenCrash guards against tokens that a successor takes back without a proof that they
// were not used.
func TestUnprovenCrash(t *testing.T) {
	for name, change := range map[string]machineChange{
		"rebooted": rebooted, "rebooted under its old id": rebootedUnderOldID, "the clock was set": clockSet, "replaced": replaced,
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashedFleet(t)
			f.serve(f.start("a"), 15*time.Second)
			f.now = f.now.Add(time.Second)
			held := f.record().Rows["a"].Net()
			f.machine.change(change, f.now)
			b := f.start("b")
			NewWithT(t).Expect(b.sync()).To(Succeed())
			NewWithT(t).Expect(f.record().EndedNet).To(Equal(held))
		})
	}
}

// TestCrashAfterRestoration guards against a bound of an earlier era of the store: the router may
// have stated and used more since.
func TestCrashAfterRestoration(t *testing.T) {
	f := newCrashedFleet(t)
	a := f.start("a")
	f.serve(a, 15*time.Second)
	backup := f.store.Backup()
	f.serve(a, 3*time.Second)
	f.store.Restore(backup)
	f.expectUsable(f.start("b"), 0)
}

func (f *crashedFleet) record() *escrow.StoredAccount {
	RegisterTestingT(f.t)
	return recordOf(f.store).Accounts[testWorkspace]
}

// TestUnacknowledgedBound guards against a router that relies on a bound whose write was not
// acknowledged: its successor sees the one before.
func TestUnacknowledgedBound(t *testing.T) {
	f := newCrashedFleet(t)
	faulty := &faultyStore{Store: f.store}
	a := newBoxWith(escrow.LedgerSettings{Incarnation: "a", Machine: f.machine.at(f.now)}, "box", faulty, 1, f.clock)
	a.ledger.SetLimit(testWorkspace, crashLimit)
	f.serve(a, 15*time.Second)
	faulty.fault = "late"
	// A request that waits raises the bound of the next write.
	a.ledger.AddWaiter(testWorkspace, 150*crashRequest, maxPriority, f.now)
	for range 200 {
		if a.ledger.Reserve(testWorkspace, crashRequest, maxPriority, f.now) {
			a.ledger.Settle(testWorkspace, crashRequest, crashRequest, f.now)
			f.spent += crashRequest
		}
		_ = a.sync()
	}
	f.expectUsable(f.start("b"), 0.9)
}

// TestBurstWaitsForNoWrite guards against requests that come together and are refused, although the
// router has their tokens, since they exceed the bound that it has stated.
func TestBurstWaitsForNoWrite(t *testing.T) {
	f := newCrashedFleet(t)
	b := newBoxWith(escrow.LedgerSettings{Incarnation: "a", Machine: f.machine.at(f.now)}, "box", f.store, 1, f.clock)
	b.ledger.SetLimit(testWorkspace, 100*crashLimit)
	f.serve(b, 15*time.Second)
	for range 48 {
		NewWithT(t).Expect(b.ledger.Reserve(testWorkspace, crashRequest, maxPriority, f.now)).To(BeTrue())
	}
}
