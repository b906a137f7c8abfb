// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package measure

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Capacity measures all slopes and writes them as a table, followed by a table of the
// loads of each role for each size. It returns the error of out.
func Capacity(out io.Writer, sizes []FleetSize) error {
	slopes := Slopes()
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "slope\tstep\tbase\tmeasured at")
	for _, s := range slopes {
		fmt.Fprintf(table, "%s\t%.1f %s a %s\t%.0f %s\t%d and %d\n", s.Name, s.Step, s.Unit, s.Per, s.Base, s.Unit, s.Small, s.Large)
	}
	for _, size := range sizes {
		fmt.Fprintf(table, "\n%s\tprocessor of one core\tmemory\tnetwork\tstore writes\tstore reads\n", size.Name)
		for _, l := range Loads(slopes, size) {
			fmt.Fprintf(table, "%s\t%.3f %%\t%.2f MB\t%.2f KB/s\t%.2f /s\t%.2f /s\n", l.Role, 100*l.Cores, l.Memory/1e6, l.Bytes/1e3, l.Writes, l.Reads)
		}
	}
	return table.Flush()
}
