// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package policy decides whether a request may run, by the operators' short
// programs in the Common Expression Language (CEL).
//
// A policy has two programs over the same named, typed inputs: permit, a
// boolean, and priority, an integer. The inputs are listed at Request. A
// program that costs more than costLimit steps, or that fails, denies.
//
// It runs in 'granitehoist router', where config.View asks the policies of the
// documents in force, and in 'granitehoist check'. granitehoist-edge has no
// policies.
//
// State. There is none: a compiled Policy does not change and is safe for
// concurrent use, and the time comes with the request. The package relies on the
// library cel-go.
//
// Begin with Set.Decide, the rule over several policies, and Policy.Decide.
package policy
