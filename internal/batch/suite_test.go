// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package batch_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stepTimeout bounds each wait of a test.
const stepTimeout = 20 * time.Second

func TestBatch(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(stepTimeout)
	RunSpecs(t, "batch")
}
