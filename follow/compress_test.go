// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow_test

import (
	"encoding/json"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/follow"
)

// routesDocument returns a configuration with count distinct routes.
func routesDocument(count int) []byte {
	var routes strings.Builder
	for i := range count {
		fmt.Fprintf(&routes, `{"name":"r-%x","hostname":"h%d.example","pathPrefix":"/p%d/","type":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priorityClass":1,"backend":"pool","maxAttempts":2,"streamResume":true},`, i*7919, i%13, i)
	}
	return []byte(routes.String())
}

var _ = Describe("A packed update", func() {
	sent := func(u follow.Update) []byte {
		GinkgoHelper()
		packed, err := follow.Pack(u)
		Expect(err).NotTo(HaveOccurred())
		raw, err := json.Marshal(packed)
		Expect(err).NotTo(HaveOccurred())
		return raw
	}
	received := func(raw []byte) (follow.Update, error) {
		var packed follow.PackedUpdate
		if err := json.Unmarshal(raw, &packed); err != nil {
			return follow.Update{}, err
		}
		return packed.Unpack()
	}
	update := func(value []byte) follow.Update {
		return follow.Update{
			Prefix: "op/", HasCopy: true, Complete: true, Version: 9,
			Entries: []granitehoist.Entry{{Key: "op/config", Version: 8, Value: value}, deletion("op/old", 9)},
		}
	}

	It("unpacks to the same update, large or small", func() {
		for _, value := range [][]byte{nil, []byte("small"), routesDocument(1000)} {
			u := update(value)
			got, err := received(sent(u))
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(u))
		}
	})

	It("transfers 1,640 routes in less than 0.1 s over a link of 10 Mbit/s", func() {
		const linkBytes = 10_000_000 / 8
		Expect(len(routesDocument(1640))).To(BeNumerically(">", linkBytes/5))
		Expect(len(sent(update(routesDocument(1640))))).To(BeNumerically("<", linkBytes/10))
	})

	It("is rejected if its entries cannot be decompressed", func() {
		_, err := received([]byte(`{"known":true,"at":3,"compressed":"bm90IHBhY2tlZA=="}`))
		Expect(err).To(HaveOccurred())
	})
})
