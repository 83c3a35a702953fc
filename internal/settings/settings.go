// Package settings reads the settings object of a site, which an instance gets in the simulator's first message or in
// its node's configuration, and converts it to the terms of package scheduler. Durations in the object are in seconds.
package settings

import (
	"encoding/json"
	"fmt"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// Settings are the settings of a site. Keys that the object lacks are zero: no defaults are filled in.
type Settings struct {
	scheduler.Config
	ClassOf  map[string]int // indexes of Config.Classes by name; of classes with one name the last
	TenantOf map[string]int // indexes of Config.Tenants by name; of tenants with one name the last

	Zones       []string        // names of the site's zones
	ConnIdle    monotime.Micros // after which engines close an idle connection
	DialTimeout monotime.Micros // of connections to engines
	MaxOpen     int             // requests that may be open at a time
}

// ClassError reports a key of a class that has an unknown value.
type ClassError struct {
	Class string // the name of the class
	Key   string // "repeat" or "group"
	Value string
}

// Error returns the name of the class, the key and the unknown value.
func (e *ClassError) Error() string {
	return fmt.Sprintf("class %q: unknown %s %q", e.Class, e.Key, e.Value)
}

// Parse reads the JSON of a settings object. Unknown keys are ignored, and values are not checked for their ranges. The
// error is a *ClassError or one of package json, which names the key.
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
		ClassOf:     map[string]int{},
		TenantOf:    map[string]int{},
		Zones:       o.FailureDomains,
		ConnIdle:    fromSeconds(o.Limits.ConnIdle),
		DialTimeout: fromSeconds(o.Limits.DialTimeout),
		MaxOpen:     o.Limits.MaxOpen,
	}
	for i, class := range config.Classes {
		s.ClassOf[class.Name] = i
	}
	for i, tenant := range config.Tenants {
		s.TenantOf[tenant.Name] = i
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
