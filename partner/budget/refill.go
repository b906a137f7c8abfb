// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"context"
	"errors"
	"time"

	"granitehoist.example/granitehoist"
)

// refill reports the budgets to the root if a report is due, and merges its replies into
// the region's record: grants where the region has too little, and confirmed returns.
func (k *Allocator) refill(ctx context.Context, s Shard, record *RegionRecord, reports reportsByBudget, now time.Time) error {
	var regionReports []RegionReport
	due := false
	for _, budget := range sortedKeys(reports) {
		regionReport := record.prepareReport(budget, k.settings.Split(budget), now)
		due = due || record.Accounts[budget].isRootReportDue(regionReport, now)
		regionReports = append(regionReports, regionReport)
	}
	if !due {
		return nil
	}
	for range maxConflictAttempts {
		replies, err := k.reportToRoot(ctx, s, regionReports, now)
		if errors.Is(err, granitehoist.ErrConflict) {
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range replies {
			record.applyReply(r, now)
		}
		return nil
	}
	return granitehoist.ErrConflict
}

// rootInterval is the longest time between two reports of an account in use to the root. The
// holdings of regions follow demand with this delay.
const rootInterval = 20 * time.Second

// isRootReportDue reports whether the account should be reported to the root now, which
// costs a write of the root record: at once if requests wait, if the root has yet to
// confirm returned tokens, or if the region never received any; after shortfallInterval if
// the region is below half of its limit and asks for more; and otherwise after
// rootInterval.
func (a *RegionAccount) isRootReportDue(report RegionReport, now time.Time) bool {
	switch {
	case report.Need > 0, report.Returned > a.Confirmed, a.Received == 0:
		return true
	case report.Live < a.Limit/2 && report.Want > 0:
		return now.Sub(time.Unix(a.ReportedAt, 0)) >= shortfallInterval
	}
	return now.Sub(time.Unix(a.ReportedAt, 0)) >= rootInterval
}

// reportToRoot updates the root record and returns its replies. They are valid only if the
// error is nil, since grants count only once they are written.
func (k *Allocator) reportToRoot(ctx context.Context, s Shard, reports []RegionReport, now time.Time) ([]regionReply, error) {
	entry, err := k.settings.Store.Get(ctx, RootKey(s))
	if err != nil {
		return nil, err
	}
	root, err := DecodeRootRecord(entry)
	if err != nil {
		return nil, err
	}
	replies := make([]regionReply, 0, len(reports))
	for _, report := range reports {
		if prepaid, serial, ok := k.settings.Prepaid(report.Budget); ok {
			root.setPrepaid(report.Budget, prepaid, serial)
		}
		replies = append(replies, root.serve(k.settings.Region, report, k.settings.Split(report.Budget), now))
	}
	return replies, k.write(ctx, entry, root)
}
