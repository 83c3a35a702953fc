package config

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-viper/mapstructure/v2"

	"chutechute/internal/settings"
	"chutechute/scheduler"
	"chutechute/statement"
	"chutechute/statement/classify"
	"chutechute/statement/estimate"
)

// Installation is an installation's own file, in Jsonnet: what the platform gives no place for. All is off
// without it.
type Installation struct {
	Statement Statement `json:"statement"`
	Identity  Identity  `json:"identity"`
	TLS       TLS       `json:"tls"`
	Fleet     Fleet     `json:"fleet"`
}

// Statement sets how bare statements are read.
type Statement struct {
	Enabled       bool             `json:"enabled"`
	Unparsed      string           `json:"unparsed"`       // fail or once
	UnparsedClass string           `json:"unparsed_class"` // for once
	CacheMB       float64          `json:"cache_mb"`
	MaxBytes      int              `json:"max_bytes"`
	MaxDepth      int              `json:"max_depth"`
	Effects       []string         `json:"effects"`
	Tables        map[string]Table `json:"tables"`
	Rules         []Rule           `json:"rules"`
}

// Table is what operators say of a table's size.
type Table struct {
	Rows float64 `json:"rows"`
	MB   float64 `json:"mb"`
}

// Rule gives a class to the statements that its conditions hold for.
type Rule struct {
	Class   string   `json:"class"`
	Verbs   []string `json:"verbs"`
	Tables  []string `json:"tables"`
	CostMS  float64  `json:"cost_ms"`
	Threads int      `json:"threads"`
}

// Bounds of the installation's figures.
const (
	cacheShare    = 32 // of memory_mb, where cache_mb is left out
	mostStatement = 256 << 10
	mostDepth     = 1000
	usualOfAim    = 0.25 // of a class's aim, over all of its threads: its work until some was measured
	usualMB       = 16   // for each thread
)

// ReadInstallation evaluates an installation file. Unknown keys and wrong types are errors that name the key.
func ReadInstallation(path string) (*Installation, error) {
	text, err := evaluate(path)
	if err != nil {
		return nil, fmt.Errorf("installation: %w", err)
	}
	file, err := ParseInstallation(text)
	if err != nil {
		return nil, err
	}
	file.Identity.rooted(filepath.Dir(path))
	file.TLS.rooted(filepath.Dir(path))
	file.Fleet.rooted(filepath.Dir(path))
	return file, nil
}

// ParseInstallation reads what an installation file evaluates to.
func ParseInstallation(text []byte) (*Installation, error) {
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, fmt.Errorf("installation: not an object: %w", err)
	}
	file := &Installation{}
	d, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: file, TagName: "json", ErrorUnused: true,
		MatchName: func(key, field string) bool { return key == field }})
	if err != nil {
		return nil, fmt.Errorf("installation: %w", err)
	}
	if err := d.Decode(tree); err != nil {
		return nil, fmt.Errorf("installation: %s", strings.Join(strings.Fields(err.Error()), " "))
	}
	return file, nil
}

// options turns the file's word into that of package statement, under a limit of memory in MB; nil where it is
// off.
func (s *Statement) options(classes []statement.Class, memoryMB int) (*statement.Options, error) {
	if !s.Enabled {
		return nil, nil
	}
	o, err := s.Options(classes)
	if err != nil {
		return nil, err
	}
	most := float64(memoryMB) / shares
	if s.CacheMB > most {
		return nil, fmt.Errorf("installation: statement.cache_mb: %g is above an eighth of memory_mb, %g", s.CacheMB, most)
	}
	if s.CacheMB == 0 {
		o.CacheBytes = memoryMB << 20 / cacheShare
	}
	return o, nil
}

// Options is the file's word on statements in that of package statement, checked as a whole.
func (s *Statement) Options(classes []statement.Class) (*statement.Options, error) {
	fault := func(key, form string, args ...any) (*statement.Options, error) {
		return nil, fmt.Errorf("installation: statement.%s: %s", key, fmt.Sprintf(form, args...))
	}
	o := &statement.Options{CacheBytes: int(s.CacheMB * (1 << 20)), MaxBytes: s.MaxBytes, MaxDepth: s.MaxDepth,
		Effects: s.Effects, UnparsedClass: s.UnparsedClass, Classes: classes}
	switch {
	case s.CacheMB < 0 || s.CacheMB > 0 && s.CacheMB < 0.0625:
		return fault("cache_mb", "%g is below 0.0625", s.CacheMB)
	case s.MaxBytes < 0 || s.MaxBytes > mostStatement:
		return fault("max_bytes", "%d is not from 0 to %d", s.MaxBytes, mostStatement)
	case s.MaxDepth < 0 || s.MaxDepth > mostDepth:
		return fault("max_depth", "%d is not from 0 to %d", s.MaxDepth, mostDepth)
	case s.Unparsed == "once" && s.UnparsedClass == "":
		return fault("unparsed_class", "missing, with unparsed = \"once\"")
	case s.Unparsed != "" && s.Unparsed != "fail" && s.Unparsed != "once":
		return fault("unparsed", "%q is neither \"fail\" nor \"once\"", s.Unparsed)
	case s.Unparsed == "once":
		o.Unparsed = statement.Once
	}
	o.Tables = map[string]estimate.Sizes{}
	for name, t := range s.Tables {
		if t.Rows < 0 || t.MB < 0 {
			return fault("tables."+name, "rows and mb may not be negative")
		}
		o.Tables[strings.ToLower(name)] = estimate.Sizes{Rows: t.Rows, MB: t.MB}
	}
	for _, r := range s.Rules {
		o.Rules = append(o.Rules, classify.Rule{Class: r.Class, Verbs: r.Verbs, Tables: r.Tables, CostMS: r.CostMS,
			Threads: r.Threads})
	}
	if _, err := statement.New(*o); err != nil { // checks the rules against the classes
		return nil, fmt.Errorf("installation: statement.%w", err)
	}
	return o, nil
}

// Classes is what reading statements needs to know of the site's classes.
func Classes(s *settings.Settings) (list []statement.Class) {
	for _, c := range s.Classes {
		list = append(list, statement.Class{Class: classify.Class{Name: c.Name, Loads: c.LocksTableGroup, Threads: c.Threads},
			Keyed:   c.Effect == scheduler.IdempotentByKey && c.DedupeScope == scheduler.ScopeAll,
			UsualMS: usualOfAim * float64(c.LatencyObjective) / 1000 * float64(c.Threads), UsualMB: usualMB * float64(c.Threads)})
	}
	return list
}

// RuleClasses is what the rules alone tell of classes, where no settings are at hand: one loads if some rule
// gives it to a verb that writes.
func (s *Statement) RuleClasses() (list []statement.Class) {
	add := func(name string, loads bool) {
		i := slices.IndexFunc(list, func(c statement.Class) bool { return c.Name == name })
		if i < 0 {
			i = len(list)
			list = append(list, statement.Class{Class: classify.Class{Name: name, Threads: 1}, UsualMS: 100, UsualMB: usualMB})
		}
		list[i].Loads = list[i].Loads || loads
	}
	for _, r := range s.Rules {
		add(r.Class, slices.ContainsFunc(r.Verbs, classify.Writes))
	}
	if s.UnparsedClass != "" {
		add(s.UnparsedClass, false)
	}
	return list
}
