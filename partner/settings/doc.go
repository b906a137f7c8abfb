// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package settings reads and validates the TOML settings file of one router: its
// identity, addresses, trusted keys and limits. Configuration that operators change
// at run time is in the documents of package config.
//
// The package has no state. Settings are read once at start-up and are not changed
// after Load.
//
// Package internal/tomlfile decodes the file and reports all faults at once;
// packages budget and config define the types that some settings are converted to.
//
// 'granitehoist router' and 'granitehoist check' use it. granitehoist-edge reads its
// settings with platform.ReadSettings.
//
// Begin reading at Router, then Load and checker.router.
package settings
