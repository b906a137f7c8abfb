// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"slices"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// entryOf returns the entry of an incarnation of a box.
func entryOf(box granitehoist.Box, incarnation granitehoist.Incarnation) peerEntry {
	return peerEntry{Box: box, Incarnation: incarnation, Address: string(box) + ":1"}
}

func expectEntries(t *testing.T, got, want []peerEntry) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Fatalf("entries %+v, not %+v", got, want)
	}
}

// TestUpsertNeighbour guards against an older entry that replaces a newer one, and
// against changes of the shared slice.
func TestUpsertNeighbour(t *testing.T) {
	a1, a2, b1 := entryOf("a", "a-1"), entryOf("a", "a-2"), entryOf("b", "b-1")
	cases := []struct {
		name   string
		others []peerEntry
		entry  peerEntry
		from   entrySource
		want   []peerEntry
	}{
		{"new box, own entry", []peerEntry{a1}, b1, sourceSelf, []peerEntry{a1, b1}},
		{"new box, passed on", []peerEntry{a1}, b1, sourceThirdParty, []peerEntry{a1, b1}},
		{"new incarnation, own entry", []peerEntry{a1, b1}, a2, sourceSelf, []peerEntry{a2, b1}},
		{"new incarnation, passed on", []peerEntry{a1, b1}, a2, sourceThirdParty, []peerEntry{a1, b1}},
		{"unchanged entry", []peerEntry{a1}, a1, sourceSelf, []peerEntry{a1}},
		{"entry of this node", []peerEntry{a1}, entryOf("self", "s-0"), sourceSelf, []peerEntry{a1}},
		{"entry without a box", []peerEntry{a1}, peerEntry{Incarnation: "x"}, sourceSelf, []peerEntry{a1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := slices.Clone(c.others)
			expectEntries(t, upsertNeighbour(c.others, "self", c.entry, c.from), c.want)
			expectEntries(t, c.others, before)
		})
	}
}

// TestListedByRelay guards against adopting a relay's list that is stale or lacks this
// node.
func TestListedByRelay(t *testing.T) {
	self, relay, other := entryOf("self", "s-2"), entryOf("relay", "r-1"), entryOf("other", "o-1")
	cases := []struct {
		name  string
		reply greeting
		want  []peerEntry
		ok    bool
	}{
		{"a fresh list", greeting{Self: relay, Others: []peerEntry{self, other}, Listed: true}, []peerEntry{relay, other}, true},
		{"a list that is not marked as fresh", greeting{Self: relay, Others: []peerEntry{self, other}}, nil, false},
		{"a list without this node", greeting{Self: relay, Others: []peerEntry{other}, Listed: true}, nil, false},
		{"a list with an earlier incarnation", greeting{Self: relay, Others: []peerEntry{entryOf("self", "s-1")}, Listed: true}, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, ok := listedByRelay(c.reply, self)
			expectEntries(t, got, c.want)
			if ok != c.ok {
				t.Fatalf("adopted %v, not %v", ok, c.ok)
			}
		})
	}
}

// storeEntry returns an entry of the node list in the store.
func storeEntry(box string, version granitehoist.Version, value string) granitehoist.Entry {
	return granitehoist.Entry{Key: peersPrefix + box, Version: version, Value: []byte(value)}
}

func expectOwnEntry(t *testing.T, l nodeList, version granitehoist.Version, current bool) {
	t.Helper()
	if l.own.Version != version || l.upToDate != current {
		t.Fatalf("own entry of version %d, current %v; not %d, %v", l.own.Version, l.upToDate, version, current)
	}
}

