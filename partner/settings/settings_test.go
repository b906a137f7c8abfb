// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package settings_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/settings"
)

const validSettings = `partner = "tuul"
region = "tuul"
place = "gachuurt"
box = "gachuurt-1"
store = "http://127.0.0.1:7000"
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
admin = "127.0.0.1:8082"
[[trust]]
partner = "tuul"
keys = ["aWlpaWlpaWlpaWlpaWlpaWlpaWlpaWlpaWlpaWlpaWk="]
[[split]]
partner = "tuul"
weigh = "refusals"
[limits]
drain = "90s"
`

var _ = Describe("Parse", func() {
	It("reads a valid file and fills in the defaults", func() {
		r, faults := settings.Parse("f", []byte(validSettings))
		Expect(faults).To(BeEmpty())
		Expect(time.Duration(r.Limits.DrainTimeout)).To(Equal(90 * time.Second))
		Expect(r.Limits.BodyBytes).To(Equal(int64(settings.DefaultBodyBytes)))
		trust, err := r.TrustedKeys()
		Expect(err).NotTo(HaveOccurred())
		Expect(trust["tuul"]).To(HaveLen(1))
		weighted := r.SplitOf(granitehoist.NewBudgetID("tuul", "w", "b"))
		unweighted := r.SplitOf(granitehoist.NewBudgetID("lima", "w", "b"))
		Expect(weighted.Cover).To(BeNumerically(">", unweighted.Cover))
	})

	DescribeTable("reports the file, line and key of a fault",
		func(old, changed, want string) {
			Expect(validSettings).To(ContainSubstring(old))
			_, faults := settings.Parse("f.toml", []byte(strings.Replace(validSettings, old, changed, 1)))
			Expect(faults.Error()).To(ContainSubstring(want))
		},
		Entry("unknown key", `[limits]`, "[limits]\ndrian = 1", "f.toml:17: limits.drian: no such key"),
		Entry("empty name", `box = "gachuurt-1"`, `box = ""`, "f.toml:4: box"),
		Entry("host name instead of an IP address", `"127.0.0.1:8081"`, `"localhost:8081"`, "f.toml:8: listen.peers"),
		Entry("store URL without a scheme", `"http://127.0.0.1:7000"`, `"7000"`, "f.toml:5: store"),
		Entry("invalid public key", `aWlp`, `?`, "f.toml:12: trust.keys"),
		Entry("unknown weighting", `"refusals"`, `"luck"`, "f.toml:15: split.weigh"),
		Entry("negative duration", `"90s"`, `"-90s"`, "f.toml:17: limits.drain"),
		Entry("invalid duration", `"90s"`, `"long"`, "f.toml:17: "),
		Entry("unknown log level", `[limits]`, "[log]\nlevel = \"loud\"\n[limits]", "f.toml:17: log.level"),
	)

	It("reports all faults at once", func() {
		invalid := strings.NewReplacer(`box = "gachuurt-1"`, `box = ""`, `"refusals"`, `"luck"`).Replace(validSettings)
		_, faults := settings.Parse("f", []byte(invalid))
		Expect(faults).To(HaveLen(2))
	})
})
