// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/partner/orphan"
	"granitehoist.example/granitehoist/partner/report"
	"granitehoist.example/granitehoist/partner/router"
)

const (
	// defaultAdmin is the admin address of the first router of examples/site.
	defaultAdmin = "http://127.0.0.1:8082"
	// adminTimeout limits one call. Some calls read all records of a kind from the
	// store, so it is longer than the timeout of a request.
	adminTimeout = 30 * time.Second
)

// adminClient is a client of a router's admin address.
type adminClient struct {
	address *string
}

// newAdminClient adds the flag --router to a command, and returns a client of the router
// at the address in the flag.
func newAdminClient(clause *kingpin.CmdClause) adminClient {
	return adminClient{clause.Flag("router", "Admin address of any router.").Default(defaultAdmin).String()}
}

// call sends a request and decodes the response into result. It returns the router's
// error, or why there was no response.
func (c adminClient) call(ctx context.Context, s *sling.Sling, result any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := s.Request()
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	var adminErr router.AdminError
	response, err := s.Do(request.WithContext(ctx), result, &adminErr)
	switch {
	case adminErr.Code != 0:
		return eris.Errorf("%d %s: %s", adminErr.Code, adminErr.Name, adminErr.Message)
	case err != nil:
		return eris.Wrap(err, "call router")
	case response.StatusCode >= http.StatusBadRequest:
		return eris.Errorf("router answered status %d", response.StatusCode)
	}
	return nil
}

// base returns a request builder with the router's address.
func (c adminClient) base() *sling.Sling { return sling.New().Base(*c.address) }

// tablePadding is the number of spaces between two columns.
const tablePadding = 2

// newTable returns a table with a header line.
func newTable(out io.Writer, columns ...string) *tabwriter.Writer {
	table := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(table, strings.Join(columns, "\t"))
	return table
}

// newBudgets returns the command that shows the allocation of tokens.
func newBudgets(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("budget", "Inspect budgets.").Command("show", "Show the allocation of each budget's tokens.")
	c := newAdminClient(clause)
	return command{clause, func(ctx context.Context) error {
		var budgets []budget.Overview
		if err := c.call(ctx, c.base().Get(router.PathBudgets), &budgets); err != nil {
			return err
		}
		table := newTable(out, "BUDGET", "PREPAID", "UNALLOCATED", "REGION STOCK", "HELD BY BOXES", "OF THEM IN DOUBT", "CHARGED", "ON THE WAY")
		for _, b := range budgets {
			fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%d\t%d\t%d\n", b.Budget, b.Prepaid, b.Unallocated, byRegion(b.Stock), byRegion(b.Held), b.InDoubt, b.Charged, b.InTransit)
		}
		return table.Flush()
	}}
}

// newBills returns the command that shows the charges.
func newBills(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("bills", "Show the charges of each budget.")
	c := newAdminClient(clause)
	return command{clause, func(ctx context.Context) error {
		var bills []bill.Summary
		if err := c.call(ctx, c.base().Get(router.PathBills), &bills); err != nil {
			return err
		}
		table := newTable(out, "BUDGET", "REQUESTS", "TOKENS", "OF THEM ESTIMATED", "ON THE PARTNER'S CAPACITY")
		for _, b := range bills {
			fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\n", b.Budget, b.Requests, b.Tokens, b.Estimated, b.Lent)
		}
		return table.Flush()
	}}
}

// byRegion formats amounts as "region:amount", sorted by region.
func byRegion(amounts map[granitehoist.Region]granitehoist.Tokens) string {
	parts := make([]string, 0, len(amounts))
	for region, tokens := range amounts {
		parts = append(parts, fmt.Sprintf("%s:%d", region, tokens))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// newSettle returns the command that charges the attempts of a terminated router.
func newSettle(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("settle", "Charge the attempts of a router that is known to have terminated, and end those still running.")
	c := newAdminClient(clause)
	incarnation := clause.Arg("incarnation", "The router's incarnation, as its log lines name it.").Required().String()
	return command{clause, func(ctx context.Context) error {
		var result orphan.Result
		if err := c.call(ctx, c.base().Post(router.PathOrphans+*incarnation), &result); err != nil {
			return err
		}
		fmt.Fprintf(out, "incarnation=%s found=%d charged=%d running=%d unreached=%d\n", result.Incarnation, result.Found, result.Charged, result.Running, len(result.UnreachableEngines))
		return nil
	}}
}

// newReportBurn returns the command that shows the error budget burn rates.
func newReportBurn(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("report", "Reports on the fleet.").Command("burn", "Service-level burn by service, workspace and availability zone over several windows.")
	c := newAdminClient(clause)
	return command{clause, func(ctx context.Context) error {
		var burn report.BurnReport
		if err := c.call(ctx, c.base().Get(router.PathBurn), &burn); err != nil {
			return err
		}
		return report.WriteBurn(out, burn)
	}}
}