// TestParseNodeList guards against a missed own entry and against an entry that breaks
// the list.
func TestParseNodeList(t *testing.T) {
	self := peerEntry{Box: "self", Incarnation: "s-2"}
	neighbour := storeEntry("a", 3, `{"box":"a","incarnation":"a-1"}`)
	t.Run("without its own entry", func(t *testing.T) {
		l := parseNodeList([]granitehoist.Entry{neighbour}, self)
		expectOwnEntry(t, l, 0, false)
		expectEntries(t, l.others, []peerEntry{{Box: "a", Incarnation: "a-1"}})
	})
	t.Run("with the entry of an earlier incarnation", func(t *testing.T) {
		old := storeEntry("self", 5, `{"box":"self","incarnation":"s-1"}`)
		expectOwnEntry(t, parseNodeList([]granitehoist.Entry{neighbour, old}, self), 5, false)
	})
	t.Run("with its own entry", func(t *testing.T) {
		own := storeEntry("self", 6, `{"box":"self","incarnation":"s-2"}`)
		l := parseNodeList([]granitehoist.Entry{own}, self)
		expectOwnEntry(t, l, 6, true)
		expectEntries(t, l.others, nil)
	})
	t.Run("a malformed entry is reported and ignored", func(t *testing.T) {
		l := parseNodeList([]granitehoist.Entry{storeEntry("b", 7, "{"), neighbour}, self)
		expectEntries(t, l.others, []peerEntry{{Box: "a", Incarnation: "a-1"}})
		if len(l.malformed) != 1 || l.malformed[0].key != "boxes/b" || l.malformed[0].err == nil {
			t.Fatalf("malformed %+v", l.malformed)
		}
	})
}

func expectCanServeList(t *testing.T, isRelay bool, age time.Duration, want bool) {
	t.Helper()
	listedAt := time.Unix(1000, 0)
	if got := canServeList(isRelay, listedAt, listedAt.Add(age)); got != want {
		t.Fatalf("relay %v, list %v old: can serve %v, not %v", isRelay, age, got, want)
	}
}

// TestCanServeList guards against nodes that serve a stale node list in place of the
// store.
func TestCanServeList(t *testing.T) {
	t.Run("a relay with a fresh list", func(t *testing.T) { expectCanServeList(t, true, 0, true) })
	t.Run("a relay after one failed read", func(t *testing.T) { expectCanServeList(t, true, 16*time.Second, true) })
	t.Run("a relay with a stale list", func(t *testing.T) { expectCanServeList(t, true, 16*time.Second+1, false) })
	t.Run("a node that is no relay", func(t *testing.T) { expectCanServeList(t, false, 0, false) })
}

func expectAttempt(t *testing.T, a listAttempt, delay time.Duration, first, again bool) {
	t.Helper()
	if got := a.delay(); got != delay {
		t.Fatalf("%+v: delay %v, not %v", a, got, delay)
	}
	if a.shouldGreet(false) != first || a.shouldGreet(true) != again {
		t.Fatalf("%+v: greets %v at first and %v later, not %v and %v", a, a.shouldGreet(false), a.shouldGreet(true), first, again)
	}
}

// TestListAttempt guards against late retries and against neighbours that are not
// greeted.
func TestListAttempt(t *testing.T) {
	t.Run("read and complete", func(t *testing.T) { expectAttempt(t, listAttempt{complete: true}, listInterval, true, false) })
	t.Run("read during bootstrap", func(t *testing.T) { expectAttempt(t, listAttempt{}, bootstrapListDelay, true, false) })
	t.Run("failed", func(t *testing.T) {
		expectAttempt(t, listAttempt{failed: true, complete: true}, listRetryDelay, true, true)
	})
	t.Run("failed during bootstrap", func(t *testing.T) { expectAttempt(t, listAttempt{failed: true}, listRetryDelay, true, true) })
}

// TestListsNeeded guards against a view that counts as complete too early at the first
// start of a fleet.
func TestListsNeeded(t *testing.T) {
	for bootstrap, want := range map[bool]int{true: 2, false: 1} {
		if got := listsNeeded(bootstrap); got != want {
			t.Fatalf("bootstrap %v: %d lists, not %d", bootstrap, got, want)
		}
	}
}

// TestServeGreet guards against entries passed on by a caller and against a stale list
// marked as fresh.
func TestServeGreet(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := entryOf("a", "a-1"), entryOf("b", "b-1")
	p := newPeers(peersSettings{self: entryOf("self", "s-1"), clock: func() time.Time { return now }})
	p.listsRead, p.listedAt = 1, now
	greet := func(listed bool, others ...peerEntry) {
		t.Helper()
		reply, err := p.serveGreet(t.Context(), greeting{Self: a, Others: []peerEntry{b}})
		if err != nil || reply.Self != p.settings.self || reply.Listed != listed {
			t.Fatalf("reply %+v, error %v, not listed %v", reply, err, listed)
		}
		expectEntries(t, reply.Others, others)
	}
	greet(true, a)
	now = now.Add(maxListAge)
	greet(true, a)
	now = now.Add(1)
	greet(false, a)
}
