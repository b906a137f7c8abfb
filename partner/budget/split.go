// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Split configures how the tokens of a partner's budgets are spread over boxes. The zero
// value is ready to use. No Split can cause overspend. Large holdings cause few refusals
// while a box is cut off, but leave many tokens in doubt after a box has failed.
type Split struct {
	// Cover is how long a box's holding should last at the box's forecast spending rate.
	// Zero means DefaultCover.
	Cover time.Duration
	// Share, from 0 to 1, limits holdings when few tokens remain. The remaining tokens
	// divided by the forecast spending rate of all holders is the remaining lifetime of
	// the budget. A holding should last for at most Share times this lifetime, even if
	// Cover is longer. Zero means DefaultShare.
	Share float64
	// MaxWait bounds how long a request waits for tokens. Zero means DefaultWait.
	MaxWait time.Duration
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

// Covers and shares of the weightings.
const (
	// weighRefusalsCover lets a box that is cut off serve for two hours at its forecast.
	weighRefusalsCover = 2 * time.Hour
	weighRefusalsShare = 0.9
	// weighOverspendCover lets a box that is cut off serve for over an hour at its forecast.
	weighOverspendCover = 75 * time.Minute
	weighOverspendShare = 0.85
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
		return Split{Cover: weighRefusalsCover, Share: weighRefusalsShare}.withDefaults(), true
	case WeighOverspend:
		return Split{Cover: weighOverspendCover, Share: weighOverspendShare}.withDefaults(), true
	}
	return Split{}, false
}

// withDefaults returns the split with defaults for zero values.
func (s Split) withDefaults() Split {
	defaults.Set(&s.Cover, DefaultCover)
	defaults.Set(&s.Share, DefaultShare)
	defaults.Set(&s.MaxWait, DefaultWait)
	return s
}

// tokensFor returns the tokens spent in d at a rate in tokens per second.
func tokensFor(rate float64, d time.Duration) granitehoist.Tokens {
	return granitehoist.Tokens(rate * d.Seconds())
}
