// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget_test

import (
	"math/rand/v2"
	"os"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

const (
	// historySteps is the length of a history.
	historySteps = 60
	// historiesVariable names the environment variable that sets how many
	// histories are played, such as a million before a change of the split.
	historiesVariable = "BUDGET_HISTORIES"
	// defaultHistories is how many are played without it.
	defaultHistories = 1500
	// parallelHistories bounds the histories that run at one time.
	parallelHistories = 6
)

// historyCount returns how many histories are played.
func historyCount() int {
	value := os.Getenv(historiesVariable)
	if value == "" {
		return defaultHistories
	}
	count, err := strconv.Atoi(value)
	Expect(err).NotTo(HaveOccurred(), historiesVariable)
	return count
}

// histories runs count random histories and returns the first failure, with
// the seed that shows it again.
func histories(count int, seed uint64) error {
	var group errgroup.Group
	group.SetLimit(parallelHistories)
	for i := range uint64(count) {
		group.Go(func() error {
			random := rand.New(rand.NewPCG(seed, i))
			if err := runHistory(newHistory(random.IntN)); err != nil {
				return eris.Wrapf(err, "history %d of seed %d", i, seed)
			}
			return nil
		})
	}
	return group.Wait()
}

func runHistory(h *history) error {
	for range historySteps {
		if err := h.step(); err != nil {
			return err
		}
	}
	return h.heal()
}

var _ = Describe("Histories", func() {
	It("never find a token twice, and lose none", func() {
		Expect(histories(historyCount(), 1)).To(Succeed())
	})

	It("hold for what rapid chooses", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := newHistory(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
			for range historySteps {
				if err := h.step(); err != nil {
					t.Fatal(err)
				}
			}
			if err := h.heal(); err != nil {
				t.Fatal(err)
			}
		})
	})
})
