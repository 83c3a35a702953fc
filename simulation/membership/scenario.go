package membership

import "slices"

// Scenario is a hard case that has a name: one that a script of faults cannot express, or that is asked for often.
type Scenario struct {
	Name        string
	Description string  // what happens in it
	Seconds     float64 // of virtual time in the measured part, unless Options has another duration

	coldStart          bool              // the scenario starts the fleet, in the measured part
	forbidsFalseDeaths bool              // no running member may be seen dead
	inject             func(*simulation) // schedules the faults, when the measured part begins
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario { return slices.Clone(scenarios) }

// ScenarioByName returns the scenario with a name, false if there is none.
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
		Description: "nothing happens",
	},
	{
		Name: "start", Seconds: 60, coldStart: true, forbidsFalseDeaths: true, inject: injectColdStart,
		Description: "the whole fleet starts in one instant",
	},
	{
		Name: "zone", Seconds: 90, forbidsFalseDeaths: true, inject: injectZoneLoss,
		Description: "a zone and its control members lost in one instant, and back together",
	},
	{
		Name: "restarts", Seconds: 60, forbidsFalseDeaths: true, inject: injectRestarts,
		Description: "a tenth of the attached front ends restarted within 10 s",
	},
	{
		Name: "flap", Seconds: 300, forbidsFalseDeaths: true, inject: injectFlapping,
		Description: "one attached front end that restarts every 3 s for 4 minutes",
	},
	{
		Name: "deaths", Seconds: 60, forbidsFalseDeaths: true, inject: injectDeaths,
		Description: "one attached front end in a hundred dies within 30 s, for good",
	},
	{
		Name: "regions", Seconds: 3600, forbidsFalseDeaths: true, inject: injectRegionPartition,
		Description: "two regions lose each other for an hour, with changes in both",
	},
	{
		Name: "split", Seconds: 3600, inject: injectSplit,
		Description: "two regions lose all others for an hour, with changes on both sides",
	},
	{
		Name: "control", Seconds: 120, forbidsFalseDeaths: true, inject: injectControlLoss,
		Description: "a control member lost, and back after a minute",
	},
	{
		Name: "controls", Seconds: 120, forbidsFalseDeaths: true, inject: injectSuccessiveControlLoss,
		Description: "a control member lost, its zone's others 10 s later, and back after a minute",
	},
	{
		Name: "rolling", Seconds: 180, forbidsFalseDeaths: true, inject: injectRollingRestart,
		Description: "a control member lost for 20 s, and then all others restarted one by one",
	},
	{
		Name: "deaf", Seconds: 120, forbidsFalseDeaths: true, inject: injectControlIsolation,
		Description: "a control member cut off from all attached front ends, and not from the rest, for a minute",
	},
	{
		Name: "both", Seconds: 120, forbidsFalseDeaths: true, inject: injectHomePartition,
		Description: "an attached front end cut off from both its control members at once, and from no other, for a minute",
	},
	{
		Name: "lossy", Seconds: 3600, forbidsFalseDeaths: true, inject: injectLoss,
		Description: "an hour with a hundredth of the messages lost and all up to 300 ms late",
	},
	{
		Name: "disorder", Seconds: 60, forbidsFalseDeaths: true, inject: injectReordering,
		Description: "a tenth restarted while a hundredth of the messages are lost and all come late and out of turn",
	},
	{
		Name: "chaos", Seconds: 90, inject: injectChaos,
		Description: "anything that can fail fails at random",
	},
	{
		Name: "stopped", Seconds: 60, forbidsFalseDeaths: true, inject: injectPauses,
		Description: "an attached front end and a control member stand still for 10 s",
	},
	{
		Name: "slow", Seconds: 90, forbidsFalseDeaths: true, inject: injectStalledReader,
		Description: "an attached front end that takes nothing every other 1.5 s while a tenth are restarted",
	},
	{
		Name: "trickle", Seconds: 90, forbidsFalseDeaths: true, inject: injectSlowReader,
		Description: "an attached front end that reads 15 bytes a second while a tenth are restarted",
	},
}

// endFaults ends all faults, but processes that have ended are not started.
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
