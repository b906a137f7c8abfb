// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package once

// ginkgo has a name Done, as this package has.
import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = ginkgo.Describe("mayBind", func() {
	ginkgo.DescribeTable("decides by the record alone",
		func(version granitehoist.Version, record string, want granitehoist.Code) {
			e := granitehoist.Entry{Version: version, Value: []byte(record)}
			gomega.Expect(granitehoist.CodeOf(mayBind(e))).To(gomega.Equal(want))
		},
		ginkgo.Entry("no record", granitehoist.Version(0), "", granitehoist.Served),
		ginkgo.Entry("free", granitehoist.Version(1), `{"state":"free"}`, granitehoist.Served),
		ginkgo.Entry("bound", granitehoist.Version(1), `{"state":"bound"}`, granitehoist.OnceUnsure),
		ginkgo.Entry("done", granitehoist.Version(1), `{"state":"done","status":200}`, granitehoist.AlreadyRun),
		ginkgo.Entry("a state of a later version", granitehoist.Version(1), `{"state":"other"}`, granitehoist.OnceUnsure),
		ginkgo.Entry("not readable", granitehoist.Version(1), `?`, granitehoist.OnceUnsure),
	)
})
