// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"granitehoist.example/granitehoist/suspect"
)

var start = time.Unix(1_000_000, 0)

// numbered returns a digest that differs for each number.
func numbered(n int) suspect.Digest {
	var d suspect.Digest
	binary.BigEndian.PutUint64(d[:], uint64(n)+1)
	return d
}

func life(n int) suspect.Life { return suspect.LifeOf("i-", int64(n)+1) }

// early returns the observation of an early end.
func early(l suspect.Life, known suspect.Verdict) suspect.Observation {
	return suspect.Observation{Life: l, Known: known, Early: true}
}

// settled returns a verdict as a router has it that sends the request once it need not be
// held any more.
func settled(v suspect.Verdict) suspect.Verdict {
	v.Hold = 0
	return v
}

// crashAgain notes early ends of a request one after the other, each known before the next
// and the request held in between.
func crashAgain(t *suspect.Table, d suspect.Digest, lives ...suspect.Life) suspect.Verdict {
	var v suspect.Verdict
	for _, l := range lives {
		v = t.NoteCrash(d, early(l, settled(t.Lookup(d, start))), start)
	}
	return v
}

func lives(from, to int) []suspect.Life {
	var all []suspect.Life
	for n := from; n <= to; n++ {
		all = append(all, life(n))
	}
	return all
}

