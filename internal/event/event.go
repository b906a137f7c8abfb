// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package event defines the names of the log events of an edge router
// (granitehoist-edge). Package explain finds lines by these names. docs/OPERATIONS.md
// describes each event; a test of package node compares that page with All. The package
// holds no state.
package event

// Name is the name of an event, the value of the key "event" of a log line. Some values
// keep an older word for compatibility.
type Name = string

// Process events. Package node logs them, except Reload, ReloadFailed and BootUnknown
// (cmd/granitehoist-edge) and LogDropped (internal/logsink).
const (
	Start        Name = "start"
	Stop         Name = "stop"
	Stopped      Name = "stopped"
	Reload       Name = "reload"
	ReloadFailed Name = "reload_failed"
	ServeFailed  Name = "serve_failed"
	ReturnFailed Name = "return_failed"
	LeaveFailed  Name = "leave_failed"
	LogDropped   Name = "log_dropped"
	Resumed      Name = "woke"
	BootUnknown  Name = "boot_unknown"
)

// Request events, logged by package forward.
const (
	Request Name = "request"
	Attempt Name = "attempt"
	Suspect Name = "suspect"
)

// Events of the configuration, the upstreams, the store, the fleet and the budgets.
// Package follow logs those from StoreLost to RelayLost, package escrow those of the
// budgets, and package node the other events.
const (
	ConfigInForce     Name = "config_in_force"
	ConfigBad         Name = "config_bad"
	ZoneEvacuated     Name = "zone_evacuated"
	ZoneRestored      Name = "zone_restored"
	Upstream          Name = "upstream"
	UpstreamGone      Name = "upstream_gone"
	UpstreamBad       Name = "upstream_bad"
	UpstreamLimit     Name = "upstream_limit"
	UpstreamLeaving   Name = "upstream_leaving"
	UpstreamBackoff   Name = "upstream_rests"
	RejectionLimit    Name = "upstream_rejection_limit"
	PathLost          Name = "path_lost"
	PathRegained      Name = "path_regained"
	DetourFailed      Name = "detour_failed"
	StoreLost         Name = "store_lost"
	StoreRegained     Name = "store_regained"
	StoreSilent       Name = "store_silent"
	HistoryGone       Name = "history_gone"
	StoreRestored     Name = "store_restored"
	CopyRejected      Name = "copy_rejected"
	CopyFromNeighbour Name = "copy_from_neighbour"
	RelayLost         Name = "relay_lost"
	Shedding          Name = "shedding"
	PeerBad           Name = "peer_bad"
	SuspectBad        Name = "suspect_bad"
	SuspectKeepFailed Name = "suspect_keep_failed"
	Release           Name = "release"
	ReleaseFailed     Name = "release_failed"
	OriginDropped     Name = "origin_dropped"

	OriginArchiveFailed Name = "origin_archive_failed"
	ReadLimitExceeded   Name = "read_limit_exceeded"
	BudgetGrant         Name = "budget_grant"
	BudgetLoan          Name = "budget_loan"
	BudgetRepaid        Name = "budget_repaid"
	BudgetSyncFailed    Name = "budget_sync_failed"
)

// Events of roll-outs, logged by package rollout.
const (
	RolloutOrder       Name = "rollout_order"
	RolloutStage       Name = "rollout_stage"
	RolloutFinding     Name = "rollout_finding"
	RolloutVerdict     Name = "rollout_verdict"
	RolloutWriteFailed Name = "rollout_write_failed"
)

// All returns the names of all events, in the order of the groups above.
func All() []Name {
	return []Name{
		Start, Stop, Stopped, Reload, ReloadFailed, ServeFailed, ReturnFailed, LeaveFailed, LogDropped, Resumed, BootUnknown,
		Request, Attempt, Suspect,
		ConfigInForce, ConfigBad, ZoneEvacuated, ZoneRestored, Upstream, UpstreamGone, UpstreamBad, UpstreamLimit, UpstreamLeaving, UpstreamBackoff, RejectionLimit, PathLost, PathRegained, DetourFailed, StoreLost, StoreRegained, StoreSilent, HistoryGone,
		StoreRestored, CopyRejected, CopyFromNeighbour, RelayLost, Shedding, PeerBad, SuspectBad, SuspectKeepFailed, Release, ReleaseFailed, OriginDropped, OriginArchiveFailed, ReadLimitExceeded, BudgetGrant, BudgetLoan, BudgetRepaid, BudgetSyncFailed,
		RolloutOrder, RolloutStage, RolloutFinding, RolloutVerdict, RolloutWriteFailed,
	}
}
