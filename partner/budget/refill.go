// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"context"
	"errors"
	"time"

	"granitehoist.example/granitehoist"
)

// refill reports all budgets of reports to the root if the report of any of them is due.
// It merges the root's replies, which contain grants and confirm returns, into the region's
// record.
func (a *Allocator) refill(ctx context.Context, s Shard, record *RegionRecord, reports reportsByBudget, now time.Time) error {
	var regionReports []RegionReport
	due := false
	for _, budget := range sortedKeys(reports) {
		regionReport := record.prepareReport(budget, a.settings.Split(budget), now)
		due = due || record.Accounts[budget].isRootReportDue(regionReport, now)
		regionReports = append(regionReports, regionReport)
	}
	if !due {
		return nil
	}
	for range maxConflictAttempts {
		replies, err := a.reportToRoot(ctx, s, regionReports, now)
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

// rootInterval is the longest time between two reports of an account in use to the root. A
// region's holding follows demand with at most this delay.
const rootInterval = 20 * time.Second

// isRootReportDue reports whether the account should be reported to the root now, which
// costs a write of the root record. A report is due
//   - at once if requests need more than the region's stock, if the root has yet to confirm
//     returned tokens, or if the region never received any;
//   - after shortfallInterval if the region has less than half of its limit and asks for
//     more;
//   - after rootInterval otherwise.
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
func (a *Allocator) reportToRoot(ctx context.Context, s Shard, reports []RegionReport, now time.Time) ([]regionReply, error) {
	entry, err := a.settings.Store.Get(ctx, RootKey(s))
	if err != nil {
		return nil, err
	}
	root, err := DecodeRootRecord(entry)
	if err != nil {
		return nil, err
	}
	replies := make([]regionReply, 0, len(reports))
	for _, report := range reports {
		if prepaid, serial, ok := a.settings.Prepaid(report.Budget); ok {
			root.setPrepaid(report.Budget, prepaid, serial)
		}
		replies = append(replies, root.serve(a.settings.Region, report, a.settings.Split(report.Budget), now))
	}
	return replies, a.write(ctx, entry, root)
}
