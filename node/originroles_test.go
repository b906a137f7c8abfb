// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pack"
	"granitehoist.example/granitehoist/origin"
	"granitehoist.example/granitehoist/standin"
)

// viewsOf returns the views of all nodes of a region.
func viewsOf(nodes int) []fleetView {
	var all []fleetView
	for i := range nodes {
		all = append(all, viewOf(nodes, i))
	}
	return all
}

// TestOriginReadersAgree guards against a node that asks others for an archived record than
// those that read its slot, and against slots that the nodes divide differently.
func TestOriginReadersAgree(t *testing.T) {
	for _, nodes := range []int{1, 6, 24, 25, 87, 183, 295} {
		views := viewsOf(nodes)
		slots := views[0].originSlots()
		if slots&(slots-1) != 0 || nodes <= nodesPerOriginSlot && slots != 1 {
			t.Errorf("%d slots of %d nodes", slots, nodes)
		}
		for slot := range origin.Slot(slots) {
			want := views[0].originReadersOf(slot)
			for _, v := range views {
				if got := v.originReadersOf(slot); !slices.Equal(got, want) || v.originSlots() != slots {
					t.Fatalf("%d nodes, slot %d: readers %v and %v", nodes, slot, got, want)
				}
			}
		}
	}
}

// TestOriginWritersShareTheWork guards against writers that write for most of the nodes, and
// against more of them than the calls to the store allow.
func TestOriginWritersShareTheWork(t *testing.T) {
	for _, nodes := range []int{1, 6, 22, 87, 183, 295} {
		served := map[granitehoist.Box]int{}
		for _, v := range viewsOf(nodes) {
			writers := v.originWriters()
			served[writers[0].Box]++
			if len(writers) > 1 && writers[0] == writers[1] {
				t.Errorf("%d nodes: writers %v", nodes, writers)
			}
		}
		if most := (nodes + nodesPerOriginWriter - 1) / nodesPerOriginWriter; len(served) > most {
			t.Errorf("%d writers for %d nodes, %d are allowed", len(served), nodes, most)
		}
		for box, count := range served {
			if count > 3*nodesPerOriginWriter {
				t.Errorf("%s writes for %d of %d nodes", box, count, nodes)
			}
		}
	}
}

// newTestWriter returns a writer of a single node.
func newTestWriter(store granitehoist.Store, clock granitehoist.Clock) *originWriter {
	return &originWriter{
		store: store, clock: clock, log: zap.NewNop(), incarnation: "box-0",
		peers:   newPeers(peersSettings{self: peerEntry{Box: "box-0"}}),
		ownWake: make(chan struct{}, 1), writeWake: make(chan struct{}, 1),
	}
}

// segmentOf returns a segment of a number of streams that began at a release.
func segmentOf(release granitehoist.Release, streams int, keep time.Duration) origin.Segment {
	var s origin.Segment
	for n := range streams {
		stream := origin.Stream{Workspace: "w", Request: granitehoist.RequestID(fmt.Sprint(release, n))}
		s.Add(origin.Record{Stream: stream, Origin: origin.Origin{Service: "pool", Release: release}, KeepMS: keep.Milliseconds()})
	}
	return s
}

