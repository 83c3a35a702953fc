package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/golden"
	"chutechute/internal/settings"
	"chutechute/internal/standin"
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
	"host_types": ["a"], "failure_domains": ["a", "b"], "limits": {"max_open": 100, "conn_idle": 10, "dial_timeout": 1},
	"rules": {"look_back": 10, "extra_ratio": 0.1}, "tenants": [{"name": "t", "quota_per_s": 5, "share": 1}]}`

// resultLine is one line of a recorded file: the input, and the value or the error that it gives.
func resultLine(input string, value any, err error) string {
	if err != nil {
		return fmt.Sprintf("%s => error: %v", input, err)
	}
	return fmt.Sprintf("%s => %v", input, value)
}

// withoutPointers is what a section of the fleet gives with all that it points to.
func withoutPointers(peers *Peers) any {
	if peers == nil {
		return nil
	}
	flat := *peers
	values := []any{}
	if flat.Budgets != nil {
		values = append(values, *flat.Budgets)
	}
	if flat.Attached != nil {
		values = append(values, *flat.Attached)
	}
	flat.Budgets, flat.Attached = nil, nil
	return append([]any{flat}, values...)
}

const threeMembers = `"members": [{"name": "n1", "address": "127.0.0.1:1", "zone": "a"},
	{"name": "n2", "address": "127.0.0.1:2"}, {"name": "n3", "address": "127.0.0.1:3"}]`

// fleetResult reads a section of the fleet as the named front end does.
func fleetResult(t *testing.T, name, section, siteSettings string) string {
	t.Helper()
	site, err := settings.Parse([]byte(siteSettings))
	require.NoError(t, err)
	input := name + " " + section
	section = strings.ReplaceAll(section, "THREE", threeMembers)
	file, err := ParseInstallation([]byte(`{"fleet": ` + section + `}`))
	if err != nil {
		return resultLine(input, nil, err)
	}
	peers, err := file.Fleet.Options(name, site, testMemoryMB)
	return resultLine(input, withoutPointers(peers), err)
}

func TestFleetSectionGivesRecordedResults(t *testing.T) {
	const on = `{"enabled": true, "site": "x", THREE`
	var lines []string
	for _, c := range []struct{ name, section string }{
		{"n1", `{}`},
		{"n1", on + `}`},
		{"n2", on + `, "folder": "/disk/{name}", "admin": "/{name}.sock", "copies": 1, "ledger_mb": 2, "keep_s": 200, "orphan_s": 5,
			"tick_ms": 100, "beat_ms": 200, "suspect_ms": 700, "dead_ms": 2000, "replace_s": 20}`},
		{"x1", on + `, "zone": "b", "attached": {"enabled": true}}`},
		{"n1", on + `, "zone": "a", "attached": {"enabled": true, "heartbeat_ms": 500, "suspect_ms": 1500, "dead_ms": 5000, "most": 16384}}`},
		{"n1", `{"enabled": true, THREE}`},
		{"n1", `{"enabled": true, "site": "x"}`},
		{"x1", `{"enabled": true, "site": "x", "attached": {"enabled": true, "most": 5}}`},
		{"n1", `{"enabled": true, "site": "x", "members": [{"address": "127.0.0.1:1"}]}`},
		{"n1", `{"enabled": true, "site": "x", "members": [{"name": "n1", "address": "127.0.0.1:1"}, {"name": "n1", "address": "127.0.0.1:2"}]}`},
		{"n1", `{"enabled": true, "site": "x", "members": [{"name": "n1", "address": "somewhere"}]}`},
		{"n1", `{"enabled": true, "site": "x", "members": [{"name": "n1", "address": "127.0.0.1:0"}]}`},
		{"n1", `{"enabled": true, "site": "x", "members": [{"name": "n1", "address": "[::1]:1"}]}`},
		{"n1", `{"enabled": true, "site": "x", "members": [{"name": "n1", "address": "10.0.0.1:1"}]}`},
		{"n1", `{"enabled": true, "site": "x", "members": [{"name": "n1", "address": "127.0.0.1:1"}, {"name": "n2", "address": "127.0.0.1:2"}]}`},
		{"n9", on + `}`},
		{"n1", on + `, "copies": 2}`},
		{"n1", on + `, "copies": -1}`},
		{"n1", on + `, "copies": 5}`},
		{"n1", on + `, "secret_file": "/does/not/exist"}`},
		{"n1", on + `, "ledger_mb": 0.5}`},
		{"n1", on + `, "ledger_mb": 30}`},
		{"x1", on + `, "ledger_mb": 30, "attached": {"enabled": true}}`},
		{"n1", on + `, "tick_ms": -1, "beat_ms": -1}`},
		{"n1", on + `, "tick_ms": 0.5}`},
		{"n1", on + `, "beat_ms": -2}`},
		{"n1", on + `, "suspect_ms": -3}`},
		{"n1", on + `, "dead_ms": -4}`},
		{"n1", on + `, "replace_s": -5}`},
		{"n1", on + `, "orphan_s": -6}`},
		{"n1", on + `, "keep_s": -7}`},
		{"n1", on + `, "tick_ms": 1001}`},
		{"n1", on + `, "beat_ms": 400}`},
		{"n1", on + `, "dead_ms": 1000}`},
		{"n1", on + `, "replace_s": 2}`},
		{"n1", on + `, "keep_s": 89}`},
		{"n1", on + `, "more": 1}`},
		{"n1", on + `, "copies": "three"}`},
		{"n1", on + `, "attached": {"enabled": true, "more": 1}}`},
		{"n1", on + `, "zone": "a"}`},
		{"n1", on + `, "zone": "b", "attached": {"enabled": true}}`},
		{"x1", on + `, "zone": "` + strings.Repeat("z", 65) + `", "attached": {"enabled": true}}`},
		{"x 1", on + `, "attached": {"enabled": true}}`},
		{"x1", on + `, "orphan_s": 3, "attached": {"enabled": true}}`},
		{"x1", on + `, "budgets": {"version": 1}, "attached": {"enabled": true}}`},
		{"x1", on + `, "attached": {"enabled": true, "heartbeat_ms": 100}}`},
		{"x1", on + `, "attached": {"enabled": true, "heartbeat_ms": 10001}}`},
		{"x1", on + `, "attached": {"enabled": true, "suspect_ms": 1999}}`},
		{"x1", on + `, "attached": {"enabled": true, "dead_ms": 3000}}`},
		{"x1", on + `, "attached": {"enabled": true, "dead_ms": 120001}}`},
		{"x1", on + `, "attached": {"enabled": true, "most": 3}}`},
		{"x1", on + `, "attached": {"enabled": true, "most": 16385}}`},
		{"n1", `{"enabled": true, "site": "x", "attached": {"enabled": true}, "members": [{"name": "n1", "address": "127.0.0.1:1", "zone": "` +
			strings.Repeat("z", 65) + `"}]}`},
	} {
		lines = append(lines, oneLine(fleetResult(t, c.name, c.section, keyedSettings)))
	}
	golden.Lines(t, "testdata/fleet.golden", lines)
}

