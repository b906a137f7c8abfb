// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"granitehoist.example/granitehoist/suspect"
)

// partTable is a table with the crashes of requests with prompts, one a second.
type partTable struct {
	*suspect.Table
	now     time.Time
	crashed int
}

func newPartTable() *partTable {
	t := &partTable{Table: suspect.New(suspect.Settings{}), now: start}
	t.SetSecret(suspect.Secret{1})
	return t
}

// digests returns the digests of the parts of a prompt, each a letter.
func (t *partTable) digests(prompt string) []suspect.Digest {
	var ids []string
	for _, id := range prompt {
		ids = append(ids, string(id))
	}
	return t.PartDigests("pool", ids)
}

// crash records that an upstream crashed under a request with a prompt.
func (t *partTable) crash(prompt string, early bool) {
	t.now = t.now.Add(time.Second)
	t.crashed++
	t.crashOf(prompt, testIncarnation(t.crashed), early)
}

func (t *partTable) crashOf(prompt string, incarnation suspect.Incarnation, early bool) {
	parts := t.digests(prompt)
	known := t.LookupParts(parts, t.now)
	for i, part := range parts {
		o := suspect.Observation{Incarnation: incarnation, Kind: suspect.KindPart, With: parts, Early: early, Sent: t.now}
		if len(known.Parts) > 0 {
			o.Verdict = known.Parts[i]
		}
		t.RecordCrash(part, o, t.now)
	}
}

// succeed records that a request with a prompt succeeded.
func (t *partTable) succeed(prompt string) {
	var ids []string
	for _, id := range prompt {
		ids = append(ids, string(id))
	}
	t.RecordProven("pool", ids, t.now)
	for _, part := range t.digests(prompt) {
		t.RecordSuccess(part, t.now)
	}
}

// refuses reports whether a request with a prompt is refused.
func (t *partTable) refuses(prompt string) bool {
	return t.LookupParts(t.digests(prompt), t.now).Strongest.Refused
}

