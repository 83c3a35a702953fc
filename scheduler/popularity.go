package scheduler

import "maps"

const (
	// popularitySpan is the number of queries over which a table group's share of the traffic is measured.
	popularitySpan = 500
	// popularityPrior is the number of queries of other groups that are assumed at the start, because a group's first
	// query says little about its share.
	popularityPrior = 50
	// minPreferredEngines is the minimum number of engines that share a group's queries.
	minPreferredEngines = 2
	// maxTableGroups is the largest number of groups that are remembered, because clients may name any group.
	maxTableGroups = 4096
	// maxPopularityWeight is the weight at which all counts are rescaled and those below minPopularity are dropped.
	maxPopularityWeight = 1e6
	minPopularity       = 1e-3
)

// popularity counts queries by table group with exponential decay. Instead of decaying all counts with each query, it
// gives each query a higher weight than the last.
type popularity struct {
	count  map[int]float64 // sum of the weights of the group's queries, by group
	total  float64         // sum of the weights of all queries
	weight float64         // weight of the last query
}

func newPopularity() popularity { return popularity{count: map[int]float64{}, weight: 1} }

// add counts a query of the group.
func (p *popularity) add(group int) {
	if len(p.count) >= maxTableGroups {
		*p = newPopularity()
	}
	if p.weight > maxPopularityWeight {
		p.rescale()
	}
	p.weight *= 1 + 1.0/popularitySpan
	p.count[group] += p.weight
	p.total += p.weight
}

func (p *popularity) rescale() {
	maps.DeleteFunc(p.count, func(group int, n float64) bool {
		p.count[group] = n / p.weight
		return n < p.weight*minPopularity
	})
	p.total, p.weight = p.total/p.weight, 1
}

// preferredEngines returns the number of engines that share a group's queries: minPreferredEngines, plus the group's
// share of all queries times the number of engines.
func (p *popularity) preferredEngines(group, engines int) int {
	return minPreferredEngines + int(float64(engines)*p.count[group]/(p.total+popularityPrior*p.weight))
}
