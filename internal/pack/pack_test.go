// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package pack_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/internal/pack"
	"granitehoist.example/granitehoist/internal/readlimit"
)

// stepTimeout bounds each wait of a test.
const stepTimeout = 20 * time.Second

func TestPack(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(stepTimeout)
	RunSpecs(t, "pack")
}

type record struct {
	Names []string `json:"names"`
}

func sample(n int) record {
	var r record
	for i := range n {
		r.Names = append(r.Names, fmt.Sprint("name-", i*7919))
	}
	return r
}

var _ = Describe("Pack", func() {
	It("round-trips a value in fewer bytes", func() {
		packed, err := pack.Pack(sample(1000))
		Expect(err).NotTo(HaveOccurred())
		var unpacked record
		Expect(pack.Unpack(packed, &unpacked)).To(Succeed())
		Expect(unpacked).To(Equal(sample(1000)))
		Expect(len(packed)).To(BeNumerically("<", len(strings.Join(unpacked.Names, ""))))
	})

	It("is deterministic", func() {
		a, _ := pack.Pack(sample(10))
		b, _ := pack.Pack(sample(10))
		Expect(a).To(Equal(b))
	})

	DescribeTable("rejects",
		func(raw []byte) {
			var unpacked record
			Expect(pack.Unpack(raw, &unpacked)).NotTo(Succeed())
		},
		Entry("empty input", []byte{}),
		Entry("plain JSON", []byte(`{"names":[]}`)),
		Entry("a truncated frame", truncated()),
	)

	It("round-trips messages", func() {
		m, err := pack.NewMessage(sample(3))
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Value()).To(Equal(sample(3)))
		_, err = pack.Message[record]{}.Value()
		Expect(err).To(HaveOccurred())
	})
})

// TestUnpackBounds guards against routers that run out of memory beside another router or a
// store with records that are far larger than their compressed form.
func TestUnpackBounds(t *testing.T) {
	t.Run("a record above the maximum", func(t *testing.T) {
		packed, err := pack.Pack(strings.Repeat("x", 64<<20))
		if err != nil {
			t.Fatal(err)
		}
		var text string
		if err := pack.Unpack(packed, &text); err == nil {
			t.Fatalf("%d bytes became %d", len(packed), len(text))
		}
	})
	t.Run("many large records at once", func(t *testing.T) {
		packed, err := pack.Pack(strings.Repeat("x", 20<<20))
		if err != nil {
			t.Fatal(err)
		}
		var unpacking sync.WaitGroup
		var unpacked, refused atomic.Int64
		for range 16 {
			unpacking.Go(func() {
				var text string
				switch err := pack.Unpack(packed, &text); {
				case err == nil:
					unpacked.Add(1)
				case readlimit.Of(err) != nil:
					refused.Add(1)
				default:
					t.Error(err)
				}
			})
		}
		unpacking.Wait()
		if unpacked.Load() == 0 || refused.Load() == 0 {
			t.Fatalf("%d records were unpacked, %d refused", unpacked.Load(), refused.Load())
		}
	})
	t.Run("many small records at once", func(t *testing.T) {
		var unpacking sync.WaitGroup
		for i := range 200 {
			unpacking.Go(func() {
				packed, err := pack.Pack(sample(i))
				var r record
				if err == nil {
					err = pack.Unpack(packed, &r)
				}
				if err != nil {
					t.Error(err)
				}
			})
		}
		unpacking.Wait()
	})
}

func truncated() []byte {
	packed, _ := pack.Pack(sample(100))
	return packed[:len(packed)/2]
}

// BenchmarkPack packs and unpacks a small and a large record.
func BenchmarkPack(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprintf("names=%d", n), func(b *testing.B) {
			r := sample(n)
			b.ReportAllocs()
			for b.Loop() {
				packed, err := pack.Pack(r)
				if err != nil {
					b.Fatal(err)
				}
				var unpacked record
				if err := pack.Unpack(packed, &unpacked); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
