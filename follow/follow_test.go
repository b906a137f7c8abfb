// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow_test

import (
	"context"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/follow"
)

// scriptedStore is a store that returns prepared results for lists and watches.
type scriptedStore struct {
	granitehoist.Store
	mu          sync.Mutex
	lists       []follow.Update
	watches     []follow.Update
	historyGone bool
	down        bool
	// waits holds the wait of each watch.
	waits []time.Duration
}

func next(script *[]follow.Update) (follow.Update, bool) {
	if len(*script) == 0 {
		return follow.Update{}, false
	}
	first := (*script)[0]
	*script = (*script)[1:]
	return first, true
}

func (s *scriptedStore) List(context.Context, string) ([]granitehoist.Entry, granitehoist.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := next(&s.lists)
	if s.down || !ok {
		return nil, 0, granitehoist.ErrUnavailable
	}
	return c.Entries, c.Version, nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, _ granitehoist.Version, wait time.Duration) ([]granitehoist.Entry, granitehoist.Version, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	c, ok := next(&s.watches)
	gone := s.historyGone && !ok
	s.historyGone = s.historyGone && !gone
	s.mu.Unlock()
	switch {
	case ok:
		return c.Entries, c.Version, nil
	case gone:
		return nil, 0, granitehoist.ErrHistoryGone
	}
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Millisecond):
	}
	return nil, 0, granitehoist.ErrUnknown
}

// unresponsiveStore fails every list and records its timeout.
type unresponsiveStore struct {
	granitehoist.Store
	mu       sync.Mutex
	timeouts []time.Duration
}

func (s *unresponsiveStore) List(ctx context.Context, _ string) ([]granitehoist.Entry, granitehoist.Version, error) {
	timeout := time.Hour
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeouts = append(s.timeouts, timeout)
	return nil, 0, granitehoist.ErrUnknown
}

// longest returns the longest timeout of the first calls, and -1 until that many were made.
func (s *unresponsiveStore) longest(calls int) func() time.Duration {
	return func() time.Duration {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.timeouts) < calls {
			return -1
		}
		return slices.Max(s.timeouts[:calls])
	}
}

func entry(key string, version granitehoist.Version) granitehoist.Entry {
	return granitehoist.Entry{Key: key, Version: version, Value: []byte(key)}
}

func onePeer() []granitehoist.Peer {
	return []granitehoist.Peer{{Incarnation: "other-1", Address: "10.0.0.9:1"}}
}

func deletion(key string, version granitehoist.Version) granitehoist.Entry {
	return granitehoist.Entry{Key: key, Version: version, Deleted: true}
}

var _ = Describe("A follower", func() {
	run := func(s follow.Settings) *follow.Follower {
		s.Prefix = "p/"
		s.RetryDelay = 5 * time.Millisecond
		f := follow.New(s)
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
	keys := func(f *follow.Follower) func() []string {
		return func() []string {
			c := f.Updates(context.Background(), 0, 0)
			found := []string{}
			for _, e := range c.Entries {
				found = append(found, e.Key)
			}
			return found
		}
	}

	It("lists, then applies changes and deletions", func() {
		store := &scriptedStore{
			lists:   []follow.Update{{Version: 5, Entries: []granitehoist.Entry{entry("p/a", 3), entry("p/b", 5)}}},
			watches: []follow.Update{{Version: 7, Entries: []granitehoist.Entry{deletion("p/a", 6), entry("p/c", 7)}}},
		}
		f := run(follow.Settings{Store: store})
		Eventually(keys(f)).Should(ConsistOf("p/b", "p/c"))
		Expect(f.Version()).To(Equal(granitehoist.Version(7)))
	})

	It("ignores changes that are older than its copy", func() {
		store := &scriptedStore{
			lists:   []follow.Update{{Version: 9, Entries: []granitehoist.Entry{entry("p/a", 8)}}},
			watches: []follow.Update{{Version: 9, Entries: []granitehoist.Entry{deletion("p/a", 7), entry("p/old", 4)}}, {Version: 10, Entries: []granitehoist.Entry{entry("p/b", 10)}}},
		}
		f := run(follow.Settings{Store: store})
		Eventually(keys(f)).Should(ConsistOf("p/a", "p/b"))
	})

	It("lists again when the history is gone, and reports the deletions in between", func() {
		var mu sync.Mutex
		var deleted []string
		store := &scriptedStore{
			lists:       []follow.Update{{Version: 5, Entries: []granitehoist.Entry{entry("p/a", 3)}}, {Version: 20, Entries: []granitehoist.Entry{entry("p/b", 15)}}},
			historyGone: true,
		}
		f := run(follow.Settings{Store: store, OnChange: func(changed []granitehoist.Entry, _ granitehoist.Version) {
			mu.Lock()
			defer mu.Unlock()
			for _, e := range changed {
				if e.Deleted {
					deleted = append(deleted, e.Key)
				}
			}
		}})
		Eventually(keys(f)).Should(ConsistOf("p/b"))
		mu.Lock()
		defer mu.Unlock()
		Expect(deleted).To(ConsistOf("p/a"))
	})

	It("probes a failed store with short watches and every fourth time with a full one", func() {
		store := &scriptedStore{lists: []follow.Update{{Version: 5, Entries: []granitehoist.Entry{entry("p/a", 3)}}}}
		run(follow.Settings{Store: store})
		waits := func() []time.Duration {
			store.mu.Lock()
			defer store.mu.Unlock()
			return append([]time.Duration(nil), store.waits...)
		}
		Eventually(func() int { return len(waits()) }).Should(BeNumerically(">=", 7))
		// Zero means the default of the store, which is the longest. The second watch repeats the
		// first one, whose connection may be silent.
		const short = 100 * time.Millisecond
		Expect(waits()[:7]).To(Equal([]time.Duration{0, short, short, short, short, 0, short}))
	})

	It("lists with a short timeout from the beginning if the store does not respond", func() {
		store := &unresponsiveStore{}
		f := run(follow.Settings{Store: store})
		Eventually(store.longest(3)).Should(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
		Expect(f.HasCopy()).To(BeFalse())
		Eventually(store.longest(4)).Should(BeNumerically(">", time.Minute), "a slow store needs the full timeout")
	})

	It("applies a newer copy of a neighbour, and no older one", func() {
		store := &scriptedStore{lists: []follow.Update{{Version: 5, Entries: []granitehoist.Entry{entry("p/a", 3)}}}}
		copies := []follow.Update{
			{Prefix: "p/", HasCopy: true, Complete: true, Version: 4},
			{Prefix: "q/", HasCopy: true, Complete: true, Version: 90},
			{Prefix: "p/", HasCopy: true, Complete: true, Version: 8, Entries: []granitehoist.Entry{entry("p/b", 8)}},
		}
		var mu sync.Mutex
		f := run(follow.Settings{Store: store, Neighbours: onePeer, FetchUpdates: func(context.Context, granitehoist.Peer, string, granitehoist.Version, time.Duration) (follow.Update, error) {
			mu.Lock()
			defer mu.Unlock()
			u, _ := next(&copies)
			return u, nil
		}})
		Eventually(keys(f)).Should(ConsistOf("p/b"))
		Expect(f.Version()).To(Equal(granitehoist.Version(8)))
	})
})
