// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package pushback keeps the time without requests that an upstream asks for when it turns
// one away (RFC 9110, section 10.2.3), and how it gets its requests back afterwards. Both
// routers use it. Nothing in it is safe for concurrent use.
package pushback
