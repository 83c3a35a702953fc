package simulation_test

import (
	"crypto/sha256"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/cryptotest"

	"github.com/stretchr/testify/require"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/fleet/budget/enforce"
	"chutechute/internal/golden"
	"chutechute/internal/history"
	"chutechute/internal/monotime"
	"chutechute/internal/testharness"
	"chutechute/simulation"
)

const (
	ms     = monotime.Millisecond
	second = monotime.Second
)

// The totals of the budgets, in requests.
const (
	maxConcurrency = 6
	maxRate        = 6 // per second
	maxBurst       = 8
)

// maxConsumptionLead is the longest time between the consumption of a budget and the start on an engine: the front end
// may send the start up to 250 ms later, and the network delay and clock drift are added.
const maxConsumptionLead = 300 * ms

// requestBudgets returns a budget of concurrent requests and one of requests per second, for the class of all requests.
func requestBudgets() *budget.Set {
	const milli = 1000 // budget amounts are in thousandths
	set := &budget.Set{Version: 1, Lease: 2 * second, MaxFrontEnds: 5}
	for _, spec := range []budget.Spec{
		{
			Name:               "places",
			Kind:               account.Concurrency,
			Total:              budget.Amount{Capacity: maxConcurrency * milli},
			MaxAttemptDuration: 25 * second,
			MinAllocation:      milli,
		},
		{
			Name:          "rate",
			Kind:          account.Rate,
			Total:         budget.Amount{Capacity: maxBurst * milli, Rate: maxRate * milli},
			StaticShare:   20,
			MinAllocation: milli,
		},
	} {
		spec.Scope = (&enforce.Scope{Class: "load", OnExceeded: "wait"}).Encode()
		set.Specs = append(set.Specs, spec)
	}
	return set
}

// budgetViolations returns the violations of the totals of requestBudgets.
func budgetViolations(events []history.Event) []history.Violation {
	oneUnit := func(history.Event) float64 { return 1 }
	violations, _ := history.CheckConcurrency(events, maxConcurrency, oneUnit)
	consumptions := history.Consumptions(events, maxConsumptionLead, oneUnit)
	return append(violations, history.CheckRate(consumptions, maxRate, maxBurst)...)
}

// optionsForSeed returns the options of the fleet that is simulated with a seed.
func optionsForSeed(seed uint64, mutation *simulation.Mutation) simulation.Options {
	options := simulation.Options{
		FrontEnds:     3 + int(seed%3),
		Engines:       2,
		Replicas:      3,
		DurableDisks:  seed%2 == 0,
		MaxClockDrift: 0.004,
		Seed:          seed,
		CrashOneIn:    150,
		Mutation:      mutation,
		Settings:      []byte(testharness.Settings),
	}
	if seed%7 == 0 {
		options.FrontEnds, options.Replicas = 5, 5
	}
	if seed%3 == 0 {
		options.Budgets = requestBudgets()
	}
	return options
}

// The durations of the phases of a history, and the load and the faults in the second phase. Heal is called before the
// last phase.
const (
	startDuration     = 3 * second
	faultDuration     = 30 * second
	healedDuration    = 45 * second
	faultInterval     = 1500 * ms
	requestsPerSecond = 8
	orderKeys         = 4
)

// simulate runs one random history and returns the violations in it. An error that ended the simulation counts as one.
func simulate(
	t *testing.T, seed uint64, mutation *simulation.Mutation,
) (*simulation.Simulation, []history.Violation) {
	cryptotest.SetGlobalRandom(t, seed)
	options := optionsForSeed(seed, mutation)
	s, err := simulation.New(options)
	require.NoError(t, err)
	require.NoError(t, s.Run(startDuration))
	s.GenerateTraffic(requestsPerSecond, orderKeys, faultDuration)
	s.InjectFaults(faultInterval, faultDuration)
	err = s.Run(faultDuration)
	s.Heal()
	if err == nil {
		err = s.Run(healedDuration)
	}
	events := s.History.Events()
	violations := history.Check(events)
	if options.Budgets != nil {
		violations = append(violations, budgetViolations(events)...)
	}
	if err != nil {
		violations = append(violations, history.Violation{Anomaly: err.Error()})
	}
	return s, violations
}

// describe returns the injected faults, the states of the front ends, and the first violations with their related
// events.
func describe(s *simulation.Simulation, violations []history.Violation) string {
	const maxViolations, maxEvents = 3, 40
	var text strings.Builder
	for _, fault := range s.FaultLog {
		fmt.Fprintln(&text, fault)
	}
	for _, f := range s.FrontEnds {
		fmt.Fprintln(&text, f)
	}
	for _, violation := range violations[:min(maxViolations, len(violations))] {
		fmt.Fprintf(&text, "%s\nrelated events:\n", violation)
		for _, event := range history.RelatedEvents(s.History.Events(), violation, maxEvents) {
			fmt.Fprintf(&text, "  %s\n", event)
		}
	}
	return text.String()
}

// recordedHistories is the number of seeds, from 1 on, whose digest is in testdata.
const recordedHistories = 40

// digest returns the number of events that the simulation ran and a hash of the recorded history.
func digest(s *simulation.Simulation) string {
	hash := sha256.New()
	for _, e := range s.History.Events() {
		fmt.Fprintf(hash, "%d %s %q %q %q %q %q %s %q\n",
			e.At, e.Kind, e.FrontEnd, e.Engine, e.CallID, e.IdempotencyKey, e.OrderKey, e.Outcome, e.Body)
	}
	return fmt.Sprintf("%d %x", s.EventsRun, hash.Sum(nil))
}

// seeds returns the seeds to run. CHUTECHUTE_HISTORIES sets their number, and CHUTECHUTE_SEED the first one.
func seeds() (list []uint64) {
	count, first := recordedHistories, uint64(1)
	if v, err := strconv.Atoi(os.Getenv("CHUTECHUTE_HISTORIES")); err == nil {
		count = v
	}
	if v, err := strconv.ParseUint(os.Getenv("CHUTECHUTE_SEED"), 10, 64); err == nil {
		first = v
	}
	for i := range count {
		list = append(list, first+uint64(i))
	}
	return list
}

// TestHistories checks that random faults in whole fleets violate no guarantee, that no request is still pending some
// time after all faults have ended, and that a seed gives its recorded history.
func TestHistories(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s, violations := simulate(t, seed, nil)
			require.Empty(t, violations, "%s", describe(s, violations))
			require.Zero(t, s.PendingRequests(), "requests are still pending: %s", describe(s, nil))
			if seed <= recordedHistories {
				golden.Entry(t, "testdata/histories.txt", fmt.Sprint("seed-", seed), digest(s))
			}
		})
	}
}