// oneLine has a single space for each run of white space.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

func TestBudgetsSectionGivesRecordedResults(t *testing.T) {
	var lines []string
	for _, list := range []string{
		`null`,
		`{"version": 1}`,
		`{"version": 2, "lease_ms": 3000, "most": 6}`,
		`{}`,
		`{"version": 1, "lease_ms": 299}`,
		`{"version": 1, "lease_ms": 60001}`,
		`{"version": 1, "lease_ms": 350}`,
		`{"version": 1, "most": 2}`,
		`{"version": 1, "most": 801}`,
		`{"version": 1, "list": [` + strings.Repeat(`{"name": "a"},`, 256) + `{"name": "a"}]}`,
		`{"version": 1, "more": 1}`,
		`{"version": 1, "list": [{"name": "a", "places": 5}, {"name": "a", "total": 5, "window_ms": 100}]}`,
		`{"version": 1, "list": [{"name": "z", "rate": 5, "burst": 9, "weights": {"n2": 2, "n1": 0.5}}, {"name": "b", "places": 5}]}`,
	} {
		lines = append(lines, budgetsLine(t, list))
	}
	for _, budget := range []string{
		`"rate": 50, "burst": 25, "tenant": "t"`,
		`"rate": 50, "burst": 25, "tenant": "*", "unit": "threads", "class": "read"`,
		`"rate": 50, "burst": 25, "tenant": "*", "unit": "threads", "class": "load"`,
		`"rate": 50, "burst": 25, "further": true, "share": 0.1, "without": "none"`,
		`"rate": 50, "burst": 25, "probes": true, "without": "reserve", "reserve": 0, "newcomers": 0, "floor": 0.1`,
		`"rate": 50, "burst": 25, "tenant": "t", "over": "last"`,
		`"places": 5`,
		`"places": 5, "class": "read"`,
		`"places": 5, "life_s": 90`,
		`"places": 5, "life_s": 59`,
		`"total": 9000, "window_ms": 1000, "unit": "work", "engine": "*", "cold": true`,
		`"rate": -1`, `"burst": -1`, `"places": -1`, `"total": -1`, `"window_ms": -1`, `"life_s": -1`, `"rate": 1e10`,
		`"rate": 5, "burst": 9, "weights": {"n7": 2}`,
		`"rate": 5, "burst": 9, "weights": {"n1": 0}`,
		`"rate": 5, "burst": 9, "weights": {"n1": 1001}`,
		`"rate": 5, "burst": 9, "name": ""`,
		`"rate": 5, "burst": 9, "name": "` + strings.Repeat("n", 65) + `"`,
		``,
		`"rate": 5, "places": 3, "total": 3`,
		`"total": 5`, `"total": 5, "window_ms": 99`, `"total": 5, "window_ms": 3600001`,
		`"rate": 5, "burst": 9, "window_ms": 500`,
		`"rate": 5, "burst": 2`,
		`"places": 5, "over": "last"`,
		`"rate": 5, "burst": 9, "without": "all"`,
		`"rate": 5, "burst": 99, "reserve": 0.8, "floor": 0.1`,
		`"places": 5, "reserve": -0.1`, `"places": 5, "newcomers": -0.1`, `"places": 5, "floor": -0.1`,
		`"rate": 5, "burst": 9, "tenant": "nobody"`, `"rate": 5, "burst": 9, "class": "nothing"`,
		`"rate": 5, "burst": 9, "engine": "s-1"`, `"rate": 5, "burst": 9, "engine_kind": "z"`,
		`"rate": 5, "burst": 9, "engine_kind": "a"`, `"rate": 5, "burst": 9, "cold": true`,
		`"rate": 5, "burst": 9, "over": "drop"`, `"rate": 5, "burst": 9, "unit": "cups"`,
		`"rate": 5, "burst": 9, "share": 0.1`, `"rate": 5, "burst": 9, "probes": true, "class": "read"`,
		`"rate": 5, "burst": 9, "engine": "*", "tenant": "*"`, `"rate": 5, "burst": 9, "quota": 1`,
	} {
		name := `"name": "a"`
		if strings.Contains(budget, `"name"`) {
			name = `"floor": 0`
		}
		lines = append(lines, budgetsLine(t, `{"version": 1, "list": [{`+strings.TrimSuffix(name+", "+budget, ", ")+`}]}`))
	}
	golden.Lines(t, "testdata/budgets.golden", lines)
}

