// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/route"
	"granitehoist.example/granitehoist/partner/upstream"
)

func (g *Gate) serveCompletion(w http.ResponseWriter, r *http.Request) {
	req, err := g.begin(w, r)
	if err == nil {
		err = g.readCompletion(w, r, req)
	}
	g.answer(w, r, req, err)
}

func (g *Gate) servePlain(w http.ResponseWriter, r *http.Request) {
	req, err := g.begin(w, r)
	if err == nil {
		err = g.readPlain(w, r, req)
	}
	g.answer(w, r, req, err)
}

// begin reads what all requests have: the id, the key, the headers and the
// budget. The request is never nil; its sink answers also after an error.
func (g *Gate) begin(w http.ResponseWriter, r *http.Request) (*request, error) {
	req := &request{asked: asked{id: g.requestID(r), hasID: r.Header.Get(HeaderRequest) != "", began: g.settings.Clock()}}
	req.sink = &sink{w: w, id: req.asked.id, onPiece: func() { g.recordPiece(req) }}
	if err := g.availability().refusal(); err != nil {
		return req, err
	}
	view := g.settings.View()
	var err error
	if req.asked.identity, err = identify(view, r); err != nil {
		return req, err
	}
	if req.asked.options, err = parseOptions(r.Header, g.settings.Limits.RequestTimeout); err != nil {
		return req, err
	}
	req.decided.budget, err = budgetOf(view, req.asked.identity, req.asked.options.budget)
	return req, err
}

// budgetOf returns the budget that pays: the one that the caller named, or the
// key's. Its errors are *Error with code BudgetUnknown.
func budgetOf(view *config.View, identity config.Identity, named string) (granitehoist.BudgetID, error) {
	name := named
	if name == "" {
		name = identity.Budget
	}
	budget := granitehoist.NewBudgetID(identity.Partner, identity.Workspace, name)
	if _, ok := view.Prepaid(budget); !ok {
		return budget, granitehoist.Errorf(granitehoist.BudgetUnknown, "budget %q", name)
	}
	return budget, nil
}

// readCompletion reads a request to a model.
func (g *Gate) readCompletion(w http.ResponseWriter, r *http.Request, req *request) error {
	body, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	c, err := parseCompletion(body)
	if err != nil {
		return err
	}
	offer, ok := g.settings.View().OfferOfModel(req.asked.identity.Partner, c.model)
	if !ok {
		return granitehoist.Errorf(granitehoist.UnknownModel, "model %q", c.model)
	}
	if (r.URL.Path == pathChat) != (c.messages > 0) {
		return granitehoist.Errorf(granitehoist.BadRequest, "%s takes \"messages\" and %s takes \"prompt\"", pathChat, pathCompletions)
	}
	req.askCompletion(c, offer)
	req.decideCompletion(c, r.URL.Path)
	return nil
}

// askCompletion notes what a completion asks for.
func (r *request) askCompletion(c *completion, offer *config.Offer) {
	r.asked.offer = offer
	r.asked.model = c.model
	r.asked.bodyBytes = c.bodyBytes
	r.asked.maxOutput = c.choices * c.maxOutput(offer.Service)
	r.asked.writeBody = func(p granitehoist.Priority) ([]byte, error) { return c.upstreamBody(offer.Service, p) }
	r.sink.stream = c.stream
}

// decideCompletion decides how a completion is reserved, placed and sent. It may
// be repeated unless its caller says otherwise: an answer that did not arrive has cost
// tokens, which the budget pays, and changed nothing.
func (r *request) decideCompletion(c *completion, path string) {
	r.decided.bound = c.bound(r.asked.offer.Service)
	r.decided.affinity = route.PrefixAffinity(c.prefix)
	r.decided.once = r.asked.options.once
	r.decided.repeatable = !r.decided.once
	r.decided.call = granitehoist.Call{
		Method:    http.MethodPost,
		Path:      path,
		Header:    http.Header{"Content-Type": {"application/json"}},
		Stream:    c.stream,
		HideUsage: c.stream && !c.wantsUsage,
		Once:      r.decided.once,
	}
}

// readPlain reads a request to a plain service.
func (g *Gate) readPlain(w http.ResponseWriter, r *http.Request, req *request) error {
	name := granitehoist.Service(r.PathValue("service"))
	offer, ok := g.settings.View().OfferOfService(req.asked.identity.Partner, name)
	if !ok || offer.Kind != config.KindPlain {
		return granitehoist.Errorf(granitehoist.UnknownService, "service %q", name)
	}
	body, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	req.asked.offer = offer
	req.asked.bodyBytes = len(body)
	req.asked.writeBody = func(granitehoist.Priority) ([]byte, error) { return body, nil }
	req.decidePlain(r)
	return nil
}

// decidePlain decides how a request to a plain service is reserved and sent. Only
// methods that HTTP calls safe may be repeated; the document may mark the others
// of a service as once.
func (r *request) decidePlain(from *http.Request) {
	safe := from.Method == http.MethodGet || from.Method == http.MethodHead || from.Method == http.MethodOptions
	offer := r.asked.offer
	r.decided.bound = offer.Price
	r.decided.once = r.asked.options.once || (offer.Once && !safe)
	r.decided.repeatable = safe && !r.decided.once
	r.decided.call = granitehoist.Call{
		Method: from.Method,
		Path:   plainPath(from),
		Header: callersHeader(from.Header),
		Once:   r.decided.once,
	}
}

// ownHeaders begins the names of all headers of this interface but HeaderRequest.
const ownHeaders = "Granitehoist-"

// callersHeader returns the part of a caller's header that a plain service gets:
// all but what speaks to the gate itself. An underscore counts as a hyphen, since
// services may take it for one.
func callersHeader(h http.Header) http.Header {
	passed := upstream.CopyHeader(h, "Authorization", "Content-Length", "Host")
	for name := range passed {
		standard := textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(name, "_", "-"))
		if standard == HeaderRequest || strings.HasPrefix(standard, ownHeaders) {
			delete(passed, name)
		}
	}
	return passed
}

// plainPath returns the path and query that a plain service gets: the caller's
// without the prefix and the service's name, escaped as the caller wrote it. It
// begins with a slash. The pattern that servePlain is registered under makes
// sure of the two parts before it, which the caller may have escaped as well.
func plainPath(r *http.Request) string {
	const partsBefore = 3 // the empty one before the first slash, the prefix and the name
	parts := strings.SplitN(r.URL.EscapedPath(), "/", partsBefore+1)
	path := "/" + parts[partsBefore]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// readBody reads a request's body within the size limit and the read deadline
// that ServeHTTP has set. The deadline is lifted only when the body is
// complete: the standard library reads the remaining body before it answers,
// and would wait for a slow caller for ever.
func (g *Gate) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.settings.Limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, granitehoist.Errorf(granitehoist.BodyTooLarge, "the limit is %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, granitehoist.Wrap(granitehoist.SlowCaller, err, "")
	}
	setReadDeadline(w, time.Time{})
	return body, nil
}

// setReadDeadline bounds the reading of a request; the zero time lifts the
// bound.
func setReadDeadline(w http.ResponseWriter, at time.Time) {
	// Every connection of net/http takes deadlines. A recorder of a test does not,
	// and has nothing to wait for.
	_ = http.NewResponseController(w).SetReadDeadline(at)
}

// setWriteDeadline bounds the writing of an answer, so that a caller that does
// not read holds no request.
func setWriteDeadline(w http.ResponseWriter, at time.Time) {
	// As in setReadDeadline, only a recorder of a test takes none.
	_ = http.NewResponseController(w).SetWriteDeadline(at)
}
