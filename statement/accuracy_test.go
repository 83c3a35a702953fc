package statement_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/statement"
	"chutechute/statement/estimate"
)

// errorSample collects q-errors. A q-error is the ratio of estimate to true cost or its inverse, whichever is larger.
type errorSample struct{ list []float64 }

func (e *errorSample) add(estimate, trueCost float64) {
	e.list = append(e.list, max(estimate/trueCost, trueCost/estimate))
}

// quantile returns the q-quantile of the errors.
func (e *errorSample) quantile(q float64) float64 {
	slices.Sort(e.list)
	return e.list[int(q*float64(len(e.list)-1))]
}

// accuracyPhase holds the errors of the models and of three baselines in one phase of the workload, and how often the
// upper bound holds.
type accuracyPhase struct {
	name                                  string
	model, shapeMean, classMean, reported errorSample
	boundHolds, queries                   int
	boundOverEstimate                     errorSample
}

// The workload of TestAccuracy. Half way through it, the cost of half of the shapes rises to three times as much.
const (
	accuracyQueries     = 60_000
	shiftAt             = accuracyQueries / 2
	shiftFactor         = 3
	coldQueries         = 20    // first queries of a shape, which count as cold, and first queries after the shift
	queryIntervalMicros = 20000 // time between two queries
)

// accuracyTrial is the state of TestAccuracy.
type accuracyTrial struct {
	t          *testing.T
	rng        *rand.Rand
	reader     *statement.Reader
	templates  []*queryTemplate
	shapeMeans map[*queryTemplate]*estimate.Mean
	classMeans []estimate.Mean
	queries    map[*queryTemplate]int // queries so far
	sinceShift map[*queryTemplate]int // queries since the shift

	cold, warm, afterShift, shiftLearned *accuracyPhase
}

func newAccuracyTrial(t *testing.T) *accuracyTrial {
	rng := rand.New(rand.NewPCG(11, 12))
	return &accuracyTrial{
		t:            t,
		rng:          rng,
		reader:       newReader(t, 8<<20),
		templates:    generateTemplates(rng),
		shapeMeans:   map[*queryTemplate]*estimate.Mean{},
		classMeans:   make([]estimate.Mean, 3),
		queries:      map[*queryTemplate]int{},
		sinceShift:   map[*queryTemplate]int{},
		cold:         &accuracyPhase{name: "cold (first 20 of a shape)"},
		warm:         &accuracyPhase{name: "warm"},
		afterShift:   &accuracyPhase{name: "after the shift (first 20)"},
		shiftLearned: &accuracyPhase{name: "shift learned"},
	}
}

func (a *accuracyTrial) phases() []*accuracyPhase {
	return []*accuracyPhase{a.cold, a.warm, a.afterShift, a.shiftLearned}
}

// shift changes the costs of half of the shapes.
func (a *accuracyTrial) shift() {
	for i, template := range a.templates {
		if i%2 == 0 {
			template.costFactor = shiftFactor
		}
	}
}

// phaseOf returns the phase of the next query of a shape and counts the query.
func (a *accuracyTrial) phaseOf(query int, template *queryTemplate) *accuracyPhase {
	shifted := query >= shiftAt && template.costFactor > 1
	phase := a.warm
	switch {
	case a.queries[template] < coldQueries:
		phase = a.cold
	case shifted && a.sinceShift[template] < coldQueries:
		phase = a.afterShift
	case shifted:
		phase = a.shiftLearned
	}
	if query >= shiftAt {
		a.sinceShift[template]++
	}
	a.queries[template]++
	return phase
}

// shapeMean returns the mean of a shape. Its initial value is the mean of the class.
func (a *accuracyTrial) shapeMean(template *queryTemplate) *estimate.Mean {
	if a.shapeMeans[template] == nil {
		mean := a.classMeans[template.class]
		if mean == (estimate.Mean{}) {
			mean = estimate.NewMean(500)
		}
		a.shapeMeans[template] = &mean
	}
	return a.shapeMeans[template]
}

