// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package upstream speaks to model engines and to plain services, and checks
// that each answer is whole and belongs to the attempt that it is given to.
//
// An engine speaks the OpenAI-compatible protocol over HTTP. The attempt id is
// sent as X-Request-Id; the engine makes the id of the answer from it, so the
// answer of another request shows. A streamed answer is whole when each choice
// has a finish reason and the stream ends with its end mark.
//
// A connection on which anything was in doubt is not used again.
package upstream
