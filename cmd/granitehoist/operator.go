// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
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
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/orphan"
	"granitehoist.example/granitehoist/partner/report"
	"granitehoist.example/granitehoist/partner/router"
)

const defaultAdmin = "http://127.0.0.1:8082"

// operator calls a router's admin address.
type operator struct {
	address *string
}

func newOperator(clause *kingpin.CmdClause) operator {
	return operator{clause.Flag("router", "Admin address of any router.").Default(defaultAdmin).String()}
}

const operatorTimeout = 30 * time.Second

// call sends a request and decodes the answer into result. It returns the
// status, and an error that tells what the router said.
func (o operator) call(ctx context.Context, s *sling.Sling, result any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := s.Request()
	if err != nil {
		return 0, eris.Wrap(err, "request")
	}
	var refusal router.AdminError
	response, err := s.Do(request.WithContext(ctx), result, &refusal)
	switch {
	case refusal.Code != 0:
		return response.StatusCode, eris.Errorf("%d %s: %s", refusal.Code, refusal.Name, refusal.Message)
	case err != nil:
		return 0, eris.Wrap(err, "router")
	case response.StatusCode >= http.StatusBadRequest:
		return response.StatusCode, eris.Errorf("router answered status %d", response.StatusCode)
	}
	return response.StatusCode, nil
}

func (o operator) base() *sling.Sling { return sling.New().Base(*o.address) }

func newApply(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("apply", "Sign a partner's document and put it in force.")
	o := newOperator(clause)
	keyFile := clause.Flag("key", "File of the partner's secret key.").Required().String()
	wait := clause.Flag("wait", "How long to wait until every router has it in force.").Default("10s").Duration()
	file := clause.Arg("file", "The document.").Required().String()
	return command{clause, func(ctx context.Context) error {
		return apply(ctx, o, out, *file, *keyFile, *wait)
	}}
}

func apply(ctx context.Context, o operator, out io.Writer, file, keyFile string, wait time.Duration) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	document, err := config.Parse(file, text)
	if err != nil {
		return err
	}
	key, err := readSecret(keyFile)
	if err != nil {
		return err
	}
	path := router.PathDocuments + string(document.Partner)
	var state router.DocumentState
	if _, err := o.call(ctx, o.base().Get(path), &state); err != nil {
		return err
	}
	signed := config.Signed{
		Partner:  document.Partner,
		Text:     string(text),
		Serial:   state.Current.Signed.Serial + 1,
		ChangeID: granitehoist.NewID("c", rand.Reader),
		Previous: state.Current.Signed.ChangeID,
	}
	signed.Sign(key)
	if _, err := o.call(ctx, o.base().Put(path).BodyJSON(signed), &state); err != nil {
		return err
	}
	return waitAccepted(ctx, o, out, path, signed.Serial, state, wait)
}

const acceptancePause = 200 * time.Millisecond

// waitAccepted asks until the document is accepted. What it prints is "pending"
// unless every router of the view has the document in force.
func waitAccepted(ctx context.Context, o operator, out io.Writer, path string, serial granitehoist.Serial, state router.DocumentState, wait time.Duration) error {
	limit := time.After(wait)
	for !state.Accepted {
		select {
		case <-limit:
			fmt.Fprintf(out, "serial=%d state=pending in_force=%d waiting=%s\n", serial, len(state.InForce), joinBoxes(state.Waiting))
			return failed{}
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(acceptancePause):
		}
		if _, err := o.call(ctx, o.base().Get(path), &state); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "serial=%d state=accepted in_force=%d\n", serial, len(state.InForce))
	return nil
}

func joinBoxes(boxes []granitehoist.Box) string {
	names := make([]string, len(boxes))
	for i, b := range boxes {
		names[i] = string(b)
	}
	return strings.Join(names, ",")
}

func newShow(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("show", "Show a partner's document and where it is in force.")
	o := newOperator(clause)
	partner := clause.Arg("partner", "The partner.").Required().String()
	return command{clause, func(ctx context.Context) error {
		var state router.DocumentState
		if _, err := o.call(ctx, o.base().Get(router.PathDocuments+*partner), &state); err != nil {
			return err
		}
		fmt.Fprintf(out, "# serial=%d accepted=%t in_force=%s waiting=%s\n", state.Current.Signed.Serial, state.Accepted, joinBoxes(state.InForce), joinBoxes(state.Waiting))
		fmt.Fprint(out, state.Current.Signed.Text)
		return nil
	}}
}

const tablePadding = 2

func newTable(out io.Writer, columns ...string) *tabwriter.Writer {
	table := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(table, strings.Join(columns, "\t"))
	return table
}

func newBudgets(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("budget", "Look at budgets.").Command("show", "Show where the tokens of each budget are.")
	o := newOperator(clause)
	return command{clause, func(ctx context.Context) error {
		var budgets []budget.Overview
		if _, err := o.call(ctx, o.base().Get(router.PathBudgets), &budgets); err != nil {
			return err
		}
		table := newTable(out, "BUDGET", "PREPAID", "UNALLOCATED", "REGION STOCK", "HELD BY BOXES", "OF THEM IN DOUBT", "CHARGED", "ON THE WAY")
		for _, b := range budgets {
			fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%d\t%d\t%d\n", b.Budget, b.Prepaid, b.Unallocated, byRegion(b.Stock), byRegion(b.Held), b.InDoubt, b.Charged, b.OnTheWay)
		}
		return table.Flush()
	}}
}

func newBills(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("bills", "Show what was charged to each budget.")
	o := newOperator(clause)
	return command{clause, func(ctx context.Context) error {
		var bills []bill.Summary
		if _, err := o.call(ctx, o.base().Get(router.PathBills), &bills); err != nil {
			return err
		}
		table := newTable(out, "BUDGET", "REQUESTS", "TOKENS", "OF THEM ESTIMATED", "ON THE PARTNER'S CAPACITY")
		for _, b := range bills {
			fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\n", b.Budget, b.Requests, b.Tokens, b.Estimated, b.Lent)
		}
		return table.Flush()
	}}
}

// byRegion writes amounts as "region:amount", in the order of the regions.
func byRegion(amounts map[granitehoist.Region]granitehoist.Tokens) string {
	parts := make([]string, 0, len(amounts))
	for region, tokens := range amounts {
		parts = append(parts, fmt.Sprintf("%s:%d", region, tokens))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

func newSettle(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("settle", "Charge the attempts of a router that is known to be gone, and end those that still run.")
	o := newOperator(clause)
	incarnation := clause.Arg("incarnation", "The router's incarnation, as its log lines name it.").Required().String()
	return command{clause, func(ctx context.Context) error {
		var result orphan.Result
		if _, err := o.call(ctx, o.base().Post(router.PathOrphans+*incarnation), &result); err != nil {
			return err
		}
		fmt.Fprintf(out, "incarnation=%s found=%d charged=%d running=%d unreached=%d\n", result.Incarnation, result.Found, result.Charged, result.Running, len(result.Unreached))
		return nil
	}}
}

func newReportBurn(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("report", "Reports on the fleet.").Command("burn", "Service-level burn by service, workspace and availability zone over several windows.")
	o := newOperator(clause)
	return command{clause, func(ctx context.Context) error {
		var burn report.Burn
		if _, err := o.call(ctx, o.base().Get(router.PathBurn), &burn); err != nil {
			return err
		}
		return report.WriteBurn(out, burn)
	}}
}
