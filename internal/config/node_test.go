package config

import (
	"testing"

	"chutechute/internal/golden"
)

// Parts of node configurations: valid keys, and a valid class.
const (
	nodeKeys  = `"name": "n1", "listen": "10.0.0.4:1", "journal": "10.0.0.5:2", "seed": "8c1f30d27a5be964"`
	nodeClass = `{"name": "r", "on_time": 1, "give_up": 2, "repeat": "safe"}`
)

// nodeWithSettings returns a node configuration whose settings have the given keys.
func nodeWithSettings(keys string) string {
	return `{` + nodeKeys + `, "settings": {` + keys + `}}`
}

// nodeWithClasses returns a node configuration whose settings have the given classes and further keys.
func nodeWithClasses(classes, further string) string {
	return nodeWithSettings(`"balancers": 1, "host_types": ["a"], "failure_domains": ["a"], "classes": [` + classes + `]` +
		further)
}

var nodeConfigurations = []string{
	`{` + nodeKeys + `, "settings": ` + keyedSettings + `}`,
	`{` + nodeKeys + `, "limits": {"memory_mb": 1024.5, "sockets": 100}, "known": {"pos": 7, "entries": []},
		"settings": ` + keyedSettings + `}`,
	nodeWithClasses(nodeClass, ``),
	`{`,
	`{"name": 1}`,
	`{"limits": {"sockets": "many"}}`,
	`{"listen": "x"}`,
	`{"listen": "[::1]:1"}`,
	`{"listen": "10.0.0.4:1", "journal": "x"}`,
	`{"listen": "10.0.0.4:1", "journal": "10.0.0.5:2", "seed": "xyz"}`,
	`{` + nodeKeys + `, "limits": {"memory_mb": -1}}`,
	`{` + nodeKeys + `, "limits": {"sockets": -1}}`,
	`{` + nodeKeys + `, "limits": {"sockets": 63}}`,
	`{` + nodeKeys + `, "limits": {"memory_mb": 15}}`,
	`{` + nodeKeys + `}`,
	`{` + nodeKeys + `, "settings": 5}`,
	nodeWithSettings(`"classes": [{"on_time": "x"}]`),
	nodeWithSettings(`"classes": [{"name": "r", "repeat": "maybe"}]`),
	nodeWithSettings(`"classes": [{"name": "r", "repeat": "safe", "group": "town"}]`),
	nodeWithSettings(``),
	nodeWithSettings(`"balancers": 1`),
	nodeWithSettings(`"balancers": 1, "classes": [` + nodeClass + `]`),
	nodeWithSettings(`"balancers": 1, "classes": [` + nodeClass + `], "host_types": ["a"]`),
	nodeWithClasses(`{"name": "r", "give_up": 2, "repeat": "safe"}`, ``),
	nodeWithClasses(`{"name": "r", "on_time": 2, "repeat": "safe"}`, ``),
	nodeWithClasses(nodeClass+", "+nodeClass, ``),
	nodeWithClasses(`{"name": "r", "on_time": 1, "give_up": 2, "repeat": "keyed"}`, ``),
	nodeWithClasses(nodeClass, `, "tenants": [{"name": "t"}, {"name": "t"}]`),
	nodeWithClasses(nodeClass, `, "rules": {"cold_from": 2}`),
	`{` + nodeKeys + `, "known": {"pos": 7, "entries": [{"pos": 7, "hosts": {"targets": [{"uid": "s-1",
		"endpoint": "x"}]}}]}, "settings": ` + keyedSettings + `}`,
}

func TestNodeConfigurationGivesRecordedResults(t *testing.T) {
	var recorded []string
	for _, text := range nodeConfigurations {
		c, err := Parse([]byte(text), "", "")
		var value any
		if err == nil {
			value = nodeValues(c)
		}
		recorded = append(recorded, resultLine(text, value, err))
	}
	golden.Lines(t, "testdata/node.golden", recorded)
}

// nodeValues returns the values that were read from a node configuration.
func nodeValues(c *Config) []any {
	return []any{
		c.Name, c.Listen, c.Discovery, c.Seed, c.MemoryMB, c.Sockets, *c.Settings, c.KnownEvents, c.LastKnownPosition,
		string(c.settings), c.BufferBytes(), c.Limits(), c.HeapLimit(),
	}
}
