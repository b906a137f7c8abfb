// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/follow"
	"granitehoist.example/granitehoist/standin"
)

// lines connects followers that are each other's relays and neighbours.
type lines struct {
	mu     sync.Mutex
	to     map[string]*follow.Follower
	broken map[string]bool
	calls  map[string]int
}

func newLines() *lines {
	return &lines{to: map[string]*follow.Follower{}, broken: map[string]bool{}, calls: map[string]int{}}
}

func (l *lines) updates(ctx context.Context, to granitehoist.Peer, _ string, after granitehoist.Version, wait time.Duration) (follow.Update, error) {
	l.mu.Lock()
	l.calls[to.Address]++
	f, broken := l.to[to.Address], l.broken[to.Address]
	l.mu.Unlock()
	if broken || f == nil {
		return follow.Update{}, errors.New("no way there")
	}
	return f.Updates(ctx, after, wait), nil
}

func (l *lines) breakTo(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken[address] = true
}

func (l *lines) asked(address string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[address]
}

// watchCounter counts the watches of a store, also those that fail.
type watchCounter struct {
	granitehoist.Store
	watches atomic.Int64
}

func (s *watchCounter) Watch(ctx context.Context, prefix string, after granitehoist.Version, wait time.Duration) ([]granitehoist.Entry, granitehoist.Version, error) {
	s.watches.Add(1)
	return s.Store.Watch(ctx, prefix, after, wait)
}

func peersAt(addresses ...string) func() []granitehoist.Peer {
	var peers []granitehoist.Peer
	for _, address := range addresses {
		peers = append(peers, granitehoist.Peer{Address: address})
	}
	return func() []granitehoist.Peer { return peers }
}

