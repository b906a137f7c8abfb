// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package forward takes a request from its caller to an upstream and back.
//
// The steps are: identify (route, workspace, deadline), pay (the most that the
// request can cost is reserved), choose (an instance of the service), attempt,
// answer. Front doors translate their callers' protocol into a Request and a
// Sink; a Codec writes what upstreams are told and reads what they say. No
// decision is made in either.
//
// Of every attempt it is known whether it has not run, may have run, or has
// run. A caller is told that its request was not run only if that is so of all
// attempts.
package forward
