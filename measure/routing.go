// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package measure

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/route"
)

// RoutingSize is a number of workers before which routing is measured.
type RoutingSize struct {
	Workers, Routers int
	// Length is the time that conversations begin.
	Length time.Duration
}

// RoutingSizes are those measured by default.
var RoutingSizes = []RoutingSize{
	{Workers: 12, Routers: 6, Length: 20 * time.Minute},
	{Workers: 200, Routers: 20, Length: 4 * time.Minute},
	{Workers: 10000, Routers: 20, Length: 10 * time.Second},
}

// The model of a worker and of the conversations, in tokens and seconds.
const (
	prefillPerSecond  = 8000.0
	decodePerToken    = 0.02
	decodeSlots       = 32
	cacheTokens       = 250_000
	systemTokens      = 1000
	turnTokens        = 150
	answerTokens      = 200
	systemPrompts     = 40
	meanTurns         = 5
	meanThink         = 8.0
	conversationsEach = 0.22
	burstEvery        = 100.0
	burstLength       = 20.0
	burstFactor       = 2.0
)

// routingPolicy chooses a worker for a request of a conversation.
type routingPolicy interface {
	choose(r *routingRun, router int, c *conversation) int
	done(router, worker int)
}

// conversation is a caller's exchange with a model over some turns.
type conversation struct {
	id, system int
	turns      int
	prompt     int
}

// worker is an engine with a prefix cache and one prefill at a time.
type worker struct {
	inFlight  int
	requests  int
	prefillAt time.Time
	cache     map[int]*cached
	held      int
	clock     int
}

// cached is a conversation's prefix, or a system prompt's with a negative key.
type cached struct {
	tokens, used int
}

// routingRun is one load with one policy.
type routingRun struct {
	*timeline
	random    *rand.Rand
	size      RoutingSize
	policy    routingPolicy
	workers   []*worker
	begin     time.Time
	count     int
	first     *hdrhistogram.Histogram
	between   *hdrhistogram.Histogram
	hit, want float64
}

// routingResult is one row of the table.
type routingResult struct {
	size               RoutingSize
	policy             string
	requests           int
	hitRate            float64
	first95, between95 time.Duration
	spread             float64
}

func runRouting(seed uint64, size RoutingSize, name string, p routingPolicy) routingResult {
	r := &routingRun{
		timeline: newTimeline(),
		random:   rand.New(rand.NewPCG(seed, 5)),
		size:     size,
		policy:   p,
		first:    hdrhistogram.New(1, int64(10*time.Minute), 3),
		between:  hdrhistogram.New(1, int64(10*time.Minute), 3),
	}
	r.begin = r.now
	for range size.Workers {
		r.workers = append(r.workers, &worker{cache: map[int]*cached{}})
	}
	r.nextConversation()
	r.run(r.begin.Add(size.Length + 2*time.Minute))
	most := 0
	total := 0
	for _, w := range r.workers {
		most = max(most, w.requests)
		total += w.requests
	}
	return routingResult{
		size: size, policy: name, requests: total,
		hitRate:   r.hit / r.want,
		first95:   time.Duration(r.first.ValueAtQuantile(95)),
		between95: time.Duration(r.between.ValueAtQuantile(95)),
		spread:    float64(most) * float64(size.Workers) / float64(total),
	}
}

// nextConversation enters a conversation and the one after it.
func (r *routingRun) nextConversation() {
	past := r.now.Sub(r.begin).Seconds()
	if past >= r.size.Length.Seconds() {
		return
	}
	rate := conversationsEach * float64(r.size.Workers)
	if math.Mod(past, burstEvery) < burstLength {
		rate *= burstFactor
	}
	r.count++
	c := &conversation{id: r.count, system: r.zipf(), turns: 1 + int(r.random.ExpFloat64()*(meanTurns-1)), prompt: systemTokens}
	r.turn(c)
	r.after(seconds(r.random.ExpFloat64()/rate), r.nextConversation)
}

