// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package settings reads the TOML file that tells a router who and where it is.
// It holds what belongs to one box; what operators decide is in the documents
// of package config.
//
// It owns no state. The settings are read once, at the start, and nobody changes
// them after Load.
//
// It relies on internal/tomlfile to read TOML and to report all faults at once,
// and on packages budget and config for the types that some settings become.
//
// 'granitehoist router' and 'granitehoist check' run it. The edge router reads the
// file of its platform with platform.ReadSettings.
//
// Begin reading at Router, then Load and checker.router.
package settings
