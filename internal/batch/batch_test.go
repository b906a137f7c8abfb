// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package batch_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/internal/batch"
)

var _ = Describe("Group", func() {
	It("commits items that arrive during a commit together, each with its own result", func() {
		entered, release := make(chan struct{}, 10), make(chan struct{})
		var sizes []int
		g := batch.New(batch.Settings[int, int]{Commit: func(_ context.Context, items []int) ([]int, error) {
			entered <- struct{}{}
			<-release
			sizes = append(sizes, len(items))
			doubled := make([]int, len(items))
			for i, item := range items {
				doubled[i] = 2 * item
			}
			return doubled, nil
		}, MaxItems: 6})
		var group sync.WaitGroup
		do := func(i int) {
			group.Go(func() {
				defer GinkgoRecover()
				Expect(g.Do(context.Background(), i)).To(Equal(2 * i))
			})
		}
		do(0)
		<-entered
		for i := range 9 {
			do(i + 1)
		}
		Eventually(g.Waiting).Should(Equal(9))
		close(release)
		group.Wait()
		Expect(sizes).To(Equal([]int{1, 6, 3}))
	})

	It("returns an error to every caller and continues", func() {
		fail := true
		g := batch.New(batch.Settings[int, int]{Commit: func(_ context.Context, items []int) ([]int, error) {
			if fail {
				return nil, errors.New("no")
			}
			return items, nil
		}})
		_, err := g.Do(context.Background(), 1)
		Expect(err).To(MatchError("no"))
		fail = false
		Expect(g.Do(context.Background(), 1)).To(Equal(1))
	})

	It("returns to a caller when its context ends", func() {
		release := make(chan struct{})
		g := batch.New(batch.Settings[int, int]{Commit: func(_ context.Context, items []int) ([]int, error) {
			<-release
			return items, nil
		}})
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, err := g.Do(ctx, 1)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		close(release)
	})

	It("lingers until an urgent item arrives", func() {
		g := batch.New(batch.Settings[int, int]{
			Commit: func(_ context.Context, items []int) ([]int, error) { return items, nil },
			Linger: time.Hour,
			Urgent: func(i int) bool { return i == 9 },
		})
		first := make(chan int)
		go func() {
			defer GinkgoRecover()
			got, err := g.Do(context.Background(), 1)
			Expect(err).NotTo(HaveOccurred())
			first <- got
		}()
		Eventually(g.Waiting).Should(Equal(1))
		Expect(g.Do(context.Background(), 9)).To(Equal(9))
		Expect(<-first).To(Equal(1))
	})
})
