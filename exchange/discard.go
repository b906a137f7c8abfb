// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import "io"

// discard closes a connection that nothing uses any more. The error of closing
// is dropped: the connection is unusable whatever it says, and what it carried
// has been judged before.
func discard(connection io.Closer) { _ = connection.Close() }