var _ = Describe("A request under which upstreams crashed", func() {
	var table *suspect.Table
	guilty := numbered(0)
	look := func(after time.Duration) suspect.Verdict { return table.Lookup(guilty, start.Add(after)) }

	BeforeEach(func() { table = suspect.New(suspect.Settings{}) })

	It("is refused in the third round of early crashes", func() {
		Expect(crashAgain(table, guilty, lives(1, 2)...)).To(Equal(suspect.Verdict{Round: 2, Early: 2, Crashes: 2, Hold: suspect.SettleTime}))
		Expect(crashAgain(table, guilty, life(3))).To(Equal(suspect.Verdict{Round: 3, Early: 3, Crashes: 3, Hold: suspect.SettleTime, Refused: true, Left: suspect.DefaultBlock}))
		Expect(look(time.Minute).Left).To(Equal(suspect.DefaultBlock - time.Minute))
	})

	It("is refused in the fifth round if a part of the answer had arrived each time", func() {
		at := func(n int) time.Duration { return time.Duration(n) * suspect.SettleTime }
		for n := range 4 {
			table.NoteCrash(guilty, suspect.Observation{Life: life(n), Known: look(at(n))}, start.Add(at(n)))
		}
		Expect(look(at(3))).To(Equal(suspect.Verdict{Round: 4, Crashes: 4, Hold: suspect.SettleTime}))
		Expect(table.NoteCrash(guilty, suspect.Observation{Life: life(5), Known: look(at(4))}, start.Add(at(4))).Refused).To(BeTrue())
	})

	It("is not refused though it ran on fifteen that lost power together", func() {
		for _, l := range lives(1, 15) {
			table.NoteCrash(guilty, early(l, suspect.Verdict{}), start)
		}
		Expect(look(0).Round).To(Equal(1))
		Expect(look(0).Refused).To(BeFalse())
	})

	It("is not refused though it was sent again at once to fifteen more of the same loss", func() {
		for _, l := range lives(1, 3) {
			table.NoteCrash(guilty, early(l, suspect.Verdict{}), start)
		}
		for n, l := range lives(4, 18) {
			now := start.Add(time.Duration(n) * time.Millisecond)
			table.NoteCrash(guilty, early(l, look(now.Sub(start))), now)
		}
		Expect(look(0).Round).To(Equal(1))
		Expect(look(0).Refused).To(BeFalse())
	})

	It("is not refused after losses of many upstreams, though it has not succeeded between them", func() {
		for loss := range 4 {
			at := time.Duration(loss) * time.Second
			known := look(at)
			for n, l := range lives(10*loss+1, 10*loss+6) {
				now := start.Add(at + time.Duration(n)*time.Millisecond)
				innocent := numbered(100*loss + n)
				table.NoteCrash(innocent, early(l, suspect.Verdict{}), now)
				if n%3 == 0 {
					table.NoteCrash(guilty, early(l, known), now)
				}
			}
			Expect(look(at + suspect.SettleTime).Round).To(BeNumerically("<=", 1))
		}
	})

	It("stays refused at a router that learns of all its crashes at once, and of other crashes later", func() {
		crashAgain(table, guilty, lives(1, 3)...)
		other := suspect.New(suspect.Settings{})
		other.Merge(table.Open(), start)
		other.NoteCrash(numbered(1), early(life(9), suspect.Verdict{}), start.Add(time.Millisecond))
		Expect(other.Lookup(guilty, start.Add(time.Second)).Refused).To(BeTrue())
		later := start.Add(time.Minute)
		other.Sweep(later)
		other.Merge(table.Open(), later)
		other.NoteCrash(numbered(2), early(life(10), suspect.Verdict{}), later)
		Expect(other.Lookup(guilty, later).Refused).To(BeTrue())
	})

	It("is held after each round, until what made upstreams crash is over", func() {
		crashAgain(table, guilty, life(1))
		Expect(look(0).Hold).To(Equal(suspect.SettleTime))
		Expect(look(suspect.SettleTime - 1).Hold).To(BeEquivalentTo(1))
		Expect(look(suspect.SettleTime).Hold).To(BeZero())
	})

	It("is not blamed for an upstream that had crashed before, under any request", func() {
		crashAgain(table, numbered(1), life(1))
		o := early(life(1), suspect.Verdict{})
		o.Sent = start.Add(time.Millisecond)
		Expect(table.NoteCrash(guilty, o, start.Add(2*time.Millisecond))).To(BeZero())
		o.Sent = start
		Expect(table.NoteCrash(guilty, o, start.Add(2*time.Millisecond)).Round).To(Equal(1))
	})

	It("is refused after two rounds of many crashes", func() {
		for _, l := range lives(1, 3) {
			table.NoteCrash(guilty, early(l, suspect.Verdict{}), start)
		}
		known, now := look(suspect.SettleTime), start.Add(suspect.SettleTime)
		for _, l := range lives(4, 5) {
			Expect(table.NoteCrash(guilty, early(l, known), now).Refused).To(BeFalse())
		}
		Expect(table.NoteCrash(guilty, early(life(6), known), now).Refused).To(BeTrue())
	})

	It("is cleared by one success, and begins anew with the next crash", func() {
		crashAgain(table, guilty, lives(1, 3)...)
		table.NoteSuccess(guilty, start)
		Expect(look(0)).To(BeZero())
		Expect(table.Any()).To(BeFalse())
		Expect(crashAgain(table, guilty, life(4))).To(Equal(suspect.Verdict{Round: 1, Early: 1, Crashes: 1, Hold: suspect.SettleTime}))
	})

	It("stays cleared when a late message has the same crashes", func() {
		other := suspect.New(suspect.Settings{})
		crashAgain(other, guilty, lives(1, 3)...)
		late := other.Open()
		crashAgain(table, guilty, lives(1, 3)...)
		table.NoteSuccess(guilty, start)
		table.Merge(late, start)
		Expect(look(0)).To(BeZero())
	})

	It("counts a crash once, however often it is reported", func() {
		for range 5 {
			crashAgain(table, guilty, life(1))
		}
		Expect(look(0).Crashes).To(Equal(1))
		Expect(suspect.LifeOf("i-1", 0)).To(Equal(suspect.LifeOf("i-1", 0)))
		Expect(suspect.LifeOf("i-1", 7)).NotTo(Equal(suspect.LifeOf("i-1", 8)))
	})

	It("is tried again after its block, and refused after one more crash", func() {
		crashAgain(table, guilty, lives(1, 3)...)
		later := start.Add(suspect.DefaultBlock)
		v := table.Lookup(guilty, later)
		Expect(v.Refused).To(BeFalse())
		Expect(v.Round).To(Equal(3))
		Expect(table.NoteCrash(guilty, early(life(4), v), later).Left).To(Equal(suspect.DefaultBlock))
	})

	It("is forgotten after a while", func() {
		crashAgain(table, guilty, lives(1, 3)...)
		table.Sweep(start.Add(suspect.DefaultMemory))
		Expect(table.Any()).To(BeTrue())
		table.Sweep(start.Add(suspect.DefaultMemory + 1))
		Expect(table.Any()).To(BeFalse())
	})

	It("is told apart from others that ran beside it", func() {
		innocent := numbered(1)
		crashAgain(table, guilty, life(1))
		crashAgain(table, innocent, life(1))
		table.NoteSuccess(innocent, start)
		Expect(crashAgain(table, guilty, lives(2, 3)...).Refused).To(BeTrue())
		Expect(table.Lookup(innocent, start)).To(BeZero())
		suspects, refused := table.Counts(start)
		Expect([]int{suspects, refused}).To(Equal([]int{1, 1}))
	})
})

