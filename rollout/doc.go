// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package rollout moves the requests of a service to another release of its upstreams, or
// back, on an operator's order.
//
// Until the verdict the new release is a canary: it receives a small share of the requests,
// and its failures and latencies are compared with those of the releases in force, the
// baseline. A bad release is reverted; a good one receives all requests and the order is
// complete once nothing runs at the baseline any more. docs/design/rollouts.md describes
// the design.
package rollout
