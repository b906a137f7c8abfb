// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Split sets how the tokens of a partner's budgets are spread. Its zero value
// works. No value of it can cause overspend: it trades refusals while parts of
// the fleet are cut off against tokens that are in doubt when a box dies.
type Split struct {
	// Cover is how long a box's holding should last at its forecast. Zero
	// stands for DefaultCover.
	Cover time.Duration
	// Share, from 0 to 1, bounds Cover near the end of a budget: a holding lasts
	// for at most this part of the time for which the budget lasts at the
	// forecast of all holders. Zero stands for DefaultShare.
	Share float64
	// Wait bounds how long a request waits for tokens before it is refused.
	// Zero stands for DefaultWait.
	Wait time.Duration
}

// Defaults of a Split.
const (
	// DefaultCover is for budgets without a weighting.
	DefaultCover = 30 * time.Minute
	// DefaultShare is for budgets without a weighting.
	DefaultShare = 0.8
	// DefaultWait leaves time for a few messages to the keeper.
	DefaultWait = 2 * time.Second
)

// The split of each weighting. With a cover of 5 min and a share of 0.5 the
// narrow one refused 20 % of payable requests in the measured cut of an hour,
// so both now last for more than an hour (docs/design/budgets.md). The exact
// values were chosen.
const (
	// refusalsCover lasts through an outage of two hours.
	refusalsCover = 2 * time.Hour
	// refusalsShare refused 0.205 % in the measured cut of an hour.
	refusalsShare = 0.9
	// overspendCover lasts through an outage of an hour.
	overspendCover = 75 * time.Minute
	// overspendShare refused 0.287 % in the measured cut of an hour.
	overspendShare = 0.85
)

// Weighting names a ready-made Split.
type Weighting string

// The weightings.
const (
	// WeighRefusals spreads tokens widely, so that a box that is cut off can
	// go on for long.
	WeighRefusals Weighting = "refusals"
	// WeighOverspend keeps holdings small, so that little is in doubt when a
	// box dies.
	WeighOverspend Weighting = "overspend"
)

// NewSplit returns the Split of a weighting, and false for an unknown one.
func NewSplit(w Weighting) (Split, bool) {
	switch w {
	case WeighRefusals:
		return Split{Cover: refusalsCover, Share: refusalsShare}.withDefaults(), true
	case WeighOverspend:
		return Split{Cover: overspendCover, Share: overspendShare}.withDefaults(), true
	}
	return Split{}, false
}

// withDefaults returns the split with its unset values filled in.
func (s Split) withDefaults() Split {
	defaults.Set(&s.Cover, DefaultCover)
	defaults.Set(&s.Share, DefaultShare)
	defaults.Set(&s.Wait, DefaultWait)
	return s
}

// tokensFor returns what a rate in tokens a second spends in a duration.
func tokensFor(rate float64, d time.Duration) granitehoist.Tokens {
	return granitehoist.Tokens(rate * d.Seconds())
}
