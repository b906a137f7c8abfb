// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package upstream implements the protocols of model engines and plain services. It
// checks that each response is complete and belongs to the attempt that was sent.
//
// An engine speaks the OpenAI-compatible protocol over HTTP. The attempt id is sent as
// X-Request-Id, and the engine derives the id of its response from it, so that the
// response to another request is detected. A streamed response is complete if each
// choice has a finish reason and the stream ends with [DONE]. A connection whose
// response was not read to its end is closed.
//
// The only state is the pool of idle connections of the HTTP clients, which do their
// own locking. The state of a stream belongs to the call that reads it. Both protocols
// are safe for concurrent use.
//
// The package uses exchange.EndToEndHeader to select the headers to forward. Its caller,
// package partner/gate in 'granitehoist router', chooses the upstream, decides on
// retries and charges the cost of each attempt.
//
// granitehoist-edge uses package exchange instead, which writes HTTP itself because the
// standard library may send a request twice on a reused connection, and platform.Codec
// for upstreams with another protocol. In this package, calls that must run at most once
// use a new connection.
//
// Begin reading at Engine.Do, then at sender.open and Engine.forwardStream.
package upstream
