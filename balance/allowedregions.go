// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"slices"

	"granitehoist.example/granitehoist"
)

// AllowedRegions are the regions to which a rule of the operators confines a request. An
// empty value allows all regions.
type AllowedRegions []granitehoist.Region

// allows reports whether the rule allows a region. The empty region of an unknown zone is
// allowed only if AllowedRegions is empty.
func (r AllowedRegions) allows(region granitehoist.Region) bool {
	return len(r) == 0 || slices.Contains(r, region)
}

// allowedByAll reports whether all of the rules allow a region.
func allowedByAll(constraints []AllowedRegions, region granitehoist.Region) bool {
	for _, r := range constraints {
		if !r.allows(region) {
			return false
		}
	}
	return true
}