func budgetsLine(t *testing.T, budgets string) string {
	t.Helper()
	return oneLine(fleetResult(t, "n1", `{"enabled": true, "site": "x", THREE, "budgets": `+budgets+`}`, keyedSettings))
}

func TestStatementSectionGivesRecordedResults(t *testing.T) {
	site, err := settings.Parse([]byte(keyedSettings))
	require.NoError(t, err)
	lines := []string{resultLine("classes", Classes(site), nil)}
	for _, section := range []string{
		`{}`,
		`{"enabled": true}`,
		`{"enabled": true, "unparsed": "fail", "cache_mb": 1, "max_bytes": 1000, "max_depth": 10, "effects": ["nextval"],
			"tables": {"Big": {"rows": 1000000, "mb": 64}},
			"rules": [{"class": "load", "verbs": ["insert"], "tables": ["big"], "cost_ms": 5, "threads": 2}]}`,
		`{"enabled": true, "unparsed": "once", "unparsed_class": "load"}`,
		`{"enabled": true, "unparsed": "once"}`,
		`{"enabled": true, "unparsed": "once", "unparsed_class": "none"}`,
		`{"enabled": true, "unparsed": "twice"}`,
		`{"enabled": true, "cache_mb": -1}`, `{"enabled": true, "cache_mb": 0.05}`, `{"enabled": true, "cache_mb": 25}`,
		`{"enabled": true, "max_bytes": -1}`, `{"enabled": true, "max_bytes": 262145}`,
		`{"enabled": true, "max_depth": -1}`, `{"enabled": true, "max_depth": 1001}`,
		`{"enabled": true, "tables": {"a": {"rows": -1}}}`, `{"enabled": true, "tables": {"a": {"mb": -1}}}`,
		`{"enabled": true, "rules": [{"class": "none"}]}`,
		`{"enabled": true, "rules": [{"class": "load", "verbs": ["juggle"]}]}`,
		`{"enabled": true, "rules": [{"class": "load", "cost_ms": -1}]}`,
		`{"enabled": true, "more": 1}`,
	} {
		file, err := ParseInstallation([]byte(`{"statement": ` + section + `}`))
		if err != nil {
			lines = append(lines, oneLine(resultLine(section, nil, err)))
			continue
		}
		options, err := file.Statement.optionsWithin(Classes(site), testMemoryMB)
		var value any
		if options != nil {
			value = *options
		}
		lines = append(lines, oneLine(resultLine(section, value, err)))
		lines = append(lines, resultLine("classes of its rules", file.Statement.RuleClasses(), nil))
	}
	golden.Lines(t, "testdata/statement.golden", lines)
}

