// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package upstream speaks to model engines and to plain services, and checks
// that each answer is complete and belongs to the attempt that it is given to.
//
// An engine speaks the OpenAI-compatible protocol over HTTP. The attempt id is
// sent as X-Request-Id; the engine makes the id of the answer from it, so the
// answer of another request shows. A streamed answer is complete when each choice
// has a finish reason and the stream ends with its end mark. A connection on
// which anything was in doubt is not used again.
//
// State: the idle connections of the HTTP clients, under the clients' own locks.
// A stream's state belongs to the call that reads it. Both protocols are safe for
// concurrent use.
//
// It relies on exchange.PassedOn for the headers that are passed on, and on its
// caller, package partner/gate, to choose the upstream, to decide on another
// attempt and to charge what an attempt cost.
//
// 'granitehoist router' runs it. The edge router has package exchange for its
// connections, which writes HTTP itself since the standard library may send a
// request twice on a reused connection, and platform.Codec for the headers of
// its upstreams, which speak another protocol. Here calls that run at most once
// take a new connection instead.
//
// Begin reading at Engine.Do, then at sender.open and Engine.passStream.
package upstream
