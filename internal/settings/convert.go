package settings

import (
	"math"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// effects are the values of a class's key "repeat".
var effects = map[string]scheduler.Effect{
	"safe":   scheduler.Idempotent,
	"keyed":  scheduler.IdempotentByKey,
	"unsafe": scheduler.NonIdempotent,
}

// dedupeScopes are the values of a class's key "group".
var dedupeScopes = map[string]scheduler.DedupeScope{
	"":     scheduler.ScopeAll,
	"all":  scheduler.ScopeAll,
	"zone": scheduler.ScopeZone,
	"cell": scheduler.ScopeCell,
}

// schedulerConfig converts the object to the configuration of package scheduler.
func (o *object) schedulerConfig() (scheduler.Config, error) {
	config := scheduler.Config{
		FrontEnds:                 o.Balancers,
		Rank:                      o.Rank,
		Zone:                      o.Zone,
		PollEndpoints:             o.Discovery == discoveryPoll,
		MemoryGrants:              o.Domain.Grants,
		Priorities:                o.Domain.LanesCount,
		MaxGrantShare:             o.Domain.MostGrant,
		ProgressInterval:          fromSeconds(o.Domain.NotePeriod),
		ReportsCost:               o.Domain.TellsCost,
		HealthCheckCost:           o.Tariffs.Probe,
		CrossZoneCost:             o.Tariffs.CrossZone,
		OverQuotaWeight:           o.OverShare,
		LoadReportsOnHealthChecks: o.Report.How == reportOnHealthChecks,
		LoadReportsOnResponses:    o.Report.How == reportOnResponses,
		Limits:                    convertLimits(&o.Limits),
		Rules:                     convertRules(&o.Rules),
		Kinds:                     o.engineKinds(),
		Tenants:                   o.tenants(),
	}
	var err error
	config.Classes, err = o.classes()
	return config, err
}

// convertLimits converts the limits that apply to the scheduler.
func convertLimits(limits *limitsObject) scheduler.Limits {
	return scheduler.Limits{
		Cancel:         limits.Cancel,
		HealthChecks:   limits.Probes,
		HedgedRequests: limits.MayDuplicate,
		RetryAfter:     limits.RetryAfter,
		MaxAttempts:    limits.MaxAttempts,
		MaxRetryAfter:  fromSeconds(limits.MaxRetryAfter),
	}
}

// convertRules converts the rules. There is a retry budget only if the rules set its window, look_back.
func convertRules(rules *rulesObject) scheduler.Rules {
	converted := scheduler.Rules{
		DiscoveryTimeout: fromSeconds(rules.AskWithin),
		WarmUp:           fromSeconds(rules.Cold),
		InitialCapacity:  rules.ColdFrom,
		OverloadWindow:   fromSeconds(rules.Fall),
		OverloadMultiple: rules.FallMultiple,
		DrainGrace:       fromSeconds(rules.DrainGrace),
		AnswerSlack:      fromSeconds(rules.AnswerSlack),
		KeyQuietPeriod:   fromSeconds(rules.Settle),
	}
	if rules.LookBack != nil {
		converted.RetryBudget = true
		converted.RetryBudgetWindow = fromSeconds(*rules.LookBack)
		converted.MinRetries = valueOrZero(rules.MinExtra)
		converted.RetryRatio = valueOrZero(rules.ExtraRatio)
	}
	return converted
}

// engineKinds returns the kinds of engines, with the sizes that the domain object has for them.
func (o *object) engineKinds() (kinds []scheduler.EngineKind) {
	for i, name := range o.HostTypes {
		kinds = append(kinds, scheduler.EngineKind{
			Name:     name,
			Cores:    elementOrZero(o.Domain.CPUOfKind, i),
			MemoryMB: elementOrZero(o.Domain.RAMOfKindMB, i),
		})
	}
	return kinds
}

// tenants converts the tenants.
func (o *object) tenants() (tenants []scheduler.Tenant) {
	for _, tenant := range o.Tenants {
		tenants = append(tenants, scheduler.Tenant{Name: tenant.Name, Share: tenant.Share, Quota: tenant.Quota})
	}
	return tenants
}

// classes converts the classes. It returns the error of the first invalid one.
func (o *object) classes() (classes []scheduler.Class, err error) {
	for i := range o.Classes {
		class, err := convertClass(&o.Classes[i])
		if err != nil {
			return nil, err
		}
		class.Threads = max(1, elementOrZero(o.Domain.ClassThreads, i))
		class.LocksTableGroup = elementOrZero(o.Domain.WritesTables, i)
		class.WaitsForTableGroup = elementOrZero(o.Domain.YieldsToLoads, i)
		classes = append(classes, class)
	}
	return classes, nil
}

// convertClass converts a class, without the properties that the domain object has for it.
func convertClass(class *classObject) (scheduler.Class, error) {
	effect, ok := effects[class.Repeat]
	if !ok {
		return scheduler.Class{}, &ClassError{Class: class.Name, Key: "repeat", Value: class.Repeat}
	}
	scope, ok := dedupeScopes[class.Group]
	if !ok {
		return scheduler.Class{}, &ClassError{Class: class.Name, Key: "group", Value: class.Group}
	}
	return scheduler.Class{
		Name:             class.Name,
		LatencyObjective: fromSeconds(class.OnTime),
		ObjectiveStretch: class.AimStretch,
		ClientTimeout:    fromSeconds(class.GiveUp),
		PriorityWeight:   class.Worth,
		LateWeight:       class.LateValue,
		Effect:           effect,
		DedupeScope:      scope,
		DedupeWindow:     fromSeconds(class.Window),
		Ordered:          class.ByArrival,
		Zones:            class.AllowedIn,
		Kinds:            class.HostTypesOnly,
		Streaming:        class.Stream,
	}, nil
}

// fromSeconds converts a number of seconds and rounds it to the nearest microsecond.
func fromSeconds(seconds float64) monotime.Micros {
	return monotime.Micros(math.Round(seconds * float64(monotime.Second)))
}

// valueOrZero returns the value of an optional key, or 0 if the key is missing.
func valueOrZero(value *float64) float64 {
	if value == nil {
		return 0
	}
	return *value
}

// elementOrZero returns list[i], or the zero value if the list is shorter.
func elementOrZero[T any](list []T, i int) (element T) {
	if i < len(list) {
		element = list[i]
	}
	return element
}
