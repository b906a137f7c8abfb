// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package policy decides whether a request may run and with which priority. The
// rules are short programs in the Common Expression Language (CEL), written by
// operators and evaluated with the library cel-go.
//
// A Policy has two programs over the same typed variables, which Request lists:
// permit yields a boolean and priority an integer. A program that fails, or whose
// evaluation costs more than costLimit, denies the request.
//
// 'granitehoist router' evaluates the policies of the active configuration through
// config.View, and 'granitehoist check' compiles the policies of a configuration to be
// checked. granitehoist-edge has no policies.
//
// The package keeps no state. A compiled Policy is immutable and safe for
// concurrent use, and the time of day is part of the request.
//
// Begin with Set.Decide, which combines several policies, and Policy.Decide.
package policy
