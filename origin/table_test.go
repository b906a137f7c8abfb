// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package origin_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/origin"
)

// start is the time at which the tests begin.
var start = time.Unix(1_700_000_000, 0)

// recordOf returns a record of a stream at a release, which is kept for a second.
func recordOf(id granitehoist.RequestID, release granitehoist.Release) origin.Record {
	return origin.Record{Stream: origin.Stream{Workspace: "w", Request: id}, Origin: origin.Origin{Service: "s", Release: release}, KeepMS: 1000}
}

var _ = Describe("A table", func() {
	It("knows a stream until its record expires", func() {
		var table origin.Table
		r := recordOf("q", "v1")
		Expect(table.Add(r, start)).To(BeTrue())
		found, known := table.Lookup(r.Stream, start.Add(999*time.Millisecond))
		Expect(known).To(BeTrue())
		Expect(found).To(Equal(r.Origin))
		_, known = table.Lookup(r.Stream, start.Add(time.Second))
		Expect(known).To(BeFalse())
		table.Sweep(start.Add(time.Second))
		Expect(table.Len()).To(BeZero())
	})
	It("does not mix the streams of two workspaces", func() {
		var table origin.Table
		r := recordOf("q", "v1")
		table.Add(r, start)
		other := r.Stream
		other.Workspace = "x"
		_, known := table.Lookup(other, start)
		Expect(known).To(BeFalse())
	})
	It("keeps a stream for as long as any of its records says", func() {
		var table origin.Table
		r := recordOf("q", "v1")
		table.Add(r, start)
		table.Merge([]origin.Record{r}, start.Add(500*time.Millisecond))
		_, known := table.Lookup(r.Stream, start.Add(1400*time.Millisecond))
		Expect(known).To(BeTrue())
	})
	It("returns its own records with the time for which they are needed", func() {
		var table origin.Table
		table.Add(recordOf("q", "v1"), start)
		table.Merge([]origin.Record{recordOf("other", "v1")}, start)
		own := table.Own(start.Add(400 * time.Millisecond))
		Expect(own).To(HaveLen(1))
		Expect(own[0].KeepMS).To(Equal(int64(600)))
	})
	It("drops records beyond its limit, unless others have expired", func() {
		var table origin.Table
		for i := range origin.MaxRecords {
			table.Add(recordOf(granitehoist.RequestID(fmt.Sprint(i)), "v1"), start)
		}
		Expect(table.Add(recordOf("more", "v1"), start)).To(BeFalse())
		Expect(table.Merge([]origin.Record{recordOf("more", "v1")}, start)).To(Equal(1))
		Expect(table.Add(recordOf("more", "v1"), start.Add(time.Second))).To(BeTrue())
	})
})

// TestTableNeverGuesses guards against a stream whose records name two releases and that
// goes on at one of them.
func TestTableNeverGuesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table origin.Table
		named := map[granitehoist.RequestID]map[granitehoist.Release]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			id := granitehoist.RequestID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"))
			release := granitehoist.Release(rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "release"))
			if rapid.Bool().Draw(t, "own") {
				table.Add(recordOf(id, release), start)
			} else {
				table.Merge([]origin.Record{recordOf(id, release)}, start)
			}
			if named[id] == nil {
				named[id] = map[granitehoist.Release]bool{}
			}
			named[id][release] = true
		}
		for id, releases := range named {
			found, known := table.Lookup(recordOf(id, "").Stream, start)
			if known != (len(releases) == 1) || (known && !releases[found.Release]) {
				t.Fatalf("%s: %v, found %q, %t", id, releases, found.Release, known)
			}
		}
	})
}

// BenchmarkTableAdd measures what the begin of a stream costs at a router that sends no
// record to others.
func BenchmarkTableAdd(b *testing.B) {
	var table origin.Table
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(20 * time.Millisecond)
		table.Add(recordOf(granitehoist.RequestID(fmt.Sprint(i)), "v1"), now)
		if i%1000 == 0 {
			table.Sweep(now)
		}
	}
}
