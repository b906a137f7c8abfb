// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial_test

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/trial"
)

var _ = Describe("Run", func() {
	It("charges the orphaned attempts of a killed router once", func() {
		for seed := range uint64(3) {
			verdict, err := trial.Run(context.Background(), trial.Settings{Requests: 150, Seed: seed, Interval: time.Millisecond, Kill: true, Out: io.Discard})
			Expect(err).NotTo(HaveOccurred())
			Expect(verdict.Passed()).To(BeTrue(), verdict.String())
		}
	})

	It("cuts no response by planned stops", func() {
		verdict, err := trial.Run(context.Background(), trial.Settings{Requests: 300, Seed: 5, Stops: 12, NoFaults: true, Out: io.Discard})
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Passed()).To(BeTrue(), verdict.String())
		Expect(verdict.Stops).To(Equal(12))
		Expect(verdict.Truncated).To(BeZero(), verdict.String())
	})

	It("violates no guarantee while stand-ins fail", func() {
		verdict, err := trial.Run(context.Background(), trial.Settings{Requests: 200, Seed: 7, Out: io.Discard})
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Passed()).To(BeTrue(), verdict.String())
		Expect(verdict.Served).To(BeNumerically(">", 100), verdict.String())
		Expect(verdict.NotRun).To(BeNumerically(">", 0), verdict.String())
	})
})
