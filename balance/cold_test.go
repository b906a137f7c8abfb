// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// coldFleet simulates a fleet of routers that share the rate limit of a cold instance, in
// virtual time and without a network.
type coldFleet struct {
	tables []*Table
	random *rand.Rand
	now    time.Time
	// arrivals holds the times at which the instance i-0 got a request.
	arrivals []time.Time
}

const (
	coldPool = granitehoist.Service("pool")
	// coldRate is the rate limit of a cold instance in requests a second, maxColdArrivals
	// the limit on its arrivals from all routers in any second.
	coldRate        = 9.9
	maxColdArrivals = 1.5*coldRate + 5
	coldDuration    = 3 * time.Second
)

// newColdFleet returns a fleet with the given numbers of routers and instances. The first
// cold instances are cold.
func newColdFleet(seed uint64, routers, instances, cold int) *coldFleet {
	f := &coldFleet{random: rand.New(rand.NewPCG(seed, 7)), now: testTime}
	for r := range routers {
		t := New(Settings{Seed: seed*1000 + uint64(r)})
		for i := range instances {
			instance := Instance{ID: granitehoist.Upstream(fmt.Sprint("i-", i)), Service: coldPool, Capacity: 48, Version: 1}
			if i < cold {
				instance.ColdFor = coldDuration
			}
			t.Announce(instance, f.now)
		}
		f.tables = append(f.tables, t)
	}
	return f
}

// run sends perSecond requests a second with one prefix to random routers until the cold
// instances are warm, and returns how many found no instance.
func (f *coldFleet) run(perSecond int, q Query) (refused int) {
	q.Service, q.ColdRequestRate, q.Routers = coldPool, coldRate, len(f.tables)
	for end := f.now.Add(coldDuration); f.now.Before(end); f.now = f.now.Add(time.Second / time.Duration(perSecond)) {
		lease, err := f.tables[f.random.IntN(len(f.tables))].Pick(q, f.now)
		if err != nil {
			refused++
			continue
		}
		if lease.ID == "i-0" {
			f.arrivals = append(f.arrivals, f.now)
		}
		lease.Done(Succeeded, f.now)
	}
	return refused
}

// worstSecond returns the largest number of arrivals in any second.
func (f *coldFleet) worstSecond() int {
	worst, first := 0, 0
	for last, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) >= time.Second {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst
}

// hotPrefix returns a query with a prefix that the instance i-0 owns.
func hotPrefix(instances int) Query {
	states := make([]*instanceState, 0, instances)
	f := newColdFleet(1, 1, instances, 0)
	states = append(states, f.tables[0].service(coldPool).instances...)
	for hash := uint64(1); ; hash++ {
		if ownerOf(states, hash, false).ID == "i-0" {
			return Query{PrefixHash: hash, PrefixTokens: 5000, PromptTokens: 6000}
		}
	}
}

// TestColdInstanceBesideHotPrefix guards against overload of a cold instance by all
// routers together when it owns a hot prefix.
func TestColdInstanceBesideHotPrefix(t *testing.T) {
	for _, routers := range []int{1, 6, 87, 295} {
		t.Run(fmt.Sprint("routers=", routers), func(t *testing.T) {
			t.Parallel()
			worst, sum := 0, 0
			const starts = 100
			for seed := range uint64(starts) {
				f := newColdFleet(seed, routers, 90, 1)
				if refused := f.run(140, hotPrefix(90)); refused > 0 {
					t.Fatalf("%d requests found none of 89 warm instances", refused)
				}
				worst = max(worst, f.worstSecond())
				sum += len(f.arrivals)
			}
			t.Logf("at most %d requests in a second of %d starts, mean %.1f a second", worst, starts, float64(sum)/starts/coldDuration.Seconds())
			if float64(worst) > maxColdArrivals {
				t.Fatalf("%d requests in a second, limit %.2f", worst, maxColdArrivals)
			}
		})
	}
}

// TestAllInstancesCold guards against overload of cold instances, and against excess
// refusals, when a whole service restarts under load.
func TestAllInstancesCold(t *testing.T) {
	for _, routers := range []int{6, 87} {
		t.Run(fmt.Sprint("routers=", routers), func(t *testing.T) {
			f := newColdFleet(1, routers, 90, 90)
			refused := f.run(420, Query{})
			total := 420 * int(coldDuration.Seconds())
			t.Logf("refused %d of %d", refused, total)
			if float64(f.worstSecond()) > maxColdArrivals {
				t.Fatalf("%d requests in a second, limit %.2f", f.worstSecond(), maxColdArrivals)
			}
			if refused > total/3 {
				t.Fatalf("refused %d of %d", refused, total)
			}
		})
	}
}

// TestColdPeriodEnds guards against a cold period that ends too early or too late, or
// follows a stale announcement.
func TestColdPeriodEnds(t *testing.T) {
	q := Query{Service: coldPool, ColdRequestRate: 0.0001, Routers: 100}
	expect := func(t *testing.T, table *Table, at time.Time, served bool) {
		t.Helper()
		if _, err := table.Pick(q, at); (err == nil) != served {
			t.Fatalf("error %v", err)
		}
	}
	announce := func(table *Table, version granitehoist.Version, coldFor time.Duration, at time.Time) {
		table.Announce(Instance{ID: "i-0", Service: coldPool, Version: version, ColdFor: coldFor}, at)
	}
	t.Run("after the announced time", func(t *testing.T) {
		table := New(Settings{})
		announce(table, 1, time.Second, testTime)
		expect(t, table, testTime, false)
		expect(t, table, testTime.Add(time.Second), true)
	})
	t.Run("with a newer announcement", func(t *testing.T) {
		table := New(Settings{})
		announce(table, 1, time.Minute, testTime)
		announce(table, 2, 0, testTime)
		expect(t, table, testTime, true)
	})
	t.Run("not with an outdated announcement", func(t *testing.T) {
		table := New(Settings{})
		announce(table, 2, time.Minute, testTime)
		announce(table, 1, 0, testTime)
		expect(t, table, testTime, false)
	})
	t.Run("and may start again", func(t *testing.T) {
		table := New(Settings{})
		announce(table, 1, 0, testTime)
		expect(t, table, testTime, true)
		announce(table, 2, time.Second, testTime)
		expect(t, table, testTime, false)
	})
}
