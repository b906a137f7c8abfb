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

// coldFleet is a fleet of routers that share what a cold instance bears. It runs on a
// clock of its own and without a network.
type coldFleet struct {
	tables []*Table
	random *rand.Rand
	now    time.Time
	// arrivals are the times at which the instance i-0 got a request.
	arrivals []time.Time
}

const (
	coldPool = granitehoist.Service("pool")
	// coldBears and coldAllowed are of the users' largest shifted site: an instance
	// bears 9.9 requests a second while it is cold, and the users allow 1.5 times
	// that and 5 more, of all routers together in any second.
	coldBears   = 9.9
	coldAllowed = 1.5*coldBears + 5
	coldLasts   = 3 * time.Second
)

// newColdFleet returns a fleet with so many instances, of which the first cold are so.
func newColdFleet(seed uint64, routers, instances, cold int) *coldFleet {
	f := &coldFleet{random: rand.New(rand.NewPCG(seed, 7)), now: noon}
	for r := range routers {
		t := New(Settings{Seed: seed*1000 + uint64(r)})
		for i := range instances {
			instance := Instance{ID: granitehoist.Upstream(fmt.Sprint("i-", i)), Service: coldPool, Capacity: 48, Version: 1}
			if i < cold {
				instance.ColdFor = coldLasts
			}
			t.Announce(instance, f.now)
		}
		f.tables = append(f.tables, t)
	}
	return f
}

// run sends so many requests a second of one prefix to random routers, until the cold
// instances are warm, and returns how many found no instance.
func (f *coldFleet) run(perSecond int, q Query) (refused int) {
	q.Service, q.ColdPerSecond, q.Routers = coldPool, coldBears, len(f.tables)
	for end := f.now.Add(coldLasts); f.now.Before(end); f.now = f.now.Add(time.Second / time.Duration(perSecond)) {
		lease, err := f.tables[f.random.IntN(len(f.tables))].Pick(q, f.now)
		if err != nil {
			refused++
			continue
		}
		if lease.ID == "i-0" {
			f.arrivals = append(f.arrivals, f.now)
		}
		lease.Done(Good, f.now)
	}
	return refused
}

// worstSecond returns the most arrivals in any second.
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

// hotPrefix returns a prefix that the instance i-0 owns.
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

// TestColdInstanceBesideHotPrefix checks that an instance which has just started gets
// no more than it bears, of all routers together, though it owns the prefix of a third
// of all requests.
func TestColdInstanceBesideHotPrefix(t *testing.T) {
	for _, routers := range []int{1, 6, 87, 295} {
		t.Run(fmt.Sprint("routers=", routers), func(t *testing.T) {
			t.Parallel()
			worst, sum := 0, 0
			const starts = 100
			for seed := range uint64(starts) {
				f := newColdFleet(seed, routers, 90, 1)
				if refused := f.run(140, hotPrefix(90)); refused > 0 {
					t.Fatalf("%d requests found no instance beside 89 warm ones", refused)
				}
				worst = max(worst, f.worstSecond())
				sum += len(f.arrivals)
			}
			t.Logf("%d in the worst second of %d starts, %.1f a second", worst, starts, float64(sum)/starts/coldLasts.Seconds())
			if float64(worst) > coldAllowed {
				t.Fatalf("%d requests in a second, %.2f are allowed", worst, coldAllowed)
			}
		})
	}
}

// TestAllInstancesCold checks the restart of a whole service under its usual load, 4.7
// requests a second for each instance: what they bear is spread over all of them, and
// what they don't is refused at once.
func TestAllInstancesCold(t *testing.T) {
	for _, routers := range []int{6, 87} {
		t.Run(fmt.Sprint("routers=", routers), func(t *testing.T) {
			f := newColdFleet(1, routers, 90, 90)
			refused := f.run(420, Query{})
			asked := 420 * int(coldLasts.Seconds())
			t.Logf("refused %d of %d", refused, asked)
			if float64(f.worstSecond()) > coldAllowed {
				t.Fatalf("%d requests in a second, %.2f are allowed", f.worstSecond(), coldAllowed)
			}
			if refused > asked/3 {
				t.Fatalf("refused %d of %d", refused, asked)
			}
		})
	}
}

// TestColdEnds checks when an instance counts as cold.
func TestColdEnds(t *testing.T) {
	q := Query{Service: coldPool, ColdPerSecond: 0.0001, Routers: 100}
	expect := func(t *testing.T, table *Table, at time.Time, served bool) {
		t.Helper()
		if _, err := table.Pick(q, at); (err == nil) != served {
			t.Fatalf("error %v", err)
		}
	}
	announce := func(table *Table, version granitehoist.Version, coldFor time.Duration, at time.Time) {
		table.Announce(Instance{ID: "i-0", Service: coldPool, Version: version, ColdFor: coldFor}, at)
	}
	t.Run("by the time that it stated", func(t *testing.T) {
		table := New(Settings{})
		announce(table, 1, time.Second, noon)
		expect(t, table, noon, false)
		expect(t, table, noon.Add(time.Second), true)
	})
	t.Run("by a newer statement", func(t *testing.T) {
		table := New(Settings{})
		announce(table, 1, time.Minute, noon)
		announce(table, 2, 0, noon)
		expect(t, table, noon, true)
	})
	t.Run("not by an older one", func(t *testing.T) {
		table := New(Settings{})
		announce(table, 2, time.Minute, noon)
		announce(table, 1, 0, noon)
		expect(t, table, noon, false)
	})
	t.Run("and may begin again at any time", func(t *testing.T) {
		table := New(Settings{})
		announce(table, 1, 0, noon)
		expect(t, table, noon, true)
		announce(table, 2, time.Second, noon)
		expect(t, table, noon, false)
	})
}
