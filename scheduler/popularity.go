package scheduler

import "maps"

const (
	// popularitySpan is how many queries a table group's share of the traffic is measured over.
	popularitySpan = 500
	// popularityPrior is how many queries of other groups count as seen at the start: the first of a group says little.
	popularityPrior = 50
	// minHomeEngines is how many engines share the queries of any group.
	minHomeEngines = 2
	// maxTableGroups bounds the groups that are remembered: clients may name any group.
	maxTableGroups = 4096
	// maxPopularityUnit is the unit at which all counts are scaled back, and those below minPopularity forgotten.
	maxPopularityUnit = 1e6
	minPopularity     = 1e-3
)

// popularity counts queries by table group, decayed. Instead of decaying all counts, the weight of a query grows.
type popularity struct {
	count map[int]float64 // by group, in units of weight
	total float64         // the same, of all groups
	unit  float64         // weight of the last query
}

func newPopularity() popularity { return popularity{count: map[int]float64{}, unit: 1} }

// add counts a query of the group.
func (p *popularity) add(group int) {
	if len(p.count) >= maxTableGroups {
		*p = newPopularity()
	}
	if p.unit > maxPopularityUnit {
		p.scaleBack()
	}
	p.unit *= 1 + 1.0/popularitySpan
	p.count[group] += p.unit
	p.total += p.unit
}

func (p *popularity) scaleBack() {
	maps.DeleteFunc(p.count, func(group int, n float64) bool {
		p.count[group] = n / p.unit
		return n < p.unit*minPopularity
	})
	p.total, p.unit = p.total/p.unit, 1
}

// homeEngines returns how many engines share a group's queries: one more for each engine's part of all queries that the
// group has.
func (p *popularity) homeEngines(group, engines int) int {
	return minHomeEngines + int(float64(engines)*p.count[group]/(p.total+popularityPrior*p.unit))
}
