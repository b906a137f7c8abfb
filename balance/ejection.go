// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

// Result is how an attempt ended, for the choice of later ones.
type Result int

// The results.
const (
	// Good says that the instance did its part.
	Good Result = iota
	// Failed says that it answered with a failure of its own.
	Failed
	// Refused says that it has no room.
	Refused
	// Broken says that no answer came, or one that can't be used.
	Broken
	// Unclear says nothing of the instance: the caller left, say.
	Unclear
	// Moved says that another instance has the address.
	Moved
)

// Bounds of being left out.
const (
	maxEjectionDoublings = 5
	refusedDivisor       = 4
)
