package discovery

import (
	"fmt"
	"net/netip"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// CachedEvents holds the events that were known when the configuration was written, in its JSON form.
type CachedEvents struct {
	LastEvent uint64        `json:"pos"` // the number of the last event
	Events    []cachedEvent `json:"entries"`
}

// cachedEvent is one event.
type cachedEvent struct {
	Pos   uint64 `json:"pos"`
	Hosts struct {
		All     bool           `json:"all"`
		Targets []cachedEngine `json:"targets"`
	} `json:"hosts"`
}

// cachedEngine is one engine of an event.
type cachedEngine struct {
	UID      string          `json:"uid"`
	Endpoint string          `json:"endpoint"`
	AZ       string          `json:"az"`
	Model    string          `json:"model"`
	PodGroup int             `json:"pod_group"`
	State    string          `json:"state"`
	BootMS   monotime.Micros `json:"boot_ms"`
}

// stateNames maps the names of engine states in the configuration to the states.
var stateNames = map[string]scheduler.EngineState{
	"in_service":  scheduler.Serving,
	"terminating": scheduler.Draining,
	"terminated":  scheduler.Removed,
}

// Parse returns the events in their order. An error names the invalid key of the configuration.
func (c *CachedEvents) Parse() ([]Event, error) {
	var events []Event
	for i, entry := range c.Events {
		event := Event{Number: entry.Pos, Kind: scheduler.UpdateChanges}
		if entry.Hosts.All {
			event.Kind = scheduler.UpdateCached
		}
		for j, target := range entry.Hosts.Targets {
			engine, err := target.engine(fmt.Sprintf("entries[%d].hosts.targets[%d]", i, j))
			if err != nil {
				return nil, err
			}
			event.Engines = append(event.Engines, engine)
		}
		events = append(events, event)
	}
	return events, nil
}

// engine parses the engine. An error names the invalid key, prefixed with key.
func (c *cachedEngine) engine(key string) (Engine, error) {
	addr, err := netip.ParseAddrPort(c.Endpoint)
	if err != nil || !addr.Addr().Is4() {
		return Engine{}, fmt.Errorf("%s.endpoint: %q is no IPv4 address with a port", key, c.Endpoint)
	}
	state, ok := stateNames[c.State]
	if !ok {
		return Engine{}, fmt.Errorf("%s.state: unknown state %q", key, c.State)
	}
	if c.UID == "" {
		return Engine{}, fmt.Errorf("%s.uid: missing", key)
	}
	endpoint := scheduler.Endpoint{
		Engine:  c.UID,
		Zone:    c.AZ,
		Kind:    c.Model,
		Cell:    c.PodGroup,
		State:   state,
		Started: c.BootMS * microsPerMilli,
	}
	return Engine{Address: addr, Endpoint: endpoint}, nil
}
