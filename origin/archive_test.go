// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package origin_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/origin"
)

// archivedStream returns the n-th stream, and its record at a release.
func archivedStream(n int, release granitehoist.Release) (origin.Stream, origin.Record) {
	s := origin.Stream{Workspace: "w", Request: granitehoist.RequestID(fmt.Sprint("q-", n))}
	return s, origin.Record{Stream: s, Origin: origin.Origin{Service: "pool", Release: release}, KeepMS: 30_000}
}

var _ = Describe("An archive", func() {
	const streams = 500
	now := time.Now()
	releaseOf := func(n int) granitehoist.Release { return granitehoist.Release(fmt.Sprint("v", n%3)) }
	segment := func() origin.Segment {
		var s origin.Segment
		for n := range streams {
			_, record := archivedStream(n, releaseOf(n))
			s.Add(record)
		}
		return s
	}

	It("knows the origin of each stream of its segments, and of no other", func() {
		var archive origin.Archive
		whole := segment()
		Expect(whole.Len()).To(Equal(streams))
		for slot, part := range whole.Split(8) {
			raw, err := json.Marshal(part)
			Expect(err).NotTo(HaveOccurred())
			var read origin.Segment
			Expect(json.Unmarshal(raw, &read)).To(Succeed())
			for n := range streams {
				s, _ := archivedStream(n, "")
				if _, known := archive.Lookup(s, now); known {
					Expect(origin.FingerprintOf(s).Slot(8)).NotTo(Equal(slot))
				}
			}
			dropped, err := archive.Add(read, now)
			Expect(err).NotTo(HaveOccurred())
			Expect(dropped).To(BeZero())
		}
		for n := range streams {
			s, record := archivedStream(n, releaseOf(n))
			found, known := archive.Lookup(s, now)
			Expect(known).To(BeTrue())
			Expect(found).To(Equal(record.Origin))
		}
		s, _ := archivedStream(streams, "")
		_, known := archive.Lookup(s, now)
		Expect(known).To(BeFalse())
	})

	It("tells apart streams whose workspaces and requests are alike when joined", func() {
		a := origin.FingerprintOf(origin.Stream{Workspace: "ab", Request: "c"})
		Expect(origin.FingerprintOf(origin.Stream{Workspace: "a", Request: "bc"})).NotTo(Equal(a))
	})

	It("doesn't know a stream whose records contradict each other, whichever comes first", func() {
		for _, order := range [][]granitehoist.Release{{"v1", "v2"}, {"v2", "v1"}, {"v1", "v2", "v1"}} {
			var archive origin.Archive
			stream, _ := archivedStream(1, "")
			for _, release := range order {
				var s origin.Segment
				_, record := archivedStream(1, release)
				s.Add(record)
				_, err := archive.Add(s, now)
				Expect(err).NotTo(HaveOccurred())
			}
			_, known := archive.Lookup(stream, now)
			Expect(known).To(BeFalse())
		}
	})

	It("forgets records that are no longer needed", func() {
		var archive origin.Archive
		_, err := archive.Add(segment(), now)
		Expect(err).NotTo(HaveOccurred())
		stream, _ := archivedStream(1, "")
		later := now.Add(30 * time.Second)
		_, known := archive.Lookup(stream, later)
		Expect(known).To(BeFalse())
		archive.Sweep(later)
		Expect(archive.Len()).To(BeZero())
	})

	It("holds MaxArchived records at most", func() {
		var archive origin.Archive
		var s origin.Segment
		s.Groups = []origin.SegmentGroup{{Streams: make([]byte, (origin.MaxArchived+3)*origin.FingerprintBytes)}}
		s.KeepMS = 1000
		for i := range origin.MaxArchived + 3 {
			copy(s.Groups[0].Streams[i*origin.FingerprintBytes:], fmt.Sprintf("%011d", i))
		}
		dropped, err := archive.Add(s, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(dropped).To(Equal(3))
	})

	It("adds nothing of a segment that is cut", func() {
		cut := origin.Segment{Groups: []origin.SegmentGroup{{Streams: make([]byte, 2*origin.FingerprintBytes)}, {Streams: make([]byte, 5)}}}
		var archive origin.Archive
		_, err := archive.Add(cut, now)
		Expect(err).To(HaveOccurred())
		Expect(archive.Len()).To(BeZero())
		var merged origin.Segment
		Expect(merged.Merge(cut)).NotTo(Succeed())
		Expect(merged.Len()).To(BeZero())
	})
})

// FuzzSegment guards against a segment from the store or another router that makes an archive
// panic, or know a stream that the segment lacks.
func FuzzSegment(f *testing.F) {
	f.Add([]byte(`{"groups":[{"service":"pool","release":"v1","streams":"AAAAAAAAAAAAAAAA"}],"keep_ms":1000}`))
	f.Add([]byte(`{"groups":[{"streams":"AAAA"}],"keep_ms":-1}`))
	now := time.Now()
	f.Fuzz(func(t *testing.T, raw []byte) {
		var s origin.Segment
		if json.Unmarshal(raw, &s) != nil {
			return
		}
		var archive origin.Archive
		if _, err := archive.Add(s, now); err != nil {
			return
		}
		if stream, _ := archivedStream(1, ""); s.Len() == 0 {
			if _, known := archive.Lookup(stream, now); known {
				t.Error("an empty segment has a stream")
			}
		}
		parts := 0
		for _, part := range s.Split(16) {
			parts += part.Len()
		}
		if parts != s.Len() {
			t.Errorf("%d records in the parts of %d", parts, s.Len())
		}
	})
}

func BenchmarkSegmentAdd(b *testing.B) {
	_, record := archivedStream(1, "v1")
	b.ReportAllocs()
	var s origin.Segment
	for b.Loop() {
		if s.Len() >= 1000 {
			s = origin.Segment{}
		}
		s.Add(record)
	}
}