var _ = Describe("A part of prompts", func() {
	var t *partTable
	BeforeEach(func() { t = newPartTable() })

	It("is refused after three early rounds, whatever else the prompts have", func() {
		for _, prompt := range []string{"abx", "acx", "dx"} {
			Expect(t.refuses("ax")).To(BeFalse())
			t.crash(prompt, true)
		}
		for _, prompt := range []string{"abx", "x", "zx"} {
			Expect(t.refuses(prompt)).To(BeTrue(), prompt)
		}
		for _, prompt := range []string{"ab", "ac", "d", "z", ""} {
			Expect(t.refuses(prompt)).To(BeFalse(), prompt)
		}
	})
	It("is refused after six rounds of crashes in the middle of streams", func() {
		for range 5 {
			t.crash("ax", false)
			t.succeed("a")
		}
		Expect(t.refuses("ax")).To(BeFalse())
		t.crash("ax", false)
		Expect(t.refuses("ax")).To(BeTrue())
		Expect(t.refuses("a")).To(BeFalse())
	})
	It("that occurs beside the crashing one is not refused without it", func() {
		for range 8 {
			t.crash("abx", true)
		}
		Expect(t.refuses("abx")).To(BeTrue())
		Expect(t.refuses("ab")).To(BeFalse())
		Expect(t.refuses("bx")).To(BeFalse(), "no crash without a")
		t.succeed("a")
		Expect(t.refuses("bx")).To(BeTrue(), "a has succeeded since")
		Expect(t.refuses("x")).To(BeFalse(), "no crash without b")
		t.crash("x", true)
		Expect(t.refuses("x")).To(BeTrue())
		Expect(t.refuses("ab")).To(BeFalse())
	})
	It("is refused beside another one that crashes upstreams at the same time", func() {
		for n := range 8 {
			t.now = t.now.Add(200*time.Millisecond - time.Second)
			for _, part := range []string{"x", "y"} {
				if prompt := "a" + part; !t.refuses(prompt) {
					Expect(n).To(BeNumerically("<", 5), prompt)
					t.crash(prompt, true)
					t.now = t.now.Add(-time.Second)
				}
			}
			t.now = t.now.Add(time.Second)
			t.succeed("a")
		}
		Expect(t.refuses("ax")).To(BeTrue())
		Expect(t.refuses("ay")).To(BeTrue())
		Expect(t.refuses("a")).To(BeFalse())
	})
	It("in the first place is refused like any other", func() {
		for _, prompt := range []string{"xab", "xac", "xd"} {
			t.crash(prompt, true)
		}
		Expect(t.refuses("xe")).To(BeTrue())
		Expect(t.refuses("abc")).To(BeFalse())
	})
	It("comes free by a success", func() {
		for range 4 {
			t.crash("x", true)
		}
		t.succeed("x")
		Expect(t.refuses("x")).To(BeFalse())
	})
	It("that succeeded before is refused after six early rounds, and not held until then", func() {
		t.succeed("x")
		for range 5 {
			Expect(t.LookupParts(t.digests("x"), t.now).Strongest.Round).To(BeZero())
			t.crash("x", true)
		}
		Expect(t.refuses("x")).To(BeFalse())
		Expect(t.LookupParts(t.digests("x"), t.now).Strongest.Hold).To(BeNumerically(">", 0))
		t.crash("x", true)
		Expect(t.refuses("x")).To(BeTrue())
	})
	It("counts as one that succeeded if another router says so", func() {
		other := newPartTable()
		other.succeed("x")
		other.crash("x", true)
		records, _ := other.ObservedAfter(0)
		t.Merge(records, t.now)
		for range 4 {
			t.crash("x", true)
		}
		Expect(t.refuses("x")).To(BeFalse())
	})
	It("is refused by evidence of several routers", func() {
		other := newPartTable()
		other.crash("abx", true)
		other.crash("acx", true)
		records, _ := other.ObservedAfter(0)
		t.Merge(records, other.now)
		t.now, t.crashed = other.now, other.crashed
		t.crash("dx", true)
		Expect(t.refuses("x")).To(BeTrue())
		Expect(t.refuses("a")).To(BeFalse())
	})
	It("is accused by what all requests on a crashed upstream have in common", func() {
		t.now = t.now.Add(time.Second)
		t.crashOf("ax", testIncarnation(100), true)
		t.crashOf("bx", testIncarnation(100), true)
		for range 2 {
			t.crash("abx", true)
		}
		Expect(t.refuses("x")).To(BeTrue())
	})
	It("stays refused when no more crashes that nothing explains become known than it has", func() {
		for range 3 {
			t.now = t.now.Add(200*time.Millisecond - time.Second)
			t.crash("ax", true)
		}
		for unrelated := range 3 {
			t.RecordDown(testIncarnation(100+unrelated), t.now)
		}
		t.Merge(nil, t.now)
		Expect(t.refuses("ax")).To(BeTrue())
	})
	It("is not refused for losses of power that it has a small part in", func() {
		for loss := range 8 {
			for n := range 4 {
				t.RecordDown(testIncarnation(100+10*loss+n), t.now.Add(time.Second-20*time.Millisecond))
			}
			t.crash("ax", true)
			Expect(t.refuses("ax")).To(BeFalse())
		}
	})
	It("of another service is another part", func() {
		for range 4 {
			t.crash("x", true)
		}
		Expect(t.LookupParts(t.PartDigests("desk", []string{"x"}), t.now).Strongest.Refused).To(BeFalse())
	})
	It("is left out beyond the limit, and a repeated one counts once", func() {
		var many []string
		for n := range 2 * suspect.MaxParts {
			many = append(many, fmt.Sprint(n))
		}
		Expect(t.PartDigests("pool", many)).To(HaveLen(suspect.MaxParts))
		Expect(t.digests("aab")).To(HaveLen(2))
	})
	It("is stored with its evidence", func() {
		for _, prompt := range []string{"ax", "bx", "cx"} {
			t.crash(prompt, true)
		}
		records, _ := t.ObservedAfter(0)
		raw, err := json.Marshal(records)
		Expect(err).NotTo(HaveOccurred())
		var read []suspect.Record
		Expect(json.Unmarshal(raw, &read)).To(Succeed())
		restarted := newPartTable()
		restarted.now = t.now
		for _, r := range read {
			Expect(r.Part).To(BeTrue())
			if r.Sufficient() {
				restarted.Merge([]suspect.Record{r}, restarted.now)
			}
		}
		Expect(restarted.refuses("dx")).To(BeTrue())
		Expect(restarted.refuses("a")).To(BeFalse())
	})
})

// TestInnocentPartsAreServed guards against refusals of prompts without the part that
// crashes upstreams, whatever parts they share with those that have it.
func TestInnocentPartsAreServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newPartTable()
		prompt := func(name string) string {
			text := ""
			for _, id := range "abcd" {
				if rapid.Bool().Draw(t, name+string(id)) {
					text += string(id)
				}
			}
			return text
		}
		reached := 0
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			text := prompt("part ")
			table.now = table.now.Add(time.Second)
			if !rapid.Bool().Draw(t, "crashing") {
				if table.refuses(text) {
					t.Fatalf("a request with %q is refused", text)
				}
				table.succeed(text)
				continue
			}
			if !table.refuses(text + "x") {
				reached++
				table.crash(text+"x", true)
			}
		}
		// Requests with parts that no crashed one lacks may reach an upstream each.
		if reached > 3+4 {
			t.Fatalf("%d requests with x reached an upstream", reached)
		}
	})
}

// BenchmarkLookupParts measures the check of a prompt with four parts while one of them is
// refused.
func BenchmarkLookupParts(b *testing.B) {
	table := newPartTable()
	for range 3 {
		table.crash("abcx", true)
	}
	parts := table.digests("abcd")
	b.ReportAllocs()
	for b.Loop() {
		table.LookupParts(parts, table.now)
	}
}

// BenchmarkPartDigests measures the digests of four parts.
func BenchmarkPartDigests(b *testing.B) {
	table := newPartTable()
	ids := []string{"a", "b", "c", "d"}
	for b.Loop() {
		table.PartDigests("pool", ids)
	}
}

// BenchmarkRecordProven measures what each success costs.
func BenchmarkRecordProven(b *testing.B) {
	table := newPartTable()
	ids := []string{"a", "b", "c", "d"}
	for b.Loop() {
		table.RecordProven("pool", ids, start)
	}
}