// zipf picks a system prompt; the first is the most used.
func (r *routingRun) zipf() int {
	return int(math.Pow(float64(systemPrompts), r.random.Float64())) - 1
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// turn sends a conversation's next request through some router.
func (r *routingRun) turn(c *conversation) {
	c.prompt += turnTokens
	router := r.random.IntN(r.size.Routers)
	at := r.policy.choose(r, router, c)
	w := r.workers[at]
	w.requests++
	w.inFlight++
	hit := w.match(c)
	r.hit += float64(hit)
	r.want += float64(c.prompt)
	start := r.now
	if w.prefillAt.After(start) {
		start = w.prefillAt
	}
	w.prefillAt = start.Add(seconds(float64(c.prompt-hit) / prefillPerSecond))
	r.record(r.first, w.prefillAt.Sub(r.now))
	w.store(c)
	// Decoding slows down when more requests than slots share the worker.
	each := decodePerToken * max(1, float64(w.inFlight)/decodeSlots)
	r.record(r.between, seconds(each))
	r.after(w.prefillAt.Sub(r.now)+seconds(each*answerTokens), func() {
		w.inFlight--
		r.policy.done(router, at)
		c.prompt += answerTokens
		w.store(c)
		if c.turns--; c.turns > 0 {
			r.after(seconds(r.random.ExpFloat64()*meanThink), func() { r.turn(c) })
		}
	})
}

func (r *routingRun) record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values beyond the histogram are none that a run can have.
	_ = h.RecordValue(int64(max(1, d)))
}

func systemKey(c *conversation) int { return -1 - c.system }

// match returns the tokens of a prompt that the cache holds.
func (w *worker) match(c *conversation) int {
	w.clock++
	if e, ok := w.cache[c.id]; ok {
		e.used = w.clock
		return min(e.tokens, c.prompt)
	}
	if e, ok := w.cache[systemKey(c)]; ok {
		e.used = w.clock
		return e.tokens
	}
	return 0
}

// store enters a conversation and its system prompt, and drops what was not
// used for longest.
func (w *worker) store(c *conversation) {
	w.put(systemKey(c), systemTokens)
	w.put(c.id, c.prompt)
	for w.held > cacheTokens {
		oldest, at := 0, math.MaxInt
		for key, e := range w.cache {
			if e.used < at {
				oldest, at = key, e.used
			}
		}
		w.held -= w.cache[oldest].tokens
		delete(w.cache, oldest)
	}
}

func (w *worker) put(key, tokens int) {
	w.clock++
	if e, ok := w.cache[key]; ok {
		w.held += tokens - e.tokens
		e.tokens, e.used = tokens, w.clock
		return
	}
	w.cache[key] = &cached{tokens: tokens, used: w.clock}
	w.held += tokens
}

// ringPolicy is the fleet's own choice, one table a router.
type ringPolicy struct {
	tables  []*route.Table
	targets []route.Target
	slots   map[[2]int][]*route.Slot
	byName  map[granitehoist.Upstream]int
}

func newRingPolicy(size RoutingSize) routingPolicy {
	p := &ringPolicy{slots: map[[2]int][]*route.Slot{}, byName: map[granitehoist.Upstream]int{}}
	for i := range size.Workers {
		name := granitehoist.Upstream("worker-" + strconv.Itoa(i))
		p.byName[name] = i
		p.targets = append(p.targets, route.Target{Name: name, Concurrency: 4 * decodeSlots})
	}
	for i := range size.Routers {
		p.tables = append(p.tables, route.NewTable(route.Settings{Seed: uint64(i)}))
	}
	return p
}

func (p *ringPolicy) choose(r *routingRun, router int, c *conversation) int {
	want := route.Want{Service: "pool", Targets: p.targets, Affinity: route.PrefixAffinity([]byte(strconv.Itoa(c.id)))}
	slot, err := p.tables[router].Acquire(context.Background(), want, r.now)
	if err != nil {
		panic("measure: no worker: " + err.Error())
	}
	at := p.byName[slot.Upstream]
	key := [2]int{router, at}
	p.slots[key] = append(p.slots[key], slot)
	return at
}

func (p *ringPolicy) done(router, at int) {
	key := [2]int{router, at}
	held := p.slots[key]
	held[len(held)-1].Done(route.Good, time.Time{})
	p.slots[key] = held[:len(held)-1]
}

// outstanding is each router's own count of requests in progress.
type outstanding struct{ counts [][]int }

func newOutstanding(size RoutingSize) outstanding {
	o := outstanding{counts: make([][]int, size.Routers)}
	for i := range o.counts {
		o.counts[i] = make([]int, size.Workers)
	}
	return o
}

func (o outstanding) take(router, at int) int {
	o.counts[router][at]++
	return at
}

func (o outstanding) done(router, at int) { o.counts[router][at]-- }

