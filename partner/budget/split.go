// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Split tells how the tokens of a partner's budgets are spread. Its zero value
// works. No value of it can cause overspend: it trades refusals while parts of
// the fleet are cut off against tokens that are in doubt when a box dies.
type Split struct {
	// Cover is how long a box's holding should last at its forecast. Zero
	// stands for DefaultCover.
	Cover time.Duration
	// LeastCover is how long it should last when the budget runs low. Zero
	// stands for DefaultLeastCover.
	LeastCover time.Duration
	// Share is the part of a region's tokens of a budget that may be held by
	// boxes beyond LeastCover, and the part of the root's that may be with
	// regions, from 0 to 1. Zero stands for DefaultShare.
	Share float64
	// Wait bounds how long a request waits for tokens before it is refused.
	// Zero stands for DefaultWait.
	Wait time.Duration
}

// Defaults of a Split.
const (
	DefaultCover      = 30 * time.Minute
	DefaultLeastCover = 3 * time.Second
	DefaultShare      = 0.8
	DefaultWait       = 2 * time.Second
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
		return Split{Cover: 2 * time.Hour, Share: 0.9}.withDefaults(), true
	case WeighOverspend:
		return Split{Cover: 75 * time.Minute, Share: 0.85}.withDefaults(), true
	}
	return Split{}, false
}

func (s Split) withDefaults() Split {
	defaults.Set(&s.Cover, DefaultCover)
	defaults.Set(&s.LeastCover, DefaultLeastCover)
	defaults.Set(&s.Share, DefaultShare)
	defaults.Set(&s.Wait, DefaultWait)
	return s
}

// tokensFor returns what a rate in tokens a second spends in a duration.
func tokensFor(rate float64, d time.Duration) granitehoist.Tokens {
	return granitehoist.Tokens(rate * d.Seconds())
}
