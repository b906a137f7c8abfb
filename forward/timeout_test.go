// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.DescribeTable("The timeout of a request",
	func(route, caller, want time.Duration) {
		Expect(effectiveTimeout(route, caller)).To(Equal(want))
	},
	ginkgo.Entry("is 60 s if neither states one", time.Duration(0), time.Duration(0), 60*time.Second),
	ginkgo.Entry("is the route's if the caller states none", 5*time.Second, time.Duration(0), 5*time.Second),
	ginkgo.Entry("is the caller's if the route states none", time.Duration(0), 3*time.Second, 3*time.Second),
	ginkgo.Entry("is the caller's if that is shorter", 5*time.Second, 3*time.Second, 3*time.Second),
	ginkgo.Entry("is the route's if that is shorter", 5*time.Second, 8*time.Second, 5*time.Second),
	ginkgo.Entry("is never longer than 60 s", 100*time.Second, 90*time.Second, 60*time.Second),
	ginkgo.Entry("ignores negative values", -time.Second, -time.Second, 60*time.Second),
)
