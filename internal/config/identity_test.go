package config

import (
	"testing"

	"chutechute/internal/golden"
)

// issuers has the keys "issuers" and "callers", with one element each.
const issuers = `"issuers": [{"name": "i", "audiences": ["us"], "keys": "/keys"}], "callers": [{"name": "c",
	"issuer": "i", "subject": "s", "tenant": "t"}]`

var identitySections = []string{
	`{}`,
	`{"enabled": true, ` + issuers + `}`,
	`{"enabled": true, ` + issuers + `, "leeway_s": 5, "watch_s": 2, "revoked": "/revoked",
		"rights": [{"effect": "allow", "callers": ["c"], "classes": ["read"], "groups": ["3", "10-19"]},
		{"effect": "deny", "callers": ["c"]}],
		"ceilings": [{"callers": ["c"], "rate": 5, "burst": 6, "open": 7}],
		"limits": {"token_bytes": 2048, "cache_tokens": 100, "checks_per_s": 1, "checks_per_address_per_s": 2,
		"addresses": 3, "audit_per_s": 4}}`,
	`{"enabled": true}`,
	`{"enabled": true, ` + issuers + `, "watch_s": -1}`, `{"enabled": true, ` + issuers + `, "watch_s": 61}`,
	`{"enabled": true, ` + issuers + `, "leeway_s": 1e6}`,
	`{"enabled": true, "issuers": [{"name": "i", "audiences": ["us"]}]}`,
	`{"enabled": true, "issuers": [{"keys": "/keys"}]}`,
	`{"enabled": true, "issuers": [{"name": "i", "keys": "/keys"}]}`,
	`{"enabled": true, "callers": [{"name": "c", "tenant": "nobody"}]}`,
	`{"enabled": true, "callers": [{"name": "c", "issuer": "j"}]}`,
	`{"enabled": true, ` + issuers + `, "rights": [{"effect": "ask"}]}`,
	`{"enabled": true, ` + issuers + `, "rights": [{"effect": "allow"}]}`,
	`{"enabled": true, ` + issuers + `, "rights": [{"effect": "allow", "callers": ["c"], "groups": ["x"]}]}`,
	`{"enabled": true, ` + issuers + `, "rights": [{"effect": "allow", "callers": ["c"], "groups": ["1-x"]}]}`,
	`{"enabled": true, ` + issuers + `, "rights": [{"effect": "allow", "callers": ["c"], "groups": ["9-3"]}]}`,
	`{"enabled": true, ` + issuers + `, "rights": [{"effect": "allow", "callers": ["c"], "classes": ["none"]}]}`,
	`{"enabled": true, ` + issuers + `, "ceilings": [{"callers": ["c"], "rate": -1}]}`,
	`{"enabled": true, ` + issuers + `, "limits": {"token_bytes": -1}}`,
	`{"enabled": true, ` + issuers + `, "limits": {"addresses": -1}}`,
	`{"more": 1}`,
}

func TestIdentitySectionGivesRecordedResults(t *testing.T) {
	site := parsedSettings(t, keyedSettings)
	recorded := sectionLines("identity", identitySections, func(section string, file *Installation) []string {
		options, err := file.Identity.Options(site)
		return []string{resultLine(section, []any{dereferenced(options), file.Identity.WatchInterval()}, err)}
	})
	golden.Lines(t, "testdata/identity.golden", recorded)
}
