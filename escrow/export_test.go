// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Enter enters a request that waits, as Syncer.Reserve does, and returns where
// its outcome arrives.
func (l *Ledger) Enter(w granitehoist.Workspace, bound granitehoist.Tokens, priority granitehoist.Priority, now time.Time) <-chan Outcome {
	return l.wait(w, bound, priority, now).ended
}