// run completes one query, records the errors of all estimates and learns from the latency of the query.
func (a *accuracyTrial) run(query int) {
	// The distribution is skewed: a few shapes make up most of the queries.
	template := a.templates[int(float64(len(a.templates))*math.Pow(a.rng.Float64(), 2))]
	text, costMS := template.generate(a.rng)
	costMS *= template.costFactor * math.Exp(0.15*a.rng.NormFloat64())
	call := statement.Call{Text: []byte(text), Class: template.class, Keyed: true}
	completion, err := a.reader.Complete(call)
	require.NoError(a.t, err)
	a.record(a.phaseOf(query, template), template, &completion, costMS)

	latencyMS, slowdown := a.latency(template.class, costMS)
	reportedSlowdown := slowdown * math.Exp(0.15*a.rng.NormFloat64())
	work, weight, ok := estimate.WorkFromLatency(latencyMS, classThreads[template.class], reportedSlowdown)
	if !ok {
		return
	}
	outcome := statement.Outcome{CostMS: work, Weight: weight}
	a.reader.Learn(&completion, outcome, int64(query)*queryIntervalMicros)
	a.shapeMean(template).Learn(work)
	classMean := &a.classMeans[template.class]
	if *classMean == (estimate.Mean{}) {
		*classMean = estimate.NewMean(work)
	}
	classMean.Learn(work)
}

// record records the errors of the estimates of a query.
func (a *accuracyTrial) record(
	phase *accuracyPhase, template *queryTemplate, completion *statement.Completion, costMS float64,
) {
	phase.queries++
	phase.model.add(completion.CostMS, costMS)
	phase.shapeMean.add(a.shapeMean(template).Estimate().Value, costMS)
	if classMean := &a.classMeans[template.class]; *classMean != (estimate.Mean{}) {
		phase.classMean.add(classMean.Estimate().Value, costMS)
	}
	phase.reported.add(costMS*math.Exp(0.35*a.rng.NormFloat64()), costMS) // of a client with good estimates
	phase.boundOverEstimate.add(completion.CostUpperBoundMS, completion.CostMS)
	if costMS <= completion.CostUpperBoundMS {
		phase.boundHolds++
	}
}

// classThreads are the numbers of threads of newReader's classes.
var classThreads = []int{1, 3, 2}

// latency draws the latency of a query. One in three queries runs under load, and one in a hundred takes ten times as
// long.
func (a *accuracyTrial) latency(class int, costMS float64) (latencyMS, slowdown float64) {
	slowdown = 1
	if a.rng.IntN(3) == 0 {
		slowdown = logUniform(a.rng, 1, 4)
	}
	latencyMS = costMS / float64(classThreads[class]) * slowdown
	if a.rng.IntN(100) == 0 {
		latencyMS *= 10
	}
	return latencyMS, slowdown
}

// log logs the figures of a phase.
func (p *accuracyPhase) log(t *testing.T) {
	t.Logf("%-27s n %5d   bound holds for %.1f%%, at %.2f times the estimate (median)", p.name, p.queries,
		100*float64(p.boundHolds)/float64(p.queries), p.boundOverEstimate.quantile(0.5))
	for _, line := range []struct {
		name   string
		errors *errorSample
	}{{"model", &p.model}, {"shape mean", &p.shapeMean}, {"class mean", &p.classMean}, {"reported", &p.reported}} {
		t.Logf("    %-10s q-error: median %5.2f  p90 %6.2f  p99 %6.2f",
			line.name, line.errors.quantile(0.5), line.errors.quantile(0.9), line.errors.quantile(0.99))
	}
}

// Estimates are accurate if they are learned from latencies only, for a workload with skewed parameters: cold, warm,
// and after the cost of half of the shapes has risen to three times as much. The reported slowdown is inexact, load
// slows attempts down by a factor of up to four, and one attempt in a hundred takes ten times as long.
func TestAccuracy(t *testing.T) {
	trial := newAccuracyTrial(t)
	for query := range accuracyQueries {
		if query == shiftAt {
			trial.shift()
		}
		trial.run(query)
	}
	boundHolds, queries := 0, 0
	for _, phase := range trial.phases() {
		boundHolds, queries = boundHolds+phase.boundHolds, queries+phase.queries
		phase.log(t)
	}
	warm := trial.warm
	assert.LessOrEqual(t, warm.model.quantile(0.9), 2.0)
	assert.Greater(t, warm.shapeMean.quantile(0.9), 6.0)
	assert.LessOrEqual(t, trial.shiftLearned.model.quantile(0.9), 2.0)
	assert.GreaterOrEqual(t, float64(boundHolds)/float64(queries), 0.95)
	assert.GreaterOrEqual(t, float64(warm.boundHolds)/float64(warm.queries), 0.95)
}