var _ = Describe("A follower behind relays", func() {
	var store, cutStore *standin.Store
	var between *lines
	BeforeEach(func() {
		store = standin.NewStore(standin.StoreSettings{Watch: 100 * time.Millisecond})
		cutStore = standin.NewStore(standin.StoreSettings{})
		cutStore.Fail(standin.StoreFaults{Down: true})
		between = newLines()
	})
	write := func(key, value string) granitehoist.Version {
		GinkgoHelper()
		before, err := store.Get(context.Background(), key)
		Expect(err).NotTo(HaveOccurred())
		at, err := store.CompareAndSwap(context.Background(), granitehoist.Change{Key: key, Value: []byte(value), Expect: before.Version})
		Expect(err).NotTo(HaveOccurred())
		return at
	}
	remove := func(key string) {
		GinkgoHelper()
		before, err := store.Get(context.Background(), key)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.CompareAndSwap(context.Background(), granitehoist.Change{Key: key, Expect: before.Version, Delete: true})
		Expect(err).NotTo(HaveOccurred())
	}
	run := func(address string, s follow.Settings) *follow.Follower {
		s.Prefix = "p/"
		s.Pause = 5 * time.Millisecond
		s.Updates = between.updates
		f := follow.New(s)
		between.mu.Lock()
		between.to[address] = f
		between.mu.Unlock()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		return f
	}
	values := func(f *follow.Follower) func() []string {
		return func() []string {
			found := []string{}
			for _, e := range f.Updates(context.Background(), 0, 0).Entries {
				if !e.Deleted {
					found = append(found, string(e.Value))
				}
			}
			return found
		}
	}

	It("learns of changes and deletions without a call to the store", func() {
		write("p/a", "1")
		run("relay", follow.Settings{Store: store})
		f := run("f", follow.Settings{Store: cutStore, Relays: peersAt("relay")})
		Eventually(values(f)).Should(ConsistOf("1"))
		write("p/b", "2")
		Eventually(values(f)).Should(ConsistOf("1", "2"))
		remove("p/a")
		Eventually(values(f)).Should(ConsistOf("2"))
	})

	It("goes on with another relay, and with the store when none is left", func() {
		run("one", follow.Settings{Store: store})
		run("two", follow.Settings{Store: store})
		f := run("f", follow.Settings{Store: store, Relays: peersAt("one", "two")})
		Eventually(func() int { return between.asked("two") }).Should(BeNumerically(">", 0))
		between.breakTo("one")
		write("p/a", "1")
		Eventually(values(f)).Should(ConsistOf("1"))
		between.breakTo("two")
		write("p/b", "2")
		Eventually(values(f)).Should(ConsistOf("1", "2"))
	})

	It("does not rely on a relay that the store no longer reaches", func() {
		write("p/a", "1")
		f := run("f", follow.Settings{Store: store, Relays: peersAt("stale")})
		stale := run("stale", follow.Settings{Store: cutStore, Neighbours: peersAt("f")})
		Eventually(values(stale)).Should(ConsistOf("1"))
		write("p/b", "2")
		Eventually(values(f)).Should(ConsistOf("1", "2"))
		Eventually(func() time.Duration { return f.Age(time.Now()) }).Should(BeNumerically("<", time.Second))
	})

	It("tells nobody of an entry that says what it said before", func() {
		var mu sync.Mutex
		told := 0
		same := func(before, after granitehoist.Entry) bool { return before.Value[0] == after.Value[0] }
		run("relay", follow.Settings{Store: store, Unchanged: same})
		f := run("f", follow.Settings{Store: cutStore, Relays: peersAt("relay"), Changed: func(changed []granitehoist.Entry, _ granitehoist.Version) {
			mu.Lock()
			defer mu.Unlock()
			told += len(changed)
		}})
		write("p/a", "1 first")
		Eventually(values(f)).Should(ConsistOf("1 first"))
		write("p/a", "1 again")
		write("p/a", "2")
		Eventually(values(f)).Should(ConsistOf("2"))
		mu.Lock()
		defer mu.Unlock()
		Expect(told).To(Equal(2))
	})

	It("is told everything if it lags behind more deletions than are remembered", func() {
		write("p/keep", "kept")
		lagging := write("p/old", "old")
		relay := run("relay", follow.Settings{Store: store})
		Eventually(relay.At).Should(BeNumerically(">=", lagging))
		remove("p/old")
		for i := range 600 {
			key := fmt.Sprintf("p/%d", i)
			write(key, "x")
			remove(key)
		}
		Eventually(values(relay)).Should(ConsistOf("kept"))
		u := relay.Updates(context.Background(), lagging, 0)
		if !u.Complete {
			Expect(u.Entries).To(ContainElement(HaveField("Key", "p/old")))
			return
		}
		Expect(u.Entries).To(HaveLen(1))
	})

	It("holds a question until something changes, but not beyond its wait", func() {
		relay := run("relay", follow.Settings{Store: store})
		at := write("p/a", "1")
		Eventually(values(relay)).Should(ConsistOf("1"))
		began := time.Now()
		Expect(relay.Updates(context.Background(), at, 50*time.Millisecond).Entries).To(BeEmpty())
		Expect(time.Since(began)).To(BeNumerically(">=", 50*time.Millisecond))
		go func() {
			defer GinkgoRecover()
			write("p/a", "2")
		}()
		Expect(relay.Updates(context.Background(), at, 10*time.Second).Entries).To(HaveLen(1))
	})

	It("does not storm a store that is away from all of its relays, and is told when it is back", func() {
		relayStore := standin.NewStore(standin.StoreSettings{Watch: 100 * time.Millisecond})
		_, err := relayStore.CompareAndSwap(context.Background(), granitehoist.Change{Key: "p/a", Value: []byte("1")})
		Expect(err).NotTo(HaveOccurred())
		for _, address := range []string{"a", "b", "c"} {
			Eventually(values(run(address, follow.Settings{Store: relayStore}))).Should(ConsistOf("1"))
		}
		away := &watchCounter{Store: cutStore}
		f := run("f", follow.Settings{Store: away, Relays: peersAt("a", "b", "c")})
		Eventually(values(f)).Should(ConsistOf("1"))
		relayStore.Fail(standin.StoreFaults{Down: true})
		// The relays' copies are old from 1.5 s on; a call that began before is held
		// for 0.4 s.
		time.Sleep(2 * time.Second)
		before := away.watches.Load()
		time.Sleep(2 * time.Second)
		Expect(away.watches.Load() - before).To(BeNumerically("<=", 2))
		relayStore.Fail(standin.StoreFaults{})
		entry, err := relayStore.Get(context.Background(), "p/a")
		Expect(err).NotTo(HaveOccurred())
		_, err = relayStore.CompareAndSwap(context.Background(), granitehoist.Change{Key: "p/a", Value: []byte("2"), Expect: entry.Version})
		Expect(err).NotTo(HaveOccurred())
		Eventually(values(f)).WithTimeout(2 * time.Second).Should(ConsistOf("2"))
	})
})
