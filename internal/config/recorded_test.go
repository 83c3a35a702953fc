package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/settings"
)

// The golden files under testdata have the results of reading sections, without the names of Go fields. A renamed field
// does not change them, but a changed value, default, digest or error message does.

// testMemoryMB is the front end's memory in these tests.
const testMemoryMB = 192

// keyedSettings has a class whose requests have idempotency keys, and a tenant.
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

// resultLine returns a line of a golden file: the input and the resulting value or error, with all white space reduced
// to single spaces.
func resultLine(input string, value any, err error) string {
	result := fmt.Sprint(value)
	if err != nil {
		result = fmt.Sprintf("error: %v", err)
	}
	return strings.Join(strings.Fields(input+" => "+result), " ")
}

// parsedSettings parses the settings of a site.
func parsedSettings(t *testing.T, text string) *settings.Settings {
	t.Helper()
	site, err := settings.Parse([]byte(text))
	require.NoError(t, err)
	return site
}

// sectionLines returns the lines of a golden file for values of the named section of an installation file. It calls
// lines for each section that can be decoded.
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

// dereferenced returns the value that a pointer points to, or nil.
func dereferenced[T any](pointer *T) any {
	if pointer == nil {
		return nil
	}
	return *pointer
}
