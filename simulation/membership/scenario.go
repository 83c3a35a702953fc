package membership

import "slices"

// Scenario is a named set of faults: one that a script of faults cannot express, or that is used often.
type Scenario struct {
	Name        string
	Description string  // the faults, in one line
	Seconds     float64 // virtual time of the measured part, unless Options sets another duration

	coldStart          bool              // inject starts the fleet, as part of the measured part
	forbidsFalseDeaths bool              // no running member may be observed as dead
	inject             func(*simulation) // called at the start of the measured part to schedule the faults
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario { return slices.Clone(scenarios) }

// ScenarioByName returns the scenario with the given name, or false if there is none.
func ScenarioByName(name string) (Scenario, bool) {
	index := slices.IndexFunc(scenarios, func(s Scenario) bool { return s.Name == name })
	if index < 0 {
		return Scenario{}, false
	}
	return scenarios[index], true
}

var scenarios = []Scenario{
	{
		Name: "rest", Seconds: 120, forbidsFalseDeaths: true, inject: func(*simulation) {},
		Description: "no faults",
	},
	{
		Name: "start", Seconds: 60, coldStart: true, forbidsFalseDeaths: true, inject: injectColdStart,
		Description: "the whole fleet starts at the same time",
	},
	{
		Name: "zone", Seconds: 90, forbidsFalseDeaths: true, inject: injectZoneLoss,
		Description: "all machines of a zone, control members included, crash together and later start together",
	},
	{
		Name: "restarts", Seconds: 60, forbidsFalseDeaths: true, inject: injectRestarts,
		Description: "a tenth of the attached front ends restart within 10 s",
	},
	{
		Name: "flap", Seconds: 300, forbidsFalseDeaths: true, inject: injectFlapping,
		Description: "one attached front end restarts every 3 s for 4 minutes",
	},
	{
		Name: "deaths", Seconds: 60, forbidsFalseDeaths: true, inject: injectDeaths,
		Description: "one attached front end in a hundred crashes within 30 s and does not restart",
	},
	{
		Name: "regions", Seconds: 3600, forbidsFalseDeaths: true, inject: injectRegionPartition,
		Description: "two regions are partitioned from each other for an hour, with restarts in both",
	},
	{
		Name: "split", Seconds: 3600, inject: injectSplit,
		Description: "two regions are partitioned from all others for an hour, with restarts on both sides",
	},
	{
		Name: "control", Seconds: 120, forbidsFalseDeaths: true, inject: injectControlLoss,
		Description: "a control member crashes, and starts again after a minute",
	},
	{
		Name: "controls", Seconds: 120, forbidsFalseDeaths: true, inject: injectSuccessiveControlLoss,
		Description: "a control member crashes, the others of its zone 10 s later; each starts again after a minute",
	},
	{
		Name: "rolling", Seconds: 180, forbidsFalseDeaths: true, inject: injectRollingRestart,
		Description: "a control member is down for 20 s, and then all others are restarted one by one",
	},
	{
		Name: "deaf", Seconds: 120, forbidsFalseDeaths: true, inject: injectControlIsolation,
		Description: "a control member is partitioned from all attached front ends, and no others, for a minute",
	},
	{
		Name: "both", Seconds: 120, forbidsFalseDeaths: true, inject: injectHomePartition,
		Description: "an attached front end is partitioned from its two control members, and no others, for a minute",
	},
	{
		Name: "lossy", Seconds: 3600, forbidsFalseDeaths: true, inject: injectLoss,
		Description: "for an hour, 1% of the messages are lost and all are delayed by up to 300 ms",
	},
	{
		Name: "disorder", Seconds: 60, forbidsFalseDeaths: true, inject: injectReordering,
		Description: "a tenth of attached front ends restart; 1% of messages are lost, all are delayed and reordered",
	},
	{
		Name: "chaos", Seconds: 90, inject: injectChaos,
		Description: "random faults of every kind",
	},
	{
		Name: "stopped", Seconds: 60, forbidsFalseDeaths: true, inject: injectPauses,
		Description: "an attached front end and a control member are paused for 10 s",
	},
	{
		Name: "slow", Seconds: 90, forbidsFalseDeaths: true, inject: injectStalledReader,
		Description: "an attached front end reads nothing for 1.5 s of every 3 s while a tenth restart",
	},
	{
		Name: "trickle", Seconds: 90, forbidsFalseDeaths: true, inject: injectSlowReader,
		Description: "an attached front end reads 15 bytes a second while a tenth restart",
	},
}

// endFaults ends all faults. It does not start processes that have ended.
func (s *simulation) endFaults() {
	s.network.healPartitions()
	s.network.endDegradation()
	for _, m := range s.members {
		m.readRate = 0
		m.queueLimit = defaultQueueLimit
		m.resume()
		m.resumeReading()
	}
}