func TestIdentitySectionGivesRecordedResults(t *testing.T) {
	const issuers = `"issuers": [{"name": "i", "audiences": ["us"], "keys": "/keys"}], "callers": [{"name": "c", "issuer": "i", "subject": "s", "tenant": "t"}]`
	site, err := settings.Parse([]byte(keyedSettings))
	require.NoError(t, err)
	var lines []string
	for _, section := range []string{
		`{}`,
		`{"enabled": true, ` + issuers + `}`,
		`{"enabled": true, ` + issuers + `, "leeway_s": 5, "watch_s": 2, "revoked": "/revoked",
			"rights": [{"effect": "allow", "callers": ["c"], "classes": ["read"], "groups": ["3", "10-19"]}, {"effect": "deny", "callers": ["c"]}],
			"ceilings": [{"callers": ["c"], "rate": 5, "burst": 6, "open": 7}],
			"limits": {"token_bytes": 2048, "cache_tokens": 100, "checks_per_s": 1, "checks_per_address_per_s": 2, "addresses": 3, "audit_per_s": 4}}`,
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
	} {
		file, err := ParseInstallation([]byte(`{"identity": ` + section + `}`))
		if err != nil {
			lines = append(lines, oneLine(resultLine(section, nil, err)))
			continue
		}
		options, err := file.Identity.Options(site)
		var value any
		if options != nil {
			value = *options
		}
		lines = append(lines, oneLine(resultLine(section, []any{value, file.Identity.Every()}, err)))
	}
	golden.Lines(t, "testdata/identity.golden", lines)
}

