// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package store

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = DescribeTable("Reading a key back after a lost response",
	func(current granitehoist.Entry, expect int, want readBackResult) {
		change := granitehoist.Change{Key: "a", Value: []byte("mine"), Expect: granitehoist.Version(expect)}
		Expect(classifyReadBack(current, change)).To(Equal(want))
	},
	Entry("created", granitehoist.Entry{Value: []byte("mine"), Version: 4}, 0, applied),
	Entry("not created yet", granitehoist.Entry{}, 0, pending),
	Entry("created by another", granitehoist.Entry{Value: []byte("theirs"), Version: 4}, 0, superseded),
	Entry("changed", granitehoist.Entry{Value: []byte("mine"), Version: 7}, 4, applied),
	Entry("not changed yet", granitehoist.Entry{Value: []byte("old"), Version: 4}, 4, pending),
	Entry("changed by another", granitehoist.Entry{Value: []byte("theirs"), Version: 7}, 4, superseded),
	Entry("deleted by another", granitehoist.Entry{}, 4, superseded),
)
