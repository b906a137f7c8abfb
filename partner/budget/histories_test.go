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
	// historySteps is the number of steps of a history.
	historySteps = 60
	// historiesEnv is the environment variable with the number of histories to run.
	historiesEnv = "BUDGET_HISTORIES"
	// defaultHistories is the number of histories without the variable.
	defaultHistories = 1500
	// parallelHistories bounds the histories that run concurrently.
	parallelHistories = 6
)

// historyCount returns the number of histories to run.
func historyCount() int {
	value := os.Getenv(historiesEnv)
	if value == "" {
		return defaultHistories
	}
	count, err := strconv.Atoi(value)
	Expect(err).NotTo(HaveOccurred(), historiesEnv)
	return count
}

// histories runs count random histories and returns an error with the seed of one that
// failed.
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

// runHistory runs all steps of a history and heals it.
func runHistory(h *history) error {
	for range historySteps {
		if err := h.step(); err != nil {
			return err
		}
	}
	return h.heal()
}

var _ = Describe("Histories", func() {
	It("neither duplicate nor lose tokens", func() {
		Expect(histories(historyCount(), 1)).To(Succeed())
	})

	It("neither duplicate nor lose tokens under property-based testing", func() {
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
