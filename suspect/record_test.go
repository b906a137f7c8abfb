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
	It("survives JSON encoding and decoding", func() {
		table := newTable()
		crashInRounds(table, testDigest(1), testIncarnations(1, 3)...)
		raw, err := json.Marshal(table.Uncleared())
		Expect(err).NotTo(HaveOccurred())
		var records []suspect.Record
		Expect(json.Unmarshal(raw, &records)).To(Succeed())
		Expect(records).To(Equal(table.Uncleared()))
		Expect(records[0].Sufficient()).To(BeTrue())
	})

	DescribeTable("rejects an invalid digest", func(text string) {
		var d suspect.Digest
		Expect(d.UnmarshalText([]byte(text))).NotTo(Succeed())
	},
		Entry("empty", ""),
		Entry("too short", "00ff"),
		Entry("too long", strings.Repeat("0", 34)),
		Entry("not hexadecimal", strings.Repeat("x", 32)),
	)
})

var _ = Describe("A secret", func() {
	It("survives JSON encoding and decoding", func() {
		secret := suspect.NewSecret(strings.NewReader(strings.Repeat("s", 32)))
		raw, err := json.Marshal(secret)
		Expect(err).NotTo(HaveOccurred())
		var decoded suspect.Secret
		Expect(json.Unmarshal(raw, &decoded)).To(Succeed())
		Expect(decoded).To(Equal(secret))
	})

	DescribeTable("rejects invalid text without quoting it in the error", func(text string) {
		var s suspect.Secret
		Expect(s.UnmarshalText([]byte(text))).To(MatchError(Not(ContainSubstring("abcd"))))
	},
		Entry("too short", "abcd"),
		Entry("not hexadecimal", "abcd"+strings.Repeat("x", 60)),
	)
})

// FuzzRecords guards against panics, and evidence that cannot be cleared, after arbitrary
// records from other routers or the store.
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
		table.Merge(table.Uncleared(), start)
		for _, r := range records {
			table.RecordCrash(r.Digest, earlyCrash("i-9", table.Lookup(r.Digest, start)), start)
			table.RecordSuccess(r.Digest, start)
		}
		if table.HasSuspects() {
			t.Error("a request is still suspect after all succeeded")
		}
	})
}
