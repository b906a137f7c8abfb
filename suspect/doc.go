// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package suspect names requests by what they ask for, so that the routers
// recognise one that comes again, at any router and under any id.
//
// A Digest is the name of a request: two requests have the same one if they have
// the same method, host, target, workspace and body. It is safe in logs and
// messages, since it can't be turned back into any of these.
package suspect
