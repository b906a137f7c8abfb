// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import "granitehoist.example/granitehoist"

// enginePriority returns the priority that an engine is sent. Engines serve a
// smaller number first, callers and policies count the other way.
func enginePriority(p granitehoist.Priority) granitehoist.Priority {
	return granitehoist.MaxPriority - p
}
