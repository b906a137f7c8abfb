// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package defaults fills in the settings that nobody set.
package defaults

// Set gives a setting that has its zero value the standard one.
func Set[T comparable](setting *T, standard T) {
	var unset T
	if *setting == unset {
		*setting = standard
	}
}
