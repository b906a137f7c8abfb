// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package store

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = DescribeTable("Reading a key back after a lost answer",
	func(current granitehoist.Entry, expect int, want readBack) {
		change := granitehoist.Change{Key: "a", Value: []byte("mine"), Expect: granitehoist.Version(expect)}
		Expect(judgeReadBack(current, change)).To(Equal(want))
	},
	Entry("created", granitehoist.Entry{Value: []byte("mine"), Version: 4}, 0, tookEffect),
	Entry("not there yet", granitehoist.Entry{}, 0, notYet),
	Entry("created by another", granitehoist.Entry{Value: []byte("theirs"), Version: 4}, 0, otherWriter),
	Entry("changed", granitehoist.Entry{Value: []byte("mine"), Version: 7}, 4, tookEffect),
	Entry("as before", granitehoist.Entry{Value: []byte("old"), Version: 4}, 4, notYet),
	Entry("changed by another", granitehoist.Entry{Value: []byte("theirs"), Version: 7}, 4, otherWriter),
	Entry("deleted by another", granitehoist.Entry{}, 4, otherWriter),
)
