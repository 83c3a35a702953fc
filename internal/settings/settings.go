// Package settings reads the settings object of a site, which a front end gets in the simulator's first message or in
// its node configuration, and converts it to types of package scheduler. Durations in the object are in seconds.
package settings

import (
	"encoding/json"
	"fmt"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// Settings are the settings of a site. Values of missing keys are zero: this package fills in no defaults.
type Settings struct {
	scheduler.Config
	ClassIndex  map[string]int // indexes in Config.Classes by name; the last one if several classes have the name
	TenantIndex map[string]int // indexes in Config.Tenants by name; the last one if several tenants have the name

	Zones       []string        // names of the site's zones
	ConnIdle    monotime.Micros // time after which engines close an idle connection
	DialTimeout monotime.Micros // for connections to engines
	MaxOpen     int             // maximum number of open requests
}

// ClassError reports an unknown value of a key of a class.
type ClassError struct {
	Class string // the name of the class
	Key   string // "repeat" or "group"
	Value string
}

// Error returns the name of the class, the key and the unknown value.
func (e *ClassError) Error() string {
	return fmt.Sprintf("class %q: unknown %s %q", e.Class, e.Key, e.Value)
}

// Parse reads the JSON of a settings object. It ignores unknown keys and does not check the ranges of values. The error
// is a *ClassError or an error of package json, which names the key.
func Parse(text []byte) (*Settings, error) {
	var o object
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, err
	}
	config, err := o.schedulerConfig()
	if err != nil {
		return nil, err
	}
	s := &Settings{
		Config:      config,
		ClassIndex:  map[string]int{},
		TenantIndex: map[string]int{},
		Zones:       o.FailureDomains,
		ConnIdle:    fromSeconds(o.Limits.ConnIdle),
		DialTimeout: fromSeconds(o.Limits.DialTimeout),
		MaxOpen:     o.Limits.MaxOpen,
	}
	for i, class := range config.Classes {
		s.ClassIndex[class.Name] = i
	}
	for i, tenant := range config.Tenants {
		s.TenantIndex[tenant.Name] = i
	}
	return s, nil
}

// ClassNames returns the names of the classes, in the order of Config.Classes.
func (s *Settings) ClassNames() (names []string) {
	for _, class := range s.Classes {
		names = append(names, class.Name)
	}
	return names
}