// least returns the worker with the fewest, beginning at a random one.
func (o outstanding) least(r *routingRun, router int) int {
	counts := o.counts[router]
	start := r.random.IntN(len(counts))
	best := start
	for i := range counts {
		at := (start + i) % len(counts)
		if counts[at] < counts[best] {
			best = at
		}
	}
	return best
}

type roundRobin struct {
	outstanding
	next []int
}

func newRoundRobin(size RoutingSize) routingPolicy {
	return &roundRobin{newOutstanding(size), make([]int, size.Routers)}
}

func (p *roundRobin) choose(_ *routingRun, router int, _ *conversation) int {
	p.next[router] = (p.next[router] + 1) % len(p.counts[router])
	return p.take(router, p.next[router])
}

type leastOutstanding struct{ outstanding }

func newLeastOutstanding(size RoutingSize) routingPolicy {
	return &leastOutstanding{newOutstanding(size)}
}

func (p *leastOutstanding) choose(r *routingRun, router int, _ *conversation) int {
	return p.take(router, p.least(r, router))
}

type twoChoices struct{ outstanding }

func newTwoChoices(size RoutingSize) routingPolicy { return &twoChoices{newOutstanding(size)} }

func (p *twoChoices) choose(r *routingRun, router int, _ *conversation) int {
	a, b := r.random.IntN(r.size.Workers), r.random.IntN(r.size.Workers)
	if p.counts[router][b] < p.counts[router][a] {
		a = b
	}
	return p.take(router, a)
}

// prefixTree is the idea of the SGLang router's cache-aware policy ("SGLang
// Design Evolution: several cards", the part on the Rust router): each router
// remembers where it sent which prefix, and gives the match up for balance.
type prefixTree struct {
	outstanding
	// sent maps a conversation or a system prompt to the last worker, by router.
	sent []map[int]int
}

// Thresholds of prefixTree: a load is out of balance if it is larger by both.
const (
	balanceAbsolute = 8
	balanceRelative = 1.5
)

func newPrefixTree(size RoutingSize) routingPolicy {
	p := &prefixTree{outstanding: newOutstanding(size), sent: make([]map[int]int, size.Routers)}
	for i := range p.sent {
		p.sent[i] = map[int]int{}
	}
	return p
}

func (p *prefixTree) choose(r *routingRun, router int, c *conversation) int {
	least := p.least(r, router)
	at, known := p.sent[router][c.id]
	if !known {
		at, known = p.sent[router][systemKey(c)]
	}
	counts := p.counts[router]
	if !known || (counts[at] > counts[least]+balanceAbsolute && float64(counts[at]) > balanceRelative*float64(counts[least])) {
		at = least
	}
	p.sent[router][c.id] = at
	p.sent[router][systemKey(c)] = at
	return p.take(router, at)
}

var routingPolicies = []struct {
	name string
	make func(RoutingSize) routingPolicy
}{
	{"ring", newRingPolicy},
	{"round-robin", newRoundRobin},
	{"least-outstanding", newLeastOutstanding},
	{"two-choices", newTwoChoices},
	{"prefix-tree", newPrefixTree},
}

// Routing measures the fleet's choice of upstream beside others on the same
// multi-turn, bursty and skewed load. It writes a table and one line of
// key=value pairs a row.
func Routing(out io.Writer, seed uint64, sizes []RoutingSize) error {
	results := make([]routingResult, len(sizes)*len(routingPolicies))
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i, size := range sizes {
		for j, p := range routingPolicies {
			group.Go(func() error {
				results[i*len(routingPolicies)+j] = runRouting(seed, size, p.name, p.make(size))
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workers\trouters\tpolicy\trequests\thit rate\tfirst token p95\tbetween tokens p95\tlargest load / mean\t")
	for _, r := range results {
		fmt.Fprintf(table, "%d\t%d\t%s\t%d\t%.1f %%\t%v\t%v\t%.2f\t\n", r.size.Workers, r.size.Routers, r.policy, r.requests, 100*r.hitRate, r.first95.Round(time.Millisecond), r.between95.Round(100*time.Microsecond), r.spread)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		_, err := fmt.Fprintf(out, "workers=%d policy=%s seed=%d requests=%d hit=%.4f first95_ms=%.1f between95_ms=%.1f spread=%.3f\n",
			r.size.Workers, r.policy, seed, r.requests, r.hitRate, float64(r.first95)/1e6, float64(r.between95)/1e6, r.spread)
		if err != nil {
			return err
		}
	}
	return nil
}
