// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package measure

import (
	"fmt"
	"io"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"granitehoist.example/granitehoist/partner/budget"
)

// splitters are the rows of a measurement of budgets.
var splitters = []struct {
	name string
	// ours is set for the fleet's own split, which must never overspend.
	ours bool
	make func() splitter
}{
	{"escrow-refusals", true, func() splitter { return newEscrow(budget.WeighRefusals) }},
	{"escrow-overspend", true, func() splitter { return newEscrow(budget.WeighOverspend) }},
	{"even-split", false, func() splitter { return &evenSplit{} }},
	{"past-demand", false, func() splitter { return &pastSplit{} }},
	{"unsafe-counter", false, func() splitter { return &unsafeCounter{} }},
}

// parallelRuns bounds the runs at one time.
const parallelRuns = 6

// Budgets measures the fleet's split beside the baselines in each scenario. It
// writes a table and one line of key=value pairs a row, and reports whether the
// fleet's own split never overspent.
func Budgets(out io.Writer, s SpendingSettings, scenarios []Scenario) (bool, error) {
	s = s.withDefaults()
	results := make([]spendingResult, len(scenarios)*len(splitters))
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i, scenario := range scenarios {
		for j, sp := range splitters {
			group.Go(func() error {
				results[i*len(splitters)+j] = runSpending(s, scenario, sp.name, sp.make())
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return false, err
	}
	held := true
	for i, r := range results {
		held = held && (!splitters[i%len(splitters)].ours || r.overspend == 0)
	}
	return held, writeSpending(out, s, results)
}

func writeSpending(out io.Writer, s SpendingSettings, results []spendingResult) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\tsplit\toverspend\tfalse refusals\tlargest\tsmallest\tin doubt\tstore calls/s\t")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.3f %%\t%.3f %%\t%.3f %%\t%d\t%.2f\t\n", r.scenario, r.splitter, r.overspend, 100*r.falseAll, 100*r.falseLargest, 100*r.falseSmallest, r.inDoubt, r.callsPerSecond)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		_, err := fmt.Fprintf(out, "scenario=%s split=%s seed=%d overspend=%d false=%.5f false_largest=%.5f false_smallest=%.5f in_doubt=%d store_calls=%.3f\n",
			r.scenario, r.splitter, s.Seed, r.overspend, r.falseAll, r.falseLargest, r.falseSmallest, r.inDoubt, r.callsPerSecond)
		if err != nil {
			return err
		}
	}
	return nil
}