var _ = Describe("A flood of suspects", func() {
	const room = 64

	It("takes bounded room, and evicts no request of a higher round", func() {
		table := suspect.New(suspect.Settings{Max: room})
		guilty := numbered(0)
		crashAgain(table, guilty, lives(1, 2)...)
		for n := 1; n <= 10*room; n++ {
			now := start.Add(time.Duration(n) * time.Millisecond)
			table.NoteCrash(numbered(n), early(life(1), suspect.Verdict{}), now)
		}
		suspects, _ := table.Counts(start)
		Expect(suspects).To(BeNumerically("~", room, room/10))
		Expect(table.Lookup(guilty, start).Round).To(Equal(2))
		Expect(table.Lookup(numbered(10*room), start).Round).To(Equal(1))
	})

	It("is sent in messages of bounded size, the oldest first", func() {
		table := suspect.New(suspect.Settings{})
		const count = 2*suspect.MaxRecords + 5
		for n := range count {
			table.NoteCrash(numbered(n), early(life(1), suspect.Verdict{}), start)
		}
		var told []suspect.Record
		version := uint64(0)
		for range 3 {
			var records []suspect.Record
			records, version = table.ObservedAfter(version)
			Expect(len(records)).To(BeNumerically("<=", suspect.MaxRecords))
			told = append(told, records...)
		}
		Expect(told).To(HaveLen(count))
		Expect(told[0].Digest).To(Equal(numbered(0)))
		rest, _ := table.ObservedAfter(version)
		Expect(rest).To(BeEmpty())
		Expect(table.Open()).To(HaveLen(suspect.MaxRecords))
	})

	It("is sent to a newcomer with the highest rounds first", func() {
		table := suspect.New(suspect.Settings{})
		for n := range suspect.MaxRecords {
			table.NoteCrash(numbered(n), early(life(1), suspect.Verdict{}), start.Add(time.Hour))
		}
		guilty := numbered(1000)
		crashAgain(table, guilty, lives(1, 3)...)
		Expect(table.Open()[0].Digest).To(Equal(guilty))
	})
})

var _ = Describe("The record of another router", func() {
	It("is not passed on as an observation of this one", func() {
		table := suspect.New(suspect.Settings{})
		table.Merge([]suspect.Record{{Digest: numbered(1), Crashes: []suspect.Crash{{Life: "i-1", Round: 1}}}}, start)
		Expect(table.Any()).To(BeTrue())
		records, _ := table.ObservedAfter(0)
		Expect(records).To(BeEmpty())
	})

	DescribeTable("is ignored if no router can have sent it", func(ends ...suspect.Crash) {
		table := suspect.New(suspect.Settings{})
		table.Merge([]suspect.Record{{Digest: numbered(1), Crashes: ends}}, start)
		Expect(table.Any()).To(BeFalse())
	},
		Entry("no end"),
		Entry("no life", suspect.Crash{Round: 3}),
		Entry("no round", suspect.Crash{Life: "i-1"}),
		Entry("a negative round", suspect.Crash{Life: "i-1", Round: -3}),
		Entry("more early rounds than rounds", suspect.Crash{Life: "i-1", Round: 1, Early: 3}),
		Entry("a negative early round", suspect.Crash{Life: "i-1", Round: 1, Early: -1}),
	)
})

