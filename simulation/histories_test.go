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

// The limits of the budgets, in units of one request.
const (
	maxConcurrency = 6
	maxRate        = 6 // a second
	maxBurst       = 8
)

// maxConsumptionLead is the longest time between the consumption of a budget and the start on an engine, in
// microseconds: the front end may write the start a quarter second later, and delays and clock drift come on top.
const maxConsumptionLead = 300 * ms

// requestBudgets returns a budget of concurrent requests and one of requests a second, for the class of the requests.
func requestBudgets() *budget.Set {
	const milli = 1000 // amounts are in thousandths
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

// budgetViolations returns the violations of the limits of requestBudgets.
func budgetViolations(events []history.Event) []history.Violation {
	oneUnit := func(history.Event) float64 { return 1 }
	violations, _ := history.CheckConcurrency(events, maxConcurrency, oneUnit)
	consumptions := history.Consumptions(events, maxConsumptionLead, oneUnit)
	return append(violations, history.CheckRate(consumptions, maxRate, maxBurst)...)
}

// optionsOf returns the fleet that a seed stands for.
func optionsOf(seed uint64, mutation *simulation.Mutation) simulation.Options {
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

// The phases of a history, and how often clients send requests and faults are injected while there are any.
const (
	startDuration     = 3 * second
	faultDuration     = 30 * second
	healedDuration    = 45 * second
	faultInterval     = 1500 * ms
	requestsPerSecond = 8
	orderKeys         = 4
)

// simulate runs one random history and returns the violations in it. An error that ended the run, as a replica
// found its state inconsistent or messages made a storm, is one of them.
func simulate(
	t *testing.T, seed uint64, mutation *simulation.Mutation,
) (*simulation.Simulation, []history.Violation) {
	cryptotest.SetGlobalRandom(t, seed)
	options := optionsOf(seed, mutation)
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

// describe returns the faults, the states of the front ends, and the first violations with the events related to them.
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

// recordedHistories is the number of seeds, from seed 1 on, of which testdata has a digest.
const recordedHistories = 40

// digest returns the number of steps of a simulation and a hash of all that clients and engines observed.
func digest(s *simulation.Simulation) string {
	hash := sha256.New()
	for _, e := range s.History.Events() {
		fmt.Fprintf(hash, "%d %s %q %q %q %q %q %s %q\n",
			e.At, e.Kind, e.FrontEnd, e.Engine, e.CallID, e.IdempotencyKey, e.OrderKey, e.Outcome, e.Body)
	}
	return fmt.Sprintf("%d %x", s.Steps, hash.Sum(nil))
}

// seeds returns the seeds to run. CHUTECHUTE_HISTORIES sets how many there are, and CHUTECHUTE_SEED the first one.
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

// In random histories of whole fleets, no guarantee is violated whatever fails, and no request is stuck once all faults
// have ended. The same seed gives the same history.
func TestHistories(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s, violations := simulate(t, seed, nil)
			require.Empty(t, violations, "%s", describe(s, violations))
			require.Zero(t, s.PendingRequests(), "requests are stuck: %s", describe(s, nil))
			if seed <= recordedHistories {
				golden.Entry(t, "testdata/histories.txt", fmt.Sprint("seed-", seed), digest(s))
			}
		})
	}
}
