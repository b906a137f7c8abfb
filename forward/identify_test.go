// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
)

// arrived is the arrival time of the requests.
var arrived = time.Unix(1_000_000, 0)

// exampleSnapshot returns a configuration with a route that needs a key, one that needs
// none, and one of whose two services is missing.
func exampleSnapshot() *catalog.Snapshot {
	ginkgo.GinkgoHelper()
	share := func(s granitehoist.Service) catalog.Share { return catalog.Share{Service: s, Weight: 1} }
	s, err := catalog.Build(&catalog.Document{
		RequireKey: true,
		Routes: []catalog.Route{
			{Name: "keyed", Host: "h", Prefix: "/keyed/", Priority: 3, Timeout: 5 * time.Second, Split: []catalog.Share{share("desk")}},
			{Name: "open", Host: "h", Prefix: "/open/", Priority: 3, Anonymous: true, Split: []catalog.Share{share("desk")}},
			{Name: "split", Host: "h", Prefix: "/split/", Anonymous: true, Split: []catalog.Share{share("desk"), share("missing")}},
		},
		Services: []catalog.Service{{Name: "desk"}},
		Workspaces: []catalog.Workspace{
			{Name: "plain", Keys: []string{"plain-key"}},
			{Name: "urgent", Keys: []string{"urgent-key"}, Priority: 7, HasPriority: true},
		},
	}, 4)
	Expect(err).NotTo(HaveOccurred())
	return s
}

var _ = ginkgo.Describe("Identification", func() {
	ginkgo.DescribeTable("refuses",
		func(path, key string, stopping bool, draw float64, want refusal) {
			_, got := identify(exampleSnapshot(), &Request{Host: "h", Path: path, Key: key}, stopping, draw)
			Expect(got).To(Equal(want))
		},
		ginkgo.Entry("an unknown route", "/none/", "plain-key", false, 0.0, routeUnknown),
		ginkgo.Entry("no key", "/keyed/x", "", false, 0.0, keyMissing),
		ginkgo.Entry("an unknown key", "/keyed/x", "wrong", false, 0.0, keyUnknown),
		ginkgo.Entry("an unknown key, also while stopping", "/keyed/x", "wrong", true, 0.0, keyUnknown),
		ginkgo.Entry("a valid request while stopping", "/keyed/x", "plain-key", true, 0.0, routerStopping),
		ginkgo.Entry("a request whose service is missing", "/split/x", "", false, 0.9, serviceMissing),
		ginkgo.Entry("nothing if the split selects the other service", "/split/x", "", false, 0.1, noRefusal),
		ginkgo.Entry("nothing on an anonymous route", "/open/x", "", false, 0.0, noRefusal),
		ginkgo.Entry("nothing with a valid key", "/keyed/x", "plain-key", false, 0.0, noRefusal),
	)

	ginkgo.It("refuses every request without a configuration", func() {
		got, refused := identify(nil, &Request{}, false, 0)
		Expect(got).To(Equal(admission{}))
		Expect(refused).To(Equal(configurationMissing))
	})

	ginkgo.DescribeTable("determines",
		func(path, key string, workspace granitehoist.Workspace, priority granitehoist.Priority, timeout time.Duration) {
			r := &Request{Host: "h", Path: path, Key: key, Arrived: arrived, Timeout: 8 * time.Second}
			got, refused := identify(exampleSnapshot(), r, false, 0)
			Expect(refused).To(Equal(noRefusal))
			Expect(got.version).To(Equal(granitehoist.Version(4)))
			Expect(got.service.Name).To(Equal(granitehoist.Service("desk")))
			Expect(got.priority).To(Equal(priority))
			Expect(got.deadline.Sub(arrived)).To(Equal(timeout))
			if workspace == "" {
				Expect(got.workspace).To(BeNil())
				return
			}
			Expect(got.workspace.Name).To(Equal(workspace))
		},
		ginkgo.Entry("the route's priority and timeout", "/keyed/x", "plain-key", granitehoist.Workspace("plain"), granitehoist.Priority(3), 5*time.Second),
		ginkgo.Entry("the workspace's priority if it has one", "/keyed/x", "urgent-key", granitehoist.Workspace("urgent"), granitehoist.Priority(7), 5*time.Second),
		ginkgo.Entry("no workspace on an anonymous route, and the caller's timeout", "/open/x", "urgent-key", granitehoist.Workspace(""), granitehoist.Priority(3), 8*time.Second),
	)
})
