// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stepTimeout bounds each Eventually assertion.
const stepTimeout = 20 * time.Second

func TestBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(stepTimeout)
	// A fixed seed makes the property tests reproducible.
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	RunSpecs(t, "budget")
}
