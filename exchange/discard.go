// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import "io"

// discard closes a connection that is no longer used. It ignores the error of Close, which
// does not affect the result of the exchange.
func discard(connection io.Closer) { _ = connection.Close() }
