// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// demand is what a router knows of the requests for a workspace, here and at
// others. Ledger.mu guards it. Rates are in tokens a second.
type demand struct {
	// rate is that of this router's own requests, by their bounds until they are
	// settled.
	rate rate
	// othersRate is the sum of what the other rows of the record said when it was
	// last read.
	othersRate float64
	// fleetRate is what a lender last reported of itself and its borrowers.
	fleetRate float64
	// borrowers holds what each borrower last reported of itself.
	borrowers map[granitehoist.Incarnation]borrowerReport
	// largest and mean are of the bounds of this router's requests.
	largest granitehoist.Tokens
	mean    float64
	// highestPriority is that of this router's requests so far.
	highestPriority granitehoist.Priority
}

// borrowerReport is what a borrower reported at a time: its rate in tokens a
// second, and what it owned and had not reserved.
type borrowerReport struct {
	perSecond float64
	idle      granitehoist.Tokens
	at        time.Time
}

// meanWeight is the weight of the newest request in the mean of the bounds, which
// so covers the last 20 requests or so. Chosen, not measured (ae8d6e8).
const meanWeight = 0.05

// measure records a request's bound and priority.
func (d *demand) measure(bound granitehoist.Tokens, priority granitehoist.Priority) {
	d.largest = max(d.largest, bound)
	if d.mean == 0 {
		d.mean = float64(bound)
	}
	d.mean += (float64(bound) - d.mean) * meanWeight
	d.highestPriority = max(d.highestPriority, priority)
}

const (
	// borrowerRateFresh is how long a borrower's rate counts. Chosen, not measured
	// (c814f3e).
	borrowerRateFresh = 8 * time.Second
	// borrowerIdleFresh is how long what a borrower had idle counts as left of the
	// budget; after that the report is dropped. Chosen, not measured (c814f3e).
	borrowerIdleFresh = 15 * time.Second
)

// borrowersRate returns the tokens a second that borrowers spend, by the reports
// of the last borrowerRateFresh.
func (d *demand) borrowersRate(now time.Time) float64 {
	var perSecond float64
	for _, report := range d.borrowers {
		if now.Sub(report.at) <= borrowerRateFresh {
			perSecond += report.perSecond
		}
	}
	return perSecond
}

// borrowersIdle returns what borrowers have idle by the reports of the last
// borrowerIdleFresh, without that of one of them; an empty one leaves none out.
func (d *demand) borrowersIdle(without granitehoist.Incarnation, now time.Time) granitehoist.Tokens {
	var idle granitehoist.Tokens
	for borrower, report := range d.borrowers {
		if borrower != without && now.Sub(report.at) <= borrowerIdleFresh {
			idle += report.idle
		}
	}
	return idle
}

// noteBorrower records what a borrower reports of itself, and drops reports older
// than borrowerIdleFresh. Negative amounts count as zero.
func (d *demand) noteBorrower(p LendParams, now time.Time) {
	for borrower, report := range d.borrowers {
		if now.Sub(report.at) > borrowerIdleFresh {
			delete(d.borrowers, borrower)
		}
	}
	if d.borrowers == nil {
		d.borrowers = map[granitehoist.Incarnation]borrowerReport{}
	}
	d.borrowers[p.Borrower] = borrowerReport{perSecond: float64(max(0, p.Rate)), idle: max(0, p.Idle), at: now}
}