func TestTLSSectionGivesRecordedResults(t *testing.T) {
	const pair = `"certificates": [{"certificate": "/c", "key": "/k"}]`
	var lines []string
	for _, section := range []string{
		`{}`,
		`{"enabled": true, ` + pair + `}`,
		`{"enabled": true, ` + pair + `, "client_auth": "require", "client_cas": ["/ca"], "crls": ["/crl"], "stale_crl": "accept",
			"min_version": "1.2", "alpn": ["h2"], "handshakes": {"pending": 3, "share": 0.5}, "warn_days": 3}`,
		`{"engines": {"enabled": true, "cas": ["/ca"], "name": "{id}.x"}}`,
		`{"engines": {"enabled": true, "cas": ["/ca"], "name": "{id}.x", "certificate": {"certificate": "/c", "key": "/k"}}}`,
		`{"engines": {"enabled": true, "name": "{id}.x"}}`,
		`{"engines": {"enabled": true, "cas": ["/ca"]}}`,
		`{"engines": {"enabled": true, "cas": ["/ca"], "name": "{id}.x", "certificate": {"key": "/k"}}}`,
		`{"enabled": true}`,
		`{"enabled": true, "certificates": [{"certificate": "/c"}]}`,
		`{"enabled": true, "certificates": [{"certificate": "/c", "key": "/k"}, {"key": "/k"}]}`,
		`{"certificates": [{"certificate": "/c"}]}`,
		`{"enabled": true, ` + pair + `, "client_auth": "maybe"}`,
		`{"enabled": true, ` + pair + `, "min_version": "1.1"}`,
		`{"enabled": true, ` + pair + `, "client_auth": "request"}`,
		`{"enabled": true, ` + pair + `, "crls": ["/crl"]}`,
		`{"enabled": true, ` + pair + `, "stale_crl": "ignore"}`,
		`{"enabled": true, ` + pair + `, "handshakes": {"pending": -1}}`,
		`{"enabled": true, ` + pair + `, "handshakes": {"share": -1}}`,
		`{"enabled": true, ` + pair + `, "handshakes": {"share": 1.5}}`,
		`{"more": 1}`,
	} {
		file, err := ParseInstallation([]byte(`{"tls": ` + section + `}`))
		if err != nil {
			lines = append(lines, oneLine(resultLine(section, nil, err)))
			continue
		}
		files, err := file.TLS.Files()
		var value []any
		if files != nil {
			flat := *files
			if flat.EnginePair != nil {
				value = append(value, *flat.EnginePair)
			}
			flat.EnginePair = nil
			value = append(value, flat)
		}
		pending, share := file.TLS.Bounds()
		value = append(value, pending, share, file.TLS.Warn())
		lines = append(lines, oneLine(resultLine(section, value, err)))
	}
	golden.Lines(t, "testdata/tls.golden", lines)
}