// archivedKeys returns the number of keys of archived records.
func archivedKeys(t *testing.T, store granitehoist.Store) int {
	t.Helper()
	entries, _, err := store.List(context.Background(), originsPrefix)
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// TestArchivedRecordsExpire guards against records that the store loses while a stream needs
// them, and against records that stay after many releases.
func TestArchivedRecordsExpire(t *testing.T) {
	const releases, writes, keep = 200, 5, 40 * time.Second
	clock := &standin.Clock{}
	store := standin.NewStore(standin.StoreSettings{Clock: clock.Now})
	w := newTestWriter(store, clock.Now)
	for n := range releases {
		for range writes {
			if err := w.write(context.Background(), segmentOf(granitehoist.Release(fmt.Sprint("v", n)), 3, keep)); err != nil {
				t.Fatal(err)
			}
		}
		if n == 0 {
			clock.Suspend(keep - time.Second)
			if got := archivedKeys(t, store); got != writes {
				t.Errorf("%d keys of %d while streams need them", got, writes)
			}
		}
		clock.Suspend(10 * time.Second)
	}
	clock.Suspend(keep + archiveLeaseMargin)
	if got := archivedKeys(t, store); got != 0 {
		t.Errorf("%d keys are left after %d releases", got, releases)
	}
}

// TestArchiveSurvivesItsLease guards against records that are never written after the lease of
// earlier ones has ended.
func TestArchiveSurvivesItsLease(t *testing.T) {
	clock := &standin.Clock{}
	storeTime := &standin.Clock{}
	store := standin.NewStore(standin.StoreSettings{Clock: storeTime.Now})
	w := newTestWriter(store, clock.Now)
	records := segmentOf("v1", 3, time.Second)
	if err := w.write(context.Background(), records); err != nil {
		t.Fatal(err)
	}
	// The store's clock is ahead: the lease ends earlier than the writer believes.
	storeTime.Suspend(time.Hour)
	if err := w.write(context.Background(), records); err == nil {
		t.Error("a write under an ended lease succeeded")
	}
	if err := w.write(context.Background(), records); err != nil || archivedKeys(t, store) != 1 {
		t.Errorf("%v, %d keys", err, archivedKeys(t, store))
	}
}

// TestArchiveCost guards against an archive that costs nodes or the store more than they may
// spend.
func TestArchiveCost(t *testing.T) {
	const (
		streamsPerSecond = 45
		maxBytes         = 22_000
		maxWrites        = 1200 / 4
		// envelopeBytes are the bytes of a call and its response beside the records.
		envelopeBytes = 250
		// base64Numerator / base64Denominator is the growth of bytes in base64.
		base64Numerator, base64Denominator = 4, 3
	)
	for _, c := range []struct{ nodes, regions int }{{6, 1}, {22, 1}, {87, 3}, {295, 3}, {1100, 6}} {
		perRegion := c.nodes / c.regions
		v := viewOf(perRegion, 0)
		pace := v.originPace()
		interval, delay := pace.interval, pace.delay
		writers := (perRegion + nodesPerOriginWriter - 1) / nodesPerOriginWriter
		handed, err := json.Marshal(archiveParams{segmentOf("v1.2", int(streamsPerSecond*delay.Seconds())+1, 45*time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		sent := float64(len(handed)+envelopeBytes) / delay.Seconds()
		nodesOfWriter := (perRegion + writers - 1) / writers
		written := 0
		slots := v.originSlots()
		whole := segmentOf("v1.2", int(float64(nodesOfWriter*streamsPerSecond)*interval.Seconds()), 45*time.Second)
		for _, part := range whole.Split(slots) {
			value, err := pack.Pack(part)
			if err != nil {
				t.Fatal(err)
			}
			written += len(value)*base64Numerator/base64Denominator + envelopeBytes/2
		}
		wrote := float64(written+envelopeBytes) / interval.Seconds()
		writes := float64(writers*c.regions) / interval.Seconds()
		busiest := max(sent*float64(nodesOfWriter-1), wrote)
		t.Logf("%d nodes in %d regions: %.1f writes a second; a node sends %.1f KB/s, a writer (1 of %d) receives %.1f and sends %.1f KB/s", c.nodes, c.regions, writes, sent/1000, nodesOfWriter, sent*float64(nodesOfWriter-1)/1000, wrote/1000)
		if busiest > maxBytes {
			t.Errorf("%d nodes: %.0f bytes a second in one direction", c.nodes, busiest)
		}
		if writes > maxWrites {
			t.Errorf("%d nodes: %.0f writes a second", c.nodes, writes)
		}
	}
}
