package scheduler

import "chutechute/internal/monotime"

// surgeFactor is how many times their quotas clients request in an overload, retries included.
const surgeFactor = 1.4

// traffic estimates which share of the fleet's traffic comes by this gateway.
type traffic struct {
	gateways   float64
	totalQuota float64 // of all tenants, queries a second over all gateways; 0 without quotas
	arrivals   decayingRate
}

func newTraffic(cfg *Config) traffic {
	t := traffic{gateways: float64(cfg.Gateways)}
	for _, tenant := range cfg.Tenants {
		t.totalQuota += tenant.Quota
	}
	t.arrivals.value = t.totalQuota / t.gateways // until there is a measurement
	return t
}

// measuredShare returns this gateway's rate of arrivals over what all quotas allow in a surge, so that the shares of
// all gateways don't add up to more than 1 in an overload; without quotas an even share.
func (t *traffic) measuredShare(now monotime.Micros) float64 {
	if t.totalQuota == 0 {
		return 1 / t.gateways
	}
	return min(1, t.arrivals.at(now)/(surgeFactor*t.totalQuota))
}

// share returns the share of the fleet's resources that this gateway takes for its own: at least an even one.
func (t *traffic) share(now monotime.Micros) float64 {
	return max(t.measuredShare(now), 1/t.gateways)
}
