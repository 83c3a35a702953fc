package config

import (
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// settingsSection creates the errors for keys of the settings object.
var settingsSection = section{file: nodeFile, path: "settings"}

// checkSettings returns an error if the settings lack keys that the scheduler needs, or have contradictory or invalid
// values.
func checkSettings(site *settings.Settings) error {
	switch {
	case site.FrontEnds < 1:
		return settingsSection.keyError("balancers", "%d is below 1", site.FrontEnds)
	case len(site.Classes) == 0:
		return settingsSection.keyError("classes", "missing")
	case len(site.Kinds) == 0:
		return settingsSection.keyError("host_types", "missing")
	case len(site.Zones) == 0:
		return settingsSection.keyError("failure_domains", "missing")
	}
	for i := range site.Classes {
		if err := checkClass(site, i); err != nil {
			return err
		}
	}
	for i, tenant := range site.Tenants {
		if site.TenantIndex[tenant.Name] != i {
			return settingsSection.element("tenants", i).keyError("name", "%q stands twice", tenant.Name)
		}
	}
	if initialCapacity := site.Rules.InitialCapacity; initialCapacity < 0 || initialCapacity > 1 {
		return settingsSection.keyError("rules.cold_from", "%g is no share of a capacity", initialCapacity)
	}
	return nil
}

// checkClass returns an error if a class lacks a required key or has the name of another class.
func checkClass(site *settings.Settings, index int) error {
	class := &site.Classes[index]
	element := settingsSection.element("classes", index)
	switch {
	case class.LatencyObjective <= 0 || class.ClientTimeout <= 0:
		return element.valueError("class %q lacks on_time or give_up", class.Name)
	case site.ClassIndex[class.Name] != index:
		return element.keyError("name", "%q stands twice", class.Name)
	case class.Effect == scheduler.IdempotentByKey && class.DedupeWindow <= 0:
		return element.keyError("window", "class %q is keyed, and no engine would drop a repeat", class.Name)
	}
	return nil
}
