// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"slices"

	"granitehoist.example/granitehoist"
)

// Homes are the regions that a rule of the operators allows a request to be sent to.
// No regions say that the rule sets no bound.
type Homes []granitehoist.Region

// allow decides whether the homes allow a region. A zone whose region is not known is
// in none of them.
func (h Homes) allow(region granitehoist.Region) bool {
	return len(h) == 0 || slices.Contains(h, region)
}

// allAllow decides whether all of several homes allow a region.
func allAllow(homes []Homes, region granitehoist.Region) bool {
	for _, h := range homes {
		if !h.allow(region) {
			return false
		}
	}
	return true
}