// TestEvidenceOfManyRouters plays random ends, answers and messages between routers,
// in any order, some of them lost or told twice, and holds that all routers think the
// same once each has heard of all.
func TestEvidenceOfManyRouters(t *testing.T) {
	const routers, digests = 4, 3
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*suspect.Table, routers)
		for i := range tables {
			tables[i] = suspect.New(suspect.Settings{})
		}
		// No more ends than a record holds: beyond that routers keep the latest rounds.
		for n := range rapid.IntRange(1, 8).Draw(t, "steps") {
			table := tables[rapid.IntRange(0, routers-1).Draw(t, "router")]
			d := numbered(rapid.IntRange(0, digests-1).Draw(t, "digest"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				table.NoteSuccess(d, start)
			case 1:
				other := tables[rapid.IntRange(0, routers-1).Draw(t, "other")]
				records, _ := other.ObservedAfter(0)
				table.Merge(records, start)
			default:
				table.NoteCrash(d, suspect.Observation{Life: life(n), Known: table.Lookup(d, start), Early: n%2 == 0}, start)
			}
		}
		for range 2 {
			for _, from := range tables {
				records, _ := from.ObservedAfter(0)
				for _, to := range tables {
					to.Merge(records, start)
				}
			}
		}
		for d := range digests {
			want := tables[0].Lookup(numbered(d), start)
			for i, table := range tables {
				if got := table.Lookup(numbered(d), start); got != want {
					t.Fatalf("router %d thinks %+v of digest %d, router 0 %+v", i, got, d, want)
				}
			}
		}
	})
}

// TestTableInUse uses a table from many goroutines, for the race detector.
func TestTableInUse(t *testing.T) {
	table := suspect.New(suspect.Settings{Max: 32})
	var users sync.WaitGroup
	for seed := range uint64(8) {
		users.Go(func() {
			random := rand.New(rand.NewPCG(seed, 1))
			for n := range 500 {
				d := numbered(random.IntN(100))
				table.NoteCrash(d, early(suspect.Life(fmt.Sprint(n)), table.Lookup(d, start)), start)
				if random.IntN(2) == 0 {
					table.NoteSuccess(d, start)
				}
				records, _ := table.ObservedAfter(0)
				table.Merge(records, start)
				table.Counts(start)
			}
		})
	}
	users.Wait()
	for n := range 100 {
		table.NoteSuccess(numbered(n), start)
	}
	if table.Any() {
		t.Error("a request is suspect after all were answered")
	}
}

func BenchmarkLook(b *testing.B) {
	table := suspect.New(suspect.Settings{})
	for n := range suspect.DefaultMax {
		table.NoteCrash(numbered(n), early(life(1), suspect.Verdict{}), start)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Lookup(numbered(7), start)
	}
}

func BenchmarkAnyWithoutSuspects(b *testing.B) {
	table := suspect.New(suspect.Settings{})
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if table.Any() {
				b.Error("a suspect")
			}
		}
	})
}

func BenchmarkNoteCrashInFullTable(b *testing.B) {
	table := suspect.New(suspect.Settings{})
	n := 0
	for ; n < suspect.DefaultMax; n++ {
		table.NoteCrash(numbered(n), early(life(1), suspect.Verdict{}), start)
	}
	b.ReportAllocs()
	for b.Loop() {
		n++
		table.NoteCrash(numbered(n), early(life(1), suspect.Verdict{}), start)
	}
}
