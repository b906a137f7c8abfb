// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/suspect"
)

var _ = Describe("A record", func() {
	It("is the same after a message", func() {
		table := newTable()
		crashAgain(table, numbered(1), lives(1, 3)...)
		raw, err := json.Marshal(table.Open())
		Expect(err).NotTo(HaveOccurred())
		var records []suspect.Record
		Expect(json.Unmarshal(raw, &records)).To(Succeed())
		Expect(records).To(Equal(table.Open()))
		Expect(records[0].Enough()).To(BeTrue())
	})

	DescribeTable("whose digest can't be read is an error", func(text string) {
		var d suspect.Digest
		Expect(d.UnmarshalText([]byte(text))).NotTo(Succeed())
	},
		Entry("empty", ""),
		Entry("too short", "00ff"),
		Entry("too long", strings.Repeat("0", 34)),
		Entry("no number", strings.Repeat("x", 32)),
	)
})

var _ = Describe("A secret", func() {
	It("is the same after it was kept", func() {
		secret := suspect.NewSecret(strings.NewReader(strings.Repeat("s", 32)))
		raw, err := json.Marshal(secret)
		Expect(err).NotTo(HaveOccurred())
		var kept suspect.Secret
		Expect(json.Unmarshal(raw, &kept)).To(Succeed())
		Expect(kept).To(Equal(secret))
	})

	DescribeTable("that can't be read is an error that does not tell it", func(text string) {
		var s suspect.Secret
		Expect(s.UnmarshalText([]byte(text))).To(MatchError(Not(ContainSubstring("abcd"))))
	},
		Entry("too short", "abcd"),
		Entry("no number", "abcd"+strings.Repeat("x", 60)),
	)
})

// FuzzRecords holds that nothing that a neighbour or the store says stops a router.
func FuzzRecords(f *testing.F) {
	f.Add([]byte(`[{"digest":"00000000000000000000000000000001","crashes":[{"life":"i-1","round":1}]}]`))
	f.Add([]byte(`[{"digest":"00000000000000000000000000000001","crashes":[{"life":"i-1","round":9223372036854775807,"cleared":true}]},{}]`))
	f.Add([]byte(`[null,{"crashes":null}]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var records []suspect.Record
		if json.Unmarshal(raw, &records) != nil {
			return
		}
		table := newTable()
		table.Merge(records, start)
		table.Merge(table.Open(), start)
		for _, r := range records {
			table.NoteCrash(r.Digest, early("i-9", table.Lookup(r.Digest, start)), start)
			table.NoteSuccess(r.Digest, start)
		}
		if table.Any() {
			t.Error("a request is suspect after all were answered")
		}
	})
}
