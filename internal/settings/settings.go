// Package settings reads the settings object that an instance is told, in the simulator's first message
// or in its configuration, into the decision module's terms.
package settings

import (
	"encoding/json"
	"fmt"
	"math"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// object mirrors the keys of the settings that are used here.
type object struct {
	Balancers int     `json:"balancers"`
	Rank      int     `json:"rank"`
	Zone      string  `json:"zone"`
	Discovery string  `json:"discovery"`
	OverShare float64 `json:"over_share_worth"`
	Classes   []struct {
		Name          string   `json:"name"`
		OnTime        float64  `json:"on_time"`
		AimStretch    float64  `json:"aim_stretch"`
		GiveUp        float64  `json:"give_up"`
		Worth         float64  `json:"worth"`
		LateValue     float64  `json:"late_value"`
		Repeat        string   `json:"repeat"`
		Group         string   `json:"group"`
		Window        float64  `json:"window"`
		ByArrival     bool     `json:"by_arrival"`
		AllowedIn     []string `json:"allowed_in"`
		HostTypesOnly []string `json:"host_types_only"`
		Stream        bool     `json:"stream"`
	} `json:"classes"`
	Domain struct {
		ClassThreads  []int     `json:"class_threads"`
		CPUOfKind     []int     `json:"cpu_of_kind"`
		RAMOfKindMB   []float64 `json:"ram_of_kind_mb"`
		Grants        bool      `json:"grants"`
		LanesCount    bool      `json:"lanes_count"`
		MostGrant     float64   `json:"most_grant"`
		NotePeriod    float64   `json:"note_period"`
		TellsCost     bool      `json:"tells_cost"`
		WritesTables  []bool    `json:"writes_tables"`
		YieldsToLoads []bool    `json:"yields_to_loads"`
	} `json:"domain"`
	HostTypes      []string `json:"host_types"`
	FailureDomains []string `json:"failure_domains"`
	Limits         struct {
		Cancel        bool    `json:"cancel"`
		Probes        bool    `json:"probes"`
		MayDuplicate  bool    `json:"may_duplicate"`
		RetryAfter    bool    `json:"retry_after"`
		MaxAttempts   int     `json:"max_attempts"`
		MaxRetryAfter float64 `json:"max_retry_after"`
		ConnIdle      float64 `json:"conn_idle"`
		DialTimeout   float64 `json:"dial_timeout"`
		MaxOpen       int     `json:"max_open"`
	} `json:"limits"`
	Report struct {
		How string `json:"how"`
	} `json:"report"`
	Rules struct {
		AskWithin    float64  `json:"ask_within"`
		Cold         float64  `json:"cold"`
		ColdFrom     float64  `json:"cold_from"`
		Fall         float64  `json:"fall"`
		FallMultiple float64  `json:"fall_multiple"`
		DrainGrace   float64  `json:"drain_grace"`
		AnswerSlack  float64  `json:"answer_slack"`
		Settle       float64  `json:"settle_after_doubt"`
		MinExtra     *float64 `json:"min_extra"`
		ExtraRatio   *float64 `json:"extra_ratio"`
		LookBack     *float64 `json:"look_back"`
	} `json:"rules"`
	Tariffs struct {
		Probe     float64 `json:"probe"`
		CrossZone float64 `json:"cross_zone"`
	} `json:"tariffs"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
		Share float64 `json:"share"`
	} `json:"tenants"`
}

var repeats = map[string]scheduler.Effect{"safe": scheduler.Idempotent, "keyed": scheduler.IdempotentByKey, "unsafe": scheduler.NonIdempotent}

var scopes = map[string]scheduler.DedupeScope{"": scheduler.ScopeAll, "all": scheduler.ScopeAll, "zone": scheduler.ScopeZone,
	"cell": scheduler.ScopeCell}

// Settings is what the settings object says.
type Settings struct {
	scheduler.Config
	ClassOf, TenantOf map[string]int // places by name

	Zones       []string
	ConnIdle    monotime.Micros // engines close idle connections after this
	DialTimeout monotime.Micros
	MaxOpen     int // requests that may be open at once
}

// Parse reads a settings object; an error names the faulty key.
func Parse(text []byte) (*Settings, error) {
	var o object
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, err
	}
	cfg, err := o.config()
	if err != nil {
		return nil, err
	}
	s := &Settings{Config: cfg, ClassOf: map[string]int{}, TenantOf: map[string]int{}, Zones: o.FailureDomains,
		ConnIdle: micros(o.Limits.ConnIdle), DialTimeout: micros(o.Limits.DialTimeout), MaxOpen: o.Limits.MaxOpen}
	for i, c := range cfg.Classes {
		s.ClassOf[c.Name] = i
	}
	for i, t := range cfg.Tenants {
		s.TenantOf[t.Name] = i
	}
	return s, nil
}

// ClassNames is the names of the classes, in their order.
func (s *Settings) ClassNames() (names []string) {
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	return names
}

func micros(s float64) monotime.Micros { return monotime.Micros(math.Round(s * 1e6)) }

func (s *object) config() (scheduler.Config, error) {
	l, r, dom := s.Limits, s.Rules, s.Domain
	cfg := scheduler.Config{Gateways: s.Balancers, Rank: s.Rank, Zone: s.Zone, PollEndpoints: s.Discovery == "ask",
		MemoryGrants: dom.Grants, Priorities: dom.LanesCount, MaxGrantShare: dom.MostGrant, ProgressInterval: micros(dom.NotePeriod),
		ReportsCost:     dom.TellsCost,
		HealthCheckCost: s.Tariffs.Probe, CrossZoneCost: s.Tariffs.CrossZone,
		OverShareWeight: s.OverShare, LoadReportsOnHealthChecks: s.Report.How == "probe", LoadReportsOnResponses: s.Report.How == "answers",
		Limits: scheduler.Limits{Cancel: l.Cancel, HealthChecks: l.Probes, HedgedRequests: l.MayDuplicate,
			RetryAfter: l.RetryAfter, MaxAttempts: l.MaxAttempts, MaxRetryAfter: micros(l.MaxRetryAfter)},
		Rules: scheduler.Rules{ResponseTimeout: micros(r.AskWithin), WarmUp: micros(r.Cold), InitialWarmth: r.ColdFrom,
			OverloadWindow: micros(r.Fall), OverloadMultiple: r.FallMultiple, DrainGrace: micros(r.DrainGrace),
			AnswerSlack: micros(r.AnswerSlack), KeyQuietPeriod: micros(r.Settle)}}
	if r.LookBack != nil {
		cfg.Rules.RetryBudget, cfg.Rules.RetryBudgetWindow = true, micros(*r.LookBack)
		cfg.Rules.MinRetries, cfg.Rules.RetryRatio = value(r.MinExtra), value(r.ExtraRatio)
	}
	for i, name := range s.HostTypes {
		cfg.Kinds = append(cfg.Kinds, scheduler.EngineKind{Name: name, Cores: at(dom.CPUOfKind, i), MemoryMB: at(dom.RAMOfKindMB, i)})
	}
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, scheduler.Tenant{Name: t.Name, Share: t.Share, Quota: t.Quota})
	}
	for i, c := range s.Classes {
		repeat, ok := repeats[c.Repeat]
		if !ok {
			return cfg, fmt.Errorf("class %q: unknown repeat %q", c.Name, c.Repeat)
		}
		scope, ok := scopes[c.Group]
		if !ok {
			return cfg, fmt.Errorf("class %q: unknown group %q", c.Name, c.Group)
		}
		cfg.Classes = append(cfg.Classes, scheduler.Class{Name: c.Name, LatencyObjective: micros(c.OnTime), ObjectiveStretch: c.AimStretch,
			ClientTimeout: micros(c.GiveUp), PriorityWeight: c.Worth, LateWeight: c.LateValue, Effect: repeat, DedupeScope: scope,
			DedupeWindow: micros(c.Window), Ordered: c.ByArrival, Zones: c.AllowedIn, Kinds: c.HostTypesOnly, Stream: c.Stream,
			Threads: max(1, at(dom.ClassThreads, i)), LocksTableGroup: at(dom.WritesTables, i), WaitsForTableGroup: at(dom.YieldsToLoads, i)})
	}
	return cfg, nil
}

func value(p *float64) float64 {
	if p == nil {
		return 0
	}
	return *p
}

// at is list[i], or nothing where the list is shorter.
func at[T any](list []T, i int) (v T) {
	if i < len(list) {
		v = list[i]
	}
	return v
}
