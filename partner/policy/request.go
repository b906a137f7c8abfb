// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package policy

import (
	"time"

	"cel.dev/cel-go/cel"

	"granitehoist.example/granitehoist"
)

// Request holds the attributes of a request that a policy can test. The comment of
// each field names its CEL variable.
type Request struct {
	Workspace  granitehoist.Workspace        // workspace: string
	Service    granitehoist.Service          // service: string
	Model      granitehoist.Model            // model: string, "" for a plain service
	Partner    granitehoist.Partner          // partner: string, the caller's partner
	Owner      granitehoist.Partner          // owner: string, the partner whose capacity is requested
	Zone       granitehoist.AvailabilityZone // place: string, the availability zone of the router
	Priority   granitehoist.Priority         // priority: int, as requested by the caller
	PromptSize int                           // prompt_size: int, bytes
	MaxOutput  granitehoist.Tokens           // max_output: int, tokens
	Budget     string                        // budget: string, the name within the workspace
	// Time provides hour (int, 0 to 23) and weekday (int, Sunday is 0) in its own
	// time zone.
	Time time.Time
}

// environment declares the CEL variables that Request.variables fills in.
var environment = newEnvironment()

// newEnvironment panics if a declaration is invalid, which is a programming error.
func newEnvironment() *cel.Env {
	env, err := cel.NewEnv(
		cel.Variable("workspace", cel.StringType),
		cel.Variable("service", cel.StringType),
		cel.Variable("model", cel.StringType),
		cel.Variable("partner", cel.StringType),
		cel.Variable("owner", cel.StringType),
		cel.Variable("place", cel.StringType),
		cel.Variable("budget", cel.StringType),
		cel.Variable("priority", cel.IntType),
		cel.Variable("prompt_size", cel.IntType),
		cel.Variable("max_output", cel.IntType),
		cel.Variable("hour", cel.IntType),
		cel.Variable("weekday", cel.IntType),
	)
	if err != nil {
		panic("policy: environment: " + err.Error())
	}
	return env
}

// variables returns the values of the CEL variables by name.
func (r Request) variables() map[string]any {
	return map[string]any{
		"workspace":   string(r.Workspace),
		"service":     string(r.Service),
		"model":       string(r.Model),
		"partner":     string(r.Partner),
		"owner":       string(r.Owner),
		"place":       string(r.Zone),
		"budget":      r.Budget,
		"priority":    int64(r.Priority),
		"prompt_size": int64(r.PromptSize),
		"max_output":  int64(r.MaxOutput),
		"hour":        int64(r.Time.Hour()),
		"weekday":     int64(r.Time.Weekday()),
	}
}
