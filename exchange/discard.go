// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import "io"

// discard closes a connection that is no longer used. It drops the error of
// closing, which changes nothing: the result of the exchange has been decided.
func discard(connection io.Closer) { _ = connection.Close() }