func TestNodeConfigurationGivesRecordedResults(t *testing.T) {
	const whole = `"name": "n1", "listen": "10.0.0.4:1", "journal": "10.0.0.5:2", "seed": "8c1f30d27a5be964"`
	withClasses := func(classes string) string {
		return `{` + whole + `, "settings": {"balancers": 1, "host_types": ["a"], "failure_domains": ["a"], "classes": [` + classes + `]}}`
	}
	const class = `{"name": "r", "on_time": 1, "give_up": 2, "repeat": "safe"}`
	var lines []string
	for _, text := range []string{
		`{` + whole + `, "settings": ` + keyedSettings + `}`,
		`{` + whole + `, "limits": {"memory_mb": 1024.5, "sockets": 100}, "known": {"pos": 7, "entries": []}, "settings": ` + keyedSettings + `}`,
		withClasses(class),
		`{`, `{"name": 1}`, `{"limits": {"sockets": "many"}}`,
		`{"listen": "x"}`, `{"listen": "[::1]:1"}`, `{"listen": "10.0.0.4:1", "journal": "x"}`,
		`{"listen": "10.0.0.4:1", "journal": "10.0.0.5:2", "seed": "xyz"}`,
		`{` + whole + `, "limits": {"memory_mb": -1}}`, `{` + whole + `, "limits": {"sockets": -1}}`,
		`{` + whole + `, "limits": {"sockets": 63}}`, `{` + whole + `, "limits": {"memory_mb": 15}}`,
		`{` + whole + `}`, `{` + whole + `, "settings": 5}`, `{` + whole + `, "settings": {"classes": [{"on_time": "x"}]}}`,
		`{` + whole + `, "settings": {"classes": [{"name": "r", "repeat": "maybe"}]}}`,
		`{` + whole + `, "settings": {"classes": [{"name": "r", "repeat": "safe", "group": "town"}]}}`,
		`{` + whole + `, "settings": {}}`, `{` + whole + `, "settings": {"balancers": 1}}`,
		`{` + whole + `, "settings": {"balancers": 1, "classes": [` + class + `]}}`,
		`{` + whole + `, "settings": {"balancers": 1, "classes": [` + class + `], "host_types": ["a"]}}`,
		withClasses(`{"name": "r", "give_up": 2, "repeat": "safe"}`), withClasses(`{"name": "r", "on_time": 2, "repeat": "safe"}`),
		withClasses(class + ", " + class), withClasses(`{"name": "r", "on_time": 1, "give_up": 2, "repeat": "keyed"}`),
		`{` + whole + `, "settings": {"balancers": 1, "host_types": ["a"], "failure_domains": ["a"], "classes": [` + class + `],
			"tenants": [{"name": "t"}, {"name": "t"}]}}`,
		`{` + whole + `, "settings": {"balancers": 1, "host_types": ["a"], "failure_domains": ["a"], "classes": [` + class + `],
			"rules": {"cold_from": 2}}}`,
		`{` + whole + `, "known": {"pos": 7, "entries": [{"pos": 7, "hosts": {"targets": [{"uid": "s-1", "endpoint": "x"}]}}]}, "settings": ` + keyedSettings + `}`,
	} {
		c, err := Parse([]byte(text), "", "")
		var value any
		if err == nil {
			value = []any{c.Name, c.Listen, c.Journal, c.Seed, c.MemoryMB, c.Sockets, *c.Settings, c.Known, c.LastPos,
				string(c.settings), c.BufferBytes(), c.Bounds(), c.HeapLimit()}
		}
		lines = append(lines, oneLine(resultLine(text, value, err)))
	}
	golden.Lines(t, "testdata/node.golden", lines)
}

// writeInstallation writes an installation into a folder of the test.
func writeInstallation(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "installation.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestPathsAreRelativeToTheInstallationFile(t *testing.T) {
	path := writeInstallation(t, `{"identity": {"revoked": "r", "issuers": [{"keys": "k"}]},
		"tls": {"certificates": [{"certificate": "c", "key": "/k"}], "client_cas": ["ca"], "crls": ["crl"],
			"engines": {"cas": ["eca"], "certificate": {"certificate": "ec", "key": "ek"}}},
		"fleet": {"folder": "f", "admin": "/a", "secret_file": "s"}}`)
	file, err := ReadInstallation(path)
	require.NoError(t, err)
	in := func(name string) string { return filepath.Join(filepath.Dir(path), name) }
	assert.Equal(t, []string{in("r"), in("k")}, []string{file.Identity.Revoked, file.Identity.Issuers[0].Keys})
	assert.Equal(t, []TLSCertificate{{Certificate: in("c"), Key: "/k"}}, file.TLS.Certificates)
	assert.Equal(t, [][]string{{in("ca")}, {in("crl")}, {in("eca")}}, [][]string{file.TLS.ClientCAs, file.TLS.CRLs, file.TLS.Engines.CAs})
	assert.Equal(t, TLSCertificate{Certificate: in("ec"), Key: in("ek")}, file.TLS.Engines.Certificate)
	assert.Equal(t, []string{in("f"), "/a", in("s")}, []string{file.Fleet.Folder, file.Fleet.Admin, file.Fleet.SecretFile})
}

