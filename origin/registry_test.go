// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package origin_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/origin"
)

// unregistered returns the releases of service s that may not begin streams.
func unregistered(r *origin.Registry) []granitehoist.Release {
	releases, _ := r.Unregistered("s")
	return releases
}

var _ = Describe("A registry", func() {
	It("lets an announced release begin streams once it is registered, and tells that", func() {
		var registry origin.Registry
		Expect(registry.Announce("s", "v1")).To(BeTrue())
		releases, changed := registry.Unregistered("s")
		Expect(releases).To(ConsistOf(granitehoist.Release("v1")))
		Expect(changed).NotTo(BeClosed())
		registry.Register("s", "v1")
		Expect(changed).To(BeClosed())
		Expect(unregistered(&registry)).To(BeEmpty())
		Expect(registry.Announce("s", "v1")).To(BeFalse())
	})
	It("treats a release without a name like any other", func() {
		var registry origin.Registry
		Expect(registry.Announce("s", "")).To(BeTrue())
		registry.Register("s", "")
		Expect(registry.Announce("s", "v1")).To(BeTrue())
	})
	It("trusts a registration for some minutes after the last instance", func() {
		var registry origin.Registry
		registry.Register("s", "v1", "v2")
		Expect(registry.Sweep("s", []granitehoist.Release{"v2"}, start)).To(BeEmpty())
		Expect(registry.Sweep("s", []granitehoist.Release{"v2"}, start.Add(4*time.Minute))).To(BeEmpty())
		Expect(registry.Announce("s", "v1")).To(BeFalse())
		registry.Sweep("s", []granitehoist.Release{"v2"}, start.Add(5*time.Minute))
		registry.Sweep("s", []granitehoist.Release{"v2"}, start.Add(10*time.Minute))
		Expect(registry.Announce("s", "v1")).To(BeTrue())
	})
	It("records origins until the registration of a release that has gone may be deleted", func() {
		var registry origin.Registry
		registry.Register("s", "v1", "v2")
		announced := []granitehoist.Release{"v2"}
		registry.Sweep("s", announced, start)
		Expect(registry.Sweep("s", announced, start.Add(6*time.Minute))).To(BeEmpty())
		Expect(registry.IsMixed("s")).To(BeTrue())
		Expect(registry.Sweep("s", announced, start.Add(10*time.Minute))).To(ConsistOf(granitehoist.Release("v1")))
		Expect(registry.IsMixed("s")).To(BeFalse())
	})
	It("keeps the only release of a service without instances", func() {
		var registry origin.Registry
		registry.Register("s", "v1")
		registry.Sweep("s", nil, start)
		Expect(registry.Sweep("s", nil, start.Add(time.Hour))).To(BeEmpty())
		Expect(registry.Announce("s", "v1")).To(BeFalse())
	})
})
