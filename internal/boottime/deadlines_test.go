// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package boottime

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Deadlines", func() {
	now := time.Unix(1_000_000, 0)

	It("cancels a context whose deadline passed during a suspension", func() {
		var d Deadlines
		ctx, cancel := d.WithTimeout(context.Background(), time.Hour, now)
		defer cancel()
		d.CancelExpired(now.Add(time.Hour - 1))
		Expect(ctx.Err()).NotTo(HaveOccurred())
		d.CancelExpired(now.Add(time.Hour))
		Expect(ctx.Err()).To(MatchError(context.Canceled))
	})

	It("cancels all contexts", func() {
		var d Deadlines
		first, cancelFirst := d.WithTimeout(context.Background(), time.Hour, now)
		defer cancelFirst()
		second, cancelSecond := d.WithTimeout(context.Background(), 2*time.Hour, now)
		defer cancelSecond()
		d.CancelAll()
		Expect(first.Err()).To(MatchError(context.Canceled))
		Expect(second.Err()).To(MatchError(context.Canceled))
	})

	It("ends a context on time without a check", func() {
		var d Deadlines
		ctx, cancel := d.WithTimeout(context.Background(), time.Millisecond, now)
		defer cancel()
		Eventually(ctx.Done()).Should(BeClosed())
		Expect(ctx.Err()).To(MatchError(context.DeadlineExceeded))
	})

	It("releases a context that is no longer needed", func() {
		var d Deadlines
		_, cancel := d.WithTimeout(context.Background(), time.Hour, now)
		cancel()
		Expect(d.pending).To(BeEmpty())
	})
})