// A single outlier hardly changes an estimate, and a lasting change of the cost is followed within a few outcomes.
func TestEstimateResistsOutliersAndFollowsChanges(t *testing.T) {
	r := newReader(t, 0)
	complete := func() statement.Completion {
		c, err := r.Complete(statement.Call{Text: []byte("select * from ops_1.t where a = 5"), Class: 0})
		require.NoError(t, err)
		return c
	}
	learn := func(n int, ms float64) {
		for range n {
			c := complete()
			r.Learn(&c, statement.Outcome{CostMS: ms, Weight: 1}, 0)
		}
	}
	learn(100, 50)
	assert.InDelta(t, 50, complete().CostMS, 5)
	learn(1, 5000)
	assert.Less(t, complete().CostMS, 75.0)
	learn(5, 50)
	assert.InDelta(t, 50, complete().CostMS, 8)
	learn(12, 500)
	assert.Greater(t, complete().CostMS, 300.0)
	learn(60, 500)
	assert.InDelta(t, 500, complete().CostMS, 60)
}

// Without outcomes, estimates come from the sizes of the tables or, if these are not configured, from the class.
func TestPriorsComeFromTableSizesThenClass(t *testing.T) {
	r, err := statement.New(statement.Options{Classes: []statement.Class{{AssumedCostMS: 77, AssumedMemoryMB: 5}},
		TableSizes: map[string]estimate.TableSize{"ops_1.small": {MB: 10}, "ops_1.large": {MB: 10000}}})
	require.NoError(t, err)
	cost := func(text string) float64 {
		reading, err := r.Read([]byte(text))
		require.NoError(t, err)
		return r.Cost(&reading, 0).Value
	}
	small, large := cost("select * from ops_1.small"), cost("select * from ops_1.large")
	assert.Greater(t, large, 100*small)
	assert.Less(t, cost("select * from ops_1.large where id = 3"), large/100)
	assert.Greater(t, cost("select a from ops_1.large group by a order by a"), large)
	assert.InDelta(t, 77, cost("select * from ops_1.other"), 0.01)
	assert.InDelta(t, 77, cost("select * from ops_1.small, ops_1.other"), 0.01)
}

// Memory is learned from the values that clients report for queries of the same shape.
func TestMemoryIsLearnedFromReports(t *testing.T) {
	r := newReader(t, 0)
	call := statement.Call{Text: []byte("select * from ops_1.t where a = 5"), Class: 0}
	for range 20 {
		c, err := r.Complete(call)
		require.NoError(t, err)
		r.Learn(&c, statement.Outcome{MemoryMB: 300}, 0)
	}
	c, err := r.Complete(call)
	require.NoError(t, err)
	assert.InDelta(t, 300, c.MemoryMB, 30)
	assert.InDelta(t, 100, c.CostMS, 1, "nothing was reported of the cost")
}

// The work of an attempt is its latency times its threads, divided by the slowdown by load. A latency under heavy load
// is not used.
func TestWorkDiscountsLoad(t *testing.T) {
	ms, weight, ok := estimate.WorkFromLatency(100, 3, 1)
	assert.True(t, ok)
	assert.Equal(t, []float64{300, 1}, []float64{ms, weight})
	ms, weight, ok = estimate.WorkFromLatency(100, 3, 1.5)
	assert.True(t, ok)
	assert.InDelta(t, 200, ms, 1e-9)
	assert.Less(t, weight, 0.5)
	_, _, ok = estimate.WorkFromLatency(100, 3, 2.1)
	assert.False(t, ok)
}
