// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package measure

import (
	"runtime"
	"time"

	"granitehoist.example/granitehoist/partner/config"
)

// Slope is a linear cost model, measured at two sizes.
type Slope struct {
	// Name identifies the cost, such as "purse-memory". In names a purse is a budget.Ledger,
	// an ask a report of a box, and a page a region record.
	Name string
	// Unit is the unit of the cost, such as "B" or "ns". Per names what a size is a
	// number of, such as "budget" or "row".
	Unit, Per string
	// Small and Large are the measured sizes.
	Small, Large int
	// Step is the cost per unit of size, and Base the cost at size zero.
	Step, Base float64
}

// At returns the estimated cost at a size.
func (s Slope) At(size float64) float64 { return s.Base + s.Step*size }

// measured returns s with Step and Base computed from the cost at both sizes.
func (s Slope) measured(cost func(n int) float64) Slope {
	atSmall, atLarge := cost(s.Small), cost(s.Large)
	s.Step = (atLarge - atSmall) / float64(s.Large-s.Small)
	s.Base = atSmall - s.Step*float64(s.Small)
	return s
}

// heapOf returns the heap bytes held by the result of build. It runs the garbage collector
// twice, since finalizers of the first run release more memory.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// minMeasureTime is the minimum total time of a duration measurement.
const minMeasureTime = 100 * time.Millisecond

// nanoseconds returns the mean time of one call of do, after a warm-up call.
func nanoseconds(do func()) float64 {
	do()
	begin := time.Now()
	runs := 0
	for time.Since(begin) < minMeasureTime {
		do()
		runs++
	}
	return float64(time.Since(begin).Nanoseconds()) / float64(runs)
}

// Slopes measures all costs used by Loads.
func Slopes() []Slope {
	return []Slope{
		Slope{Name: "purse-memory", Unit: "B", Per: "budget", Small: 1000, Large: 14000}.measured(func(n int) float64 {
			return heapOf(func() any { return sampleBudgetLedger(n) })
		}),
		Slope{Name: "purse-round", Unit: "ns", Per: "budget", Small: 1000, Large: 14000}.measured(func(n int) float64 {
			p := sampleBudgetLedger(n)
			return nanoseconds(func() { p.Reports(sampleTime) })
		}),
		Slope{Name: "ask-bytes", Unit: "B", Per: "ask", Small: 9, Large: 90}.measured(func(n int) float64 { return messageBytes(sampleReports(n)) }),
		Slope{Name: "reply-bytes", Unit: "B", Per: "reply", Small: 9, Large: 90}.measured(func(n int) float64 { return messageBytes(sampleReplies(n)) }),
		Slope{Name: "page-bytes", Unit: "B", Per: "row", Small: 200, Large: 2000}.measured(func(n int) float64 { return packedBytes(sampleRegionRecord(n)) }),
		Slope{Name: "page-write", Unit: "ns", Per: "row", Small: 200, Large: 2000}.measured(regionRecordWriteTime),
		Slope{Name: "charge-memory", Unit: "B", Per: "charge", Small: 10000, Large: 100000}.measured(func(n int) float64 {
			return heapOf(func() any { return sampleLedger(n) })
		}),
		Slope{Name: "batch-bytes", Unit: "B", Per: "charge", Small: 50, Large: 500}.measured(batchBytes),
		Slope{Name: "segment-bytes", Unit: "B", Per: "charge", Small: 500, Large: 5000}.measured(batchBytes),
		Slope{Name: "view-memory", Unit: "B", Per: "budget", Small: 1000, Large: 14000}.measured(func(n int) float64 {
			d := sampleDocument(n)
			return heapOf(func() any { return config.NewView().With(d, 1) })
		}),
		Slope{Name: "document-bytes", Unit: "B", Per: "budget", Small: 100, Large: 1000}.measured(documentBytes),
		Slope{Name: "burn-memory", Unit: "B", Per: "key", Small: 100, Large: 1000}.measured(burnMemory),
		Slope{Name: "member-bytes", Unit: "B", Per: "member", Small: 100, Large: 1100}.measured(memberBytes),
		Slope{Name: "choice-time", Unit: "ns", Per: "upstream", Small: 200, Large: 10000}.measured(choiceTime),
		Slope{Name: "choice-memory", Unit: "B", Per: "upstream", Small: 200, Large: 10000}.measured(choiceMemory),
	}
}
