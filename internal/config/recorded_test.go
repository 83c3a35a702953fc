package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/settings"
)

// The results of the sections, as recorded under testdata, hold values without the names of Go fields: a renamed field
// leaves them as they are, a changed value, default, digest or error text does not.

// testMemoryMB is the node's memory in these tests.
const testMemoryMB = 192

// keyedSettings are settings with a class whose requests have idempotency keys, and with a tenant.
const keyedSettings = `{"balancers": 3, "classes": [
	{"name": "read", "on_time": 1, "give_up": 5, "worth": 1, "repeat": "safe"},
	{"name": "load", "on_time": 10, "give_up": 60, "worth": 2, "repeat": "keyed", "group": "all", "window": 30}],
	"domain": {"class_threads": [1, 4], "cpu_of_kind": [8], "ram_of_kind_mb": [1024], "writes_tables": [false, true]},
	"host_types": ["a"], "failure_domains": ["a", "b"], "limits": {"max_open": 100, "conn_idle": 10,
	"dial_timeout": 1},
	"rules": {"look_back": 10, "extra_ratio": 0.1}, "tenants": [{"name": "t", "quota_per_s": 5, "share": 1}]}`

// threeMembers is the key "members" of a fleet of three.
const threeMembers = `"members": [{"name": "n1", "address": "127.0.0.1:1", "zone": "a"},
	{"name": "n2", "address": "127.0.0.1:2"}, {"name": "n3", "address": "127.0.0.1:3"}]`

// resultLine returns a line of a recorded file: the input, and the value or the error that it gives, with single spaces
// for white space.
func resultLine(input string, value any, err error) string {
	result := fmt.Sprint(value)
	if err != nil {
		result = fmt.Sprintf("error: %v", err)
	}
	return strings.Join(strings.Fields(input+" => "+result), " ")
}

// parsedSettings returns settings of a site.
func parsedSettings(t *testing.T, text string) *settings.Settings {
	t.Helper()
	site, err := settings.Parse([]byte(text))
	require.NoError(t, err)
	return site
}

// sectionLines returns the lines of a recorded file for sections that are the named key of an installation file. The
// lines of a section that can be decoded come from the function of lines.
func sectionLines(name string, sections []string, lines func(string, *Installation) []string) (all []string) {
	for _, section := range sections {
		file, err := ParseInstallation([]byte(`{"` + name + `": ` + section + `}`))
		if err != nil {
			all = append(all, resultLine(section, nil, err))
			continue
		}
		all = append(all, lines(section, file)...)
	}
	return all
}

// dereferenced returns what a pointer points to; nil if it is nil.
func dereferenced[T any](pointer *T) any {
	if pointer == nil {
		return nil
	}
	return *pointer
}
