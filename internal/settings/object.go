package settings

// object is the JSON form of the settings object, with the keys that this program uses. It must not be renamed, and the
// types in it must remain aliases: encoding/json puts the names of defined types into errors, which operators read.
type object struct {
	Balancers      int           `json:"balancers"` // front ends of the site
	Rank           int           `json:"rank"`      // of this front end among them
	Zone           string        `json:"zone"`      // of this front end
	Discovery      string        `json:"discovery"` // discoveryPoll or another method
	OverShare      float64       `json:"over_share_worth"`
	Classes        []classObject `json:"classes"`
	Domain         domainObject  `json:"domain"`
	HostTypes      []string      `json:"host_types"`
	FailureDomains []string      `json:"failure_domains"` // names of zones
	Limits         limitsObject  `json:"limits"`
	Report         struct {
		How string `json:"how"` // reportOnHealthChecks, reportOnResponses or another method
	} `json:"report"`
	Rules   rulesObject `json:"rules"`
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

// Values of keys that this program distinguishes from all others.
const (
	discoveryPoll        = "ask"
	reportOnHealthChecks = "probe"
	reportOnResponses    = "answers"
)

// classObject is a class of requests.
type classObject = struct {
	Name          string   `json:"name"`
	OnTime        float64  `json:"on_time"` // seconds
	AimStretch    float64  `json:"aim_stretch"`
	GiveUp        float64  `json:"give_up"` // seconds
	Worth         float64  `json:"worth"`
	LateValue     float64  `json:"late_value"`
	Repeat        string   `json:"repeat"` // a key of effects
	Group         string   `json:"group"`  // a key of dedupeScopes
	Window        float64  `json:"window"` // seconds
	ByArrival     bool     `json:"by_arrival"`
	AllowedIn     []string `json:"allowed_in"`      // names of zones
	HostTypesOnly []string `json:"host_types_only"` // names of kinds of engines
	Stream        bool     `json:"stream"`
}

// domainObject has properties of classes and of kinds of engines. Its lists are in the order of the keys "classes" and
// "host_types"; they may be shorter, and missing elements count as zero.
type domainObject = struct {
	ClassThreads  []int     `json:"class_threads"`
	CPUOfKind     []int     `json:"cpu_of_kind"`    // cores
	RAMOfKindMB   []float64 `json:"ram_of_kind_mb"` // MB
	Grants        bool      `json:"grants"`
	LanesCount    bool      `json:"lanes_count"`
	MostGrant     float64   `json:"most_grant"`
	NotePeriod    float64   `json:"note_period"` // seconds
	TellsCost     bool      `json:"tells_cost"`
	WritesTables  []bool    `json:"writes_tables"`   // by class
	YieldsToLoads []bool    `json:"yields_to_loads"` // by class
}

// limitsObject has the limits of requests and connections, and which features may be used.
type limitsObject = struct {
	Cancel        bool    `json:"cancel"`
	Probes        bool    `json:"probes"`
	MayDuplicate  bool    `json:"may_duplicate"`
	RetryAfter    bool    `json:"retry_after"`
	MaxAttempts   int     `json:"max_attempts"`
	MaxRetryAfter float64 `json:"max_retry_after"` // seconds
	ConnIdle      float64 `json:"conn_idle"`       // seconds
	DialTimeout   float64 `json:"dial_timeout"`    // seconds
	MaxOpen       int     `json:"max_open"`        // requests
}

// rulesObject has the rules of the site. There is no retry budget unless LookBack is set.
type rulesObject = struct {
	AskWithin    float64  `json:"ask_within"` // seconds
	Cold         float64  `json:"cold"`       // seconds
	ColdFrom     float64  `json:"cold_from"`  // share of an engine's capacity
	Fall         float64  `json:"fall"`       // seconds
	FallMultiple float64  `json:"fall_multiple"`
	DrainGrace   float64  `json:"drain_grace"`        // seconds
	AnswerSlack  float64  `json:"answer_slack"`       // seconds
	Settle       float64  `json:"settle_after_doubt"` // seconds
	MinExtra     *float64 `json:"min_extra"`
	ExtraRatio   *float64 `json:"extra_ratio"`
	LookBack     *float64 `json:"look_back"` // seconds
}
