// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"granitehoist.example/granitehoist"
)

// Burn is the burn of a fleet, as far as its routers could be asked.
type Burn struct {
	Rows []Row `json:"rows"`
	// Asked lists the boxes whose counts are in Rows, and Unreached those whose
	// counts are not.
	Asked     []granitehoist.Box `json:"asked"`
	Unreached []granitehoist.Box `json:"unreached"`
}

// Merge adds the rows of another router.
func (b *Burn) Merge(rows []Row) {
	index := map[Key]int{}
	for i, row := range b.Rows {
		index[row.Key] = i
	}
	for _, row := range rows {
		i, ok := index[row.Key]
		if !ok {
			index[row.Key] = len(b.Rows)
			b.Rows = append(b.Rows, row)
			continue
		}
		for w := range b.Rows[i].Windows {
			b.Rows[i].Windows[w] = b.Rows[i].Windows[w].Add(row.Windows[w])
		}
	}
	sortRows(b.Rows)
}

// Rate returns how fast a service level's allowance is used up: 1 uses it up
// exactly, 20 is all bad. It is 0 without events.
func Rate(bad, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(bad) / float64(all) / slowAllowance
}

// WriteBurn writes the burn as text: a table for each window, and the boxes that
// could not be asked.
func WriteBurn(w io.Writer, b Burn) error {
	for i, window := range Windows {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		// The table only gathers these lines; Flush writes them and has the error.
		fmt.Fprintf(table, "last %v\tworkspace\tplace\trequests\tfirst token\tbetween tokens\trefused\terrors\n", window)
		for _, row := range b.Rows {
			c := row.Windows[i]
			if c.Requests == 0 {
				continue
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", row.Key.Service, row.Key.Workspace, row.Key.Zone, c.Requests,
				Rate(c.SlowFirst, c.First), Rate(c.SlowBetween, c.Between), Rate(c.Refused, c.Requests), Rate(c.Errors, c.Requests))
		}
		fmt.Fprintln(table)
		if err := table.Flush(); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "burn 1.00 uses the allowance of 5 in 100 up exactly; asked=%d unreached=%v\n", len(b.Asked), b.Unreached)
	return err
}
