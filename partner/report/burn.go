// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"granitehoist.example/granitehoist"
)

// BurnReport is the burn-rate report of a fleet, over the routers that could be reached.
type BurnReport struct {
	Rows []Row `json:"rows"`
	// Asked lists the boxes whose counts are in Rows. Unreachable lists the boxes whose
	// routers could not be reached. The JSON names stay for compatibility.
	Asked       []granitehoist.Box `json:"asked"`
	Unreachable []granitehoist.Box `json:"unreached"`
}

// Merge adds the rows of another router; rows with equal keys are summed.
func (b *BurnReport) Merge(rows []Row) {
	rowIndex := map[Key]int{}
	for i, row := range b.Rows {
		rowIndex[row.Key] = i
	}
	for _, row := range rows {
		i, ok := rowIndex[row.Key]
		if !ok {
			rowIndex[row.Key] = len(b.Rows)
			b.Rows = append(b.Rows, row)
			continue
		}
		for w := range b.Rows[i].Windows {
			b.Rows[i].Windows[w] = b.Rows[i].Windows[w].Add(row.Windows[w])
		}
	}
	sortRows(b.Rows)
}

// BurnRate returns the burn rate of an error budget: the fraction of bad events divided by
// the allowed fraction. At 1 the error budget is used up exactly; 20, the maximum, means
// that all events are bad. It returns 0 if there are no events.
func BurnRate(bad, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(bad) / float64(all) / errorBudget
}

// WriteBurn writes the report as text: a table for each window, then the boxes that
// could not be reached. It returns the first write error.
func WriteBurn(w io.Writer, b BurnReport) error {
	for i, window := range Windows {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		// The tabwriter buffers these lines; Flush returns the write error.
		fmt.Fprintf(table, "last %v\tworkspace\tplace\trequests\tfirst token\tbetween tokens\trefused\terrors\n", window)
		for _, row := range b.Rows {
			c := row.Windows[i]
			if c.Requests == 0 {
				continue
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", row.Key.Service, row.Key.Workspace, row.Key.Zone, c.Requests,
				BurnRate(c.SlowFirstTokens, c.FirstTokens), BurnRate(c.SlowTokenGaps, c.TokenGaps), BurnRate(c.Refused, c.Requests), BurnRate(c.Errors, c.Requests))
		}
		fmt.Fprintln(table)
		if err := table.Flush(); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "burn 1.00 uses the allowance of 5 in 100 up exactly; asked=%d unreached=%v\n", len(b.Asked), b.Unreachable)
	return err
}
