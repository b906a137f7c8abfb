// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package pushback implements the backoff that an upstream requests with Retry-After when
// it rejects a request (RFC 9110, section 10.2.3), and the gradual recovery afterwards. The
// edge and the partner router use it.
//
// RetryAfter and IsOverload read a response; a Backoff holds the backoff of one upstream. A
// Backoff is not safe for concurrent use. Begin reading at Backoff.Allows.
package pushback
