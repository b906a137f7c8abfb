// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "strconv"

// Rate is a number of requests a second.
type Rate float64

// RateStatement is what one answer says of the rate that its instance takes from all
// routers together. The zero value names none.
type RateStatement struct {
	// Named says that the answer names Rate.
	Named bool
	Rate  Rate
	// Unreadable says that it states something which is no rate.
	Unreadable bool
}

// Stated reports whether the answer states anything, readable or not.
func (s RateStatement) Stated() bool { return s.Named || s.Unreadable }

// String returns the rate, "unreadable", or "none".
func (s RateStatement) String() string {
	switch {
	case s.Named:
		return strconv.FormatFloat(float64(s.Rate), 'g', -1, 64)
	case s.Unreadable:
		return "unreadable"
	}
	return "none"
}
