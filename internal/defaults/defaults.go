// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package defaults fills in unset settings. All programs use it in the constructors that
// take a Settings struct. It holds no state.
package defaults

// Set sets a setting that has its zero value to the default. It must not be used for a
// setting whose zero value is meaningful.
func Set[T comparable](setting *T, value T) {
	var unset T
	if *setting == unset {
		*setting = value
	}
}
