// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package explain explains the outcome of one request, the use of one budget, or the
// roll-outs of one service, from the log lines of routers: the state on which the router
// decided, the attempts, the result that the caller got, and the failed dependencies that
// caused it.
//
// Read returns the Timeline of a request, ReadBudget the BudgetReport of a workspace and
// ReadRollout the RolloutReport of a service; each is safe for use by one goroutine at a
// time. 'granitehoist explain', 'granitehoist explain-budget' and 'granitehoist
// explain-rollout' run them on the log of granitehoist-edge. The package
// depends on the event names of internal/event, on the keys that package forward and
// others log, on the result codes of the root package and on the outcomes of package
// escrow.
//
// boxState tracks the dependencies of each box line by line, facts.go turns the lines
// of the request into facts, and cause.go derives their cause. Begin reading at Read.
package explain