func TestSecretFileHasAtLeast16Bytes(t *testing.T) {
	site, err := settings.Parse([]byte(standin.Settings))
	require.NoError(t, err)
	for text, want := range map[string]string{" 0123456789abcdef\n": "", "0123456789abcde\n\n": "holds fewer than 16 bytes"} {
		secret := filepath.Join(t.TempDir(), "secret")
		require.NoError(t, os.WriteFile(secret, []byte(text), 0o600))
		f := Fleet{Enabled: true, Site: "x", Members: []FleetMember{{Name: "n1", Address: "127.0.0.1:1"}}, SecretFile: secret}
		peers, err := f.Options("n1", site, testMemoryMB)
		if want != "" {
			assert.EqualError(t, err, "installation: fleet.secret_file: "+secret+" "+want)
			continue
		}
		require.NoError(t, err)
		assert.Equal(t, strings.TrimSpace(text), string(peers.Secret))
	}
}

// writeNodeConfig writes a node's configuration and gives the environment that names it.
func writeNodeConfig(t *testing.T) (getenv func(string) string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text := `{"name": "n1", "listen": "10.0.0.4:1", "journal": "10.0.0.5:2", "seed": "1", "settings": ` + keyedSettings + `}`
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return func(key string) string { return map[string]string{"NODE_CONFIG": path, "NODE_NAME": "n2"}[key] }
}

func TestLoadNamesTheFaultyKeyOfEachSection(t *testing.T) {
	_, err := Load(func(string) string { return "" }, "")
	assert.EqualError(t, err, "config: NODE_CONFIG is not set")
	_, err = Load(func(string) string { return "/does/not/exist" }, "")
	assert.EqualError(t, err, "config: NODE_CONFIG: open /does/not/exist: no such file or directory")
	getenv := writeNodeConfig(t)
	_, err = Load(getenv, "/does/not/exist.json")
	assert.EqualError(t, err, "installation: open /does/not/exist.json: no such file or directory")
	for installation, want := range map[string]string{
		`5`: "installation: not an object: json: cannot unmarshal number into Go value of type map[string]interface {}",
		`{"statement": {"enabled": true, "max_depth": -1}}`: "installation: statement.max_depth: -1 is not from 0 to 1000",
		`{"identity": {"enabled": true}}`:                   "installation: identity.callers: missing",
		`{"fleet": {"enabled": true}}`:                      "installation: fleet.site: missing",
		`{"tls": {"enabled": true}}`:                        "installation: tls.certificates: missing",
		`{"tls": {"engines": {"enabled": true}}}`:           "installation: tls.engines.cas: missing",
	} {
		_, err := Load(getenv, writeInstallation(t, installation))
		assert.EqualError(t, err, want)
	}
}

func TestReloadKeepsWhatTakesEffectAtAStartOnly(t *testing.T) {
	getenv := writeNodeConfig(t)
	first, err := Load(getenv, writeInstallation(t, `{}`))
	require.NoError(t, err)
	assert.Equal(t, "n2", first.Name)
	assert.Equal(t, &TLS{}, first.TLS())
	assert.Equal(t, &Identity{}, first.Identity())
	next, err := Load(getenv, writeInstallation(t, `{"statement": {"enabled": true}, "tls": {"warn_days": 5}}`))
	require.NoError(t, err)
	next.Name, next.Seed, next.Listen, next.MemoryMB, next.Sockets = "n3", 5, next.Journal, 100, 200
	next.settings = nil
	_, err = first.Rebase(next)
	require.NoError(t, err)
	assert.Equal(t, []string{"listen", "name", "seed", "settings"}, first.Fixed(next))
	now := first.With(next)
	assert.Equal(t, []any{"n2", first.Seed, first.Listen, 100, 200}, []any{now.Name, now.Seed, now.Listen, now.MemoryMB, now.Sockets})
	assert.NotNil(t, now.Statements)
	assert.InDelta(t, 5, now.TLS().WarnDays, 0)
	assert.Empty(t, first.Fixed(now))
}
