// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Split configures how the tokens of a partner's budgets are spread over boxes. The zero
// value is ready to use. No Split can cause overspend: it trades refusals while parts of the
// fleet are cut off against tokens in doubt after a box has failed.
type Split struct {
	// Cover is how long a box's holding should last at its forecast. Zero means
	// DefaultCover.
	Cover time.Duration
	// Share, from 0 to 1, bounds Cover near the end of a budget: a holding lasts for at
	// most this fraction of the budget's remaining lifetime at the forecast of all holders.
	// Zero means DefaultShare.
	Share float64
	// Wait bounds how long a request waits for tokens. Zero means DefaultWait.
	Wait time.Duration
}

// Defaults of a Split.
const (
	// DefaultCover is the cover of budgets without a weighting.
	DefaultCover = 30 * time.Minute
	// DefaultShare is the share of budgets without a weighting.
	DefaultShare = 0.8
	// DefaultWait leaves time for a few rounds of reports.
	DefaultWait = 2 * time.Second
)

// Split values of each weighting. Both survive a partition of an hour with few refusals.
const (
	// refusalsCover lasts through an outage of two hours.
	refusalsCover = 2 * time.Hour
	refusalsShare = 0.9
	// overspendCover lasts through an outage of an hour.
	overspendCover = 75 * time.Minute
	overspendShare = 0.85
)

// Weighting names a predefined Split.
type Weighting string

// Weightings.
const (
	// WeighRefusals favors large holdings, so that a box that is cut off can serve for
	// long.
	WeighRefusals Weighting = "refusals"
	// WeighOverspend favors small holdings, so that few tokens are in doubt after a box
	// has failed.
	WeighOverspend Weighting = "overspend"
)

// NewSplit returns the Split of a weighting, and false for an unknown weighting.
func NewSplit(w Weighting) (Split, bool) {
	switch w {
	case WeighRefusals:
		return Split{Cover: refusalsCover, Share: refusalsShare}.withDefaults(), true
	case WeighOverspend:
		return Split{Cover: overspendCover, Share: overspendShare}.withDefaults(), true
	}
	return Split{}, false
}

// withDefaults returns the split with defaults for zero values.
func (s Split) withDefaults() Split {
	defaults.Set(&s.Cover, DefaultCover)
	defaults.Set(&s.Share, DefaultShare)
	defaults.Set(&s.Wait, DefaultWait)
	return s
}

// tokensFor returns the tokens spent in d at a rate in tokens per second.
func tokensFor(rate float64, d time.Duration) granitehoist.Tokens {
	return granitehoist.Tokens(rate * d.Seconds())
}
