package scheduler

import "chutechute/internal/monotime"

// surgeFactor is the rate of requests in an overload, retries included, as a multiple of the clients' quotas.
const surgeFactor = 1.4

// traffic estimates the share of the fleet's traffic that arrives at this front end.
type traffic struct {
	frontEnds  float64 // number of front ends of the site
	totalQuota float64 // sum over all tenants, in queries a second over all front ends; 0 without quotas
	arrivals   decayingRate
}

func newTraffic(cfg *Config) traffic {
	t := traffic{frontEnds: float64(cfg.FrontEnds)}
	for _, tenant := range cfg.Tenants {
		t.totalQuota += tenant.Quota
	}
	t.arrivals.value = t.totalQuota / t.frontEnds // expected rate, until there is a measurement
	return t
}

// measuredShare returns this front end's arrival rate as a fraction of the total rate that is expected in a surge, so
// that the shares of all front ends do not add up to more than 1 in an overload. Without quotas it returns an even
// share.
func (t *traffic) measuredShare(now monotime.Micros) float64 {
	if t.totalQuota == 0 {
		return 1 / t.frontEnds
	}
	return min(1, t.arrivals.at(now)/(surgeFactor*t.totalQuota))
}

// share returns the share of the fleet's resources that this front end may use, which is at least an even one.
func (t *traffic) share(now monotime.Micros) float64 {
	return max(t.measuredShare(now), 1/t.frontEnds)
}
