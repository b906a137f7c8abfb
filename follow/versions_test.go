// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = Describe("Version rules", func() {
	at := func(version granitehoist.Version) granitehoist.Entry { return granitehoist.Entry{Version: version} }
	deletedAt := func(version granitehoist.Version) granitehoist.Entry {
		return granitehoist.Entry{Version: version, Deleted: true}
	}
	const complete, changes = true, false

	DescribeTable("classify an entry",
		func(held, entry granitehoist.Entry, complete bool, copyAt int, want entryAction) {
			Expect(classifyEntry(held, entry, complete, granitehoist.Version(copyAt))).To(Equal(want))
		},
		Entry("a new key", at(0), at(8), changes, 7, storeEntry),
		Entry("a newer version", at(5), at(8), changes, 7, storeEntry),
		Entry("the same version", at(8), at(8), complete, 7, ignoreEntry),
		Entry("an older version", at(8), at(5), complete, 7, ignoreEntry),
		Entry("a newer deletion", at(5), deletedAt(8), changes, 7, deleteEntry),
		Entry("an older deletion", at(8), deletedAt(5), changes, 7, ignoreEntry),
		Entry("a late change of a key that the copy may have deleted", at(0), at(6), changes, 7, ignoreEntry),
		Entry("a late change of a key that the copy holds", at(5), at(6), changes, 7, ignoreEntry),
		Entry("an unknown key of a complete update", at(0), at(6), complete, 7, storeEntry),
		Entry("a key without a version", at(0), at(0), complete, 0, ignoreEntry),
	)

	DescribeTable("reject an outdated update",
		func(complete, populated bool, updateAt, copyAt int, want bool) {
			update := Update{Complete: complete, Version: granitehoist.Version(updateAt)}
			Expect(isOutdated(update, populated, granitehoist.Version(copyAt))).To(Equal(want))
		},
		Entry("older and complete", complete, true, 4, 5, true),
		Entry("of the same version and complete", complete, true, 5, 5, false),
		Entry("the first one", complete, false, 4, 5, false),
		Entry("older changes, which are classified one by one", changes, true, 4, 5, false),
	)

	DescribeTable("detect deletions by a complete update of version 5",
		func(held int, present, want bool) {
			Expect(isMissing(at(granitehoist.Version(held)), present, 5)).To(Equal(want))
		},
		Entry("a key in the update", 3, true, false),
		Entry("a key missing in the update", 3, false, true),
		Entry("a missing key of the same version", 5, false, true),
		Entry("a missing key of a later version", 6, false, false),
	)

	DescribeTable("accept a neighbour's copy that is newer than version 5",
		func(update Update, want bool) {
			Expect(offersNewer(update, "p/", 5)).To(Equal(want))
		},
		Entry("a newer one", Update{HasCopy: true, Prefix: "p/", Version: 6}, true),
		Entry("one of the same version", Update{HasCopy: true, Prefix: "p/", Version: 5}, false),
		Entry("one of another prefix", Update{HasCopy: true, Prefix: "q/", Version: 6}, false),
		Entry("no copy", Update{Prefix: "p/", Version: 6}, false),
		Entry("a newer one of any age", Update{HasCopy: true, Prefix: "p/", Version: 6, Age: 100 * maxRelayAge}, true),
	)
})
