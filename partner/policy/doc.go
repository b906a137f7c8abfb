// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package policy decides whether a request may run, by the operators' short
// programs in the Common Expression Language (CEL).
//
// A policy has two programs over the same named, typed inputs: permit, a
// boolean, and priority, an integer. The inputs are listed at Request. A
// program that costs more than CostLimit steps, or that fails, denies.
//
// The library is cel-go.
package policy
