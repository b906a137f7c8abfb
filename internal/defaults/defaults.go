// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package defaults fills in the settings that nobody set. All programs use it, in
// the functions that make something from a Settings struct. It holds no state.
package defaults

// Set replaces a setting that has its zero value by the standard one. A setting for
// which zero has a meaning of its own can't be set this way.
func Set[T comparable](setting *T, standard T) {
	var unset T
	if *setting == unset {
		*setting = standard
	}
}
