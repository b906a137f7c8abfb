// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package once

// ginkgo isn't imported with a dot, since its Done conflicts with this package's.
import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = ginkgo.Describe("checkBindable", func() {
	ginkgo.DescribeTable("returns the code for a stored record",
		func(version granitehoist.Version, record string, want granitehoist.Code) {
			e := granitehoist.Entry{Version: version, Value: []byte(record)}
			gomega.Expect(granitehoist.CodeOf(checkBindable(e))).To(gomega.Equal(want))
		},
		ginkgo.Entry("no record", granitehoist.Version(0), "", granitehoist.Served),
		ginkgo.Entry("free", granitehoist.Version(1), `{"state":"free"}`, granitehoist.Served),
		ginkgo.Entry("bound", granitehoist.Version(1), `{"state":"bound"}`, granitehoist.OnceUnsure),
		ginkgo.Entry("done", granitehoist.Version(1), `{"state":"done","status":200}`, granitehoist.AlreadyRun),
		ginkgo.Entry("unknown state", granitehoist.Version(1), `{"state":"other"}`, granitehoist.OnceUnsure),
		ginkgo.Entry("malformed record", granitehoist.Version(1), `?`, granitehoist.OnceUnsure),
	)
})
