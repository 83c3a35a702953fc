package settings

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/golden"
)

// fullObject sets every key that Parse reads.
const fullObject = `{"balancers": 3, "rank": 2, "zone": "a", "discovery": "ask", "over_share_worth": 0.5,
	"classes": [
		{"name": "read", "on_time": 1, "aim_stretch": 1.5, "give_up": 5, "worth": 2, "late_value": 0.25,
			"repeat": "safe", "by_arrival": true, "allowed_in": ["a"], "host_types_only": ["large"], "stream": true},
		{"name": "load", "on_time": 10, "give_up": 60, "repeat": "keyed", "group": "zone", "window": 30},
		{"name": "call", "repeat": "unsafe", "group": "cell"}],
	"domain": {"class_threads": [1, 4], "cpu_of_kind": [8], "ram_of_kind_mb": [1024], "grants": true,
		"lanes_count": true, "most_grant": 0.75, "note_period": 0.5, "tells_cost": true, "writes_tables": [false, true],
		"yields_to_loads": [true]},
	"host_types": ["large", "small"], "failure_domains": ["a", "b"],
	"limits": {"cancel": true, "probes": true, "may_duplicate": true, "retry_after": true, "max_attempts": 4,
		"max_retry_after": 2.5, "conn_idle": 10, "dial_timeout": 1, "max_open": 100},
	"report": {"how": "probe"},
	"rules": {"ask_within": 0.1, "cold": 7, "cold_from": 0.2, "fall": 3, "fall_multiple": 1.25, "drain_grace": 4,
		"answer_slack": 0.05, "settle_after_doubt": 6, "min_extra": 2, "extra_ratio": 0.1, "look_back": 10},
	"tariffs": {"probe": 0.5, "cross_zone": 0.01}, "tenants": [{"name": "t", "quota_per_s": 5, "share": 1}]}`

func TestParseGivesRecordedSettings(t *testing.T) {
	var lines []string
	for _, object := range []string{
		fullObject,
		`{}`,
		`{"report": {"how": "answers"}, "rules": {"look_back": 1}}`,
		`{"rules": {"min_extra": 2, "extra_ratio": 0.1}}`,
	} {
		s, err := Parse([]byte(object))
		require.NoError(t, err)
		lines = append(lines, fmt.Sprintf("%v", *s))
	}
	golden.Lines(t, "testdata/settings.golden", lines)
}

func TestParseErrorsNameTheKey(t *testing.T) {
	for object, want := range map[string]string{
		`5`: "json: cannot unmarshal number into Go value of type settings.object",
		`{"classes": [{"on_time": "x"}]}`: "json: cannot unmarshal string into Go struct field " +
			".classes.on_time of type float64",
		`{"classes": [{"name": "r"}]}`:                                    `class "r": unknown repeat ""`,
		`{"classes": [{"repeat": "ever"}]}`:                               `class "": unknown repeat "ever"`,
		`{"classes": [{"name": "r", "repeat": "safe", "group": "town"}]}`: `class "r": unknown group "town"`,
	} {
		_, err := Parse([]byte(object))
		assert.EqualError(t, err, want)
	}
}

func TestClassNamesKeepTheirOrder(t *testing.T) {
	s, err := Parse([]byte(fullObject))
	require.NoError(t, err)
	assert.Equal(t, []string{"read", "load", "call"}, s.ClassNames())
	assert.Equal(t, map[string]int{"read": 0, "load": 1, "call": 2}, s.ClassIndex)
	assert.Equal(t, map[string]int{"t": 0}, s.TenantIndex)
}

func TestErrorsOfClassesAreClassErrors(t *testing.T) {
	_, err := Parse([]byte(`{"classes": [{"name": "r", "repeat": "safe", "group": "town"}]}`))
	var classError *ClassError
	require.ErrorAs(t, err, &classError)
	assert.Equal(t, ClassError{Class: "r", Key: "group", Value: "town"}, *classError)
}
