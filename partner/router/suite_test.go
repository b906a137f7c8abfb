// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stepTimeout is how long an eventual thing may take on a busy machine.
const stepTimeout = 20 * time.Second

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(stepTimeout)
	RunSpecs(t, "router")
}
