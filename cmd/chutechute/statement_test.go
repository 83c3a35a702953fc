package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// classRules are the rules of most tests: reports are queries of stats tables, and those estimated above 900 ms.
const classRules = `[{ class: 'report', tables: ['stats_*'] }, { class: 'lookup', cost_ms: 900 }, ` +
	`{ class: 'report' }, { class: 'load' }]`

// withInstallation writes an installation file with the statement section's members, has the process use it, and adds
// the class report to the settings.
func withInstallation(t *testing.T, path, statement string) func(*testharness.Harness) {
	writeStatementSection(t, path, statement)
	return func(r *testharness.Harness) {
		r.Args = []string{"serve", "--installation", path, "--log-level", "debug"}
		classes := r.Settings["classes"].([]any)
		r.Settings["classes"] = append(classes,
			map[string]any{"name": "report", "on_time": 4.0, "aim_stretch": 2.5, "give_up": 25.0,
				"worth": 7.5, "repeat": "safe", "group": "all", "window": 5.0})
		domain := r.Settings["domain"].(map[string]any)
		domain["class_threads"] = []any{1, 2, 3}
		domain["writes_tables"], domain["yields_to_loads"] = []any{false, true, false}, []any{true, false, true}
	}
}

// writeStatementSection writes an installation file with the statement section enabled and the given members in it.
func writeStatementSection(t *testing.T, path, statement string) {
	text := fmt.Sprintf("{ statement: { enabled: true, %s } }", statement)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

// installationPath returns the path of an installation file in a new folder.
func installationPath(t *testing.T) string { return filepath.Join(t.TempDir(), "installation.jsonnet") }

// sendWithoutClass sends a request without a class or estimated work, and returns its sequence number.
func sendWithoutClass(c *testharness.Client, n int, statement string, fields ...string) int32 {
	return c.SendRequest(statement,
		append([]string{"call", testharness.RequestID(n), "ttl", "9000", "org", "t"}, fields...)...)
}

// Requests without a class get the class that the rules assign to their statement.
func TestStatementsWithoutClass(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow),
		withInstallation(t, installationPath(t), "rules: "+classRules))
	c := r.NewClient()
	for i, one := range []struct{ text, kind string }{
		{"SELECT * FROM ops_7.flights WHERE id = 3", "lookup"},
		{"SELECT gate, sum(n) FROM stats_2.daily GROUP BY gate", "report"},
		{"INSERT INTO ops_7.flights VALUES (1)", "load"},
		{"WITH d AS (DELETE FROM ops_7.old RETURNING *) SELECT * FROM d", "load"},
	} {
		sendWithoutClass(c, i, one.text)
		assert.Equal(t, "answer", c.ReadReply().Kind, one.text)
		post := r.Requests("POST", "/")[i]
		assert.Equal(t, []string{one.kind, one.text, testharness.RequestID(i)}, []string{post.Header.Get("Kind"), post.Body,
			post.Header.Get("Request-Id")})
	}
	// A class that the client names takes precedence over the rules.
	sendWithoutClass(c, 9, "SELECT * FROM ops_7.flights WHERE id = 3", "op", "report")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Equal(t, "report", r.Requests("POST", "/")[4].Header.Get("Kind"))
	// An unknown class is rejected, whatever the statement.
	sendWithoutClass(c, 10, "SELECT 1", "op", "none")
	assert.Equal(t, "exception", c.ReadReply().Kind)
}

// Without an installation file requests without a class are rejected.
func TestStatementsWithoutClassAreRejectedByDefault(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	c := r.NewClient()
	sendWithoutClass(c, 1, "SELECT * FROM ops_7.flights")
	p := c.ReadReply()
	assert.Equal(t, "exception", p.Kind)
	assert.Contains(t, p.Payload, "unknown class")
	assert.Empty(t, r.Requests("POST", "/"))
}

// closeConnOnStart returns a handler that closes the connection when a start has arrived, and responds to polls that it
// doesn't know the query.
func closeConnOnStart(t *testing.T) testharness.EngineHandler {
	return func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch c.Method {
		case "POST":
			testharness.RespondRaw(w, "", true)
		case "DELETE":
			w.WriteHeader(204)
		default:
			w.WriteHeader(500)
		}
	}
}

// A load without an idempotency key whose connection is closed is sent once and gets one response, even if the client
// names an idempotent class. A load with an idempotency key is retried.
func TestLoadWithoutClassRunsOnce(t *testing.T) {
	r := start(t, 3, closeConnOnStart(t), withInstallation(t, installationPath(t), "rules: "+classRules))
	c := r.NewClient()
	for i, one := range []struct {
		text   string
		fields []string
		posts  int
	}{
		{"INSERT INTO ops_7.flights VALUES (1)", nil, 1},
		{"INSERT INTO ops_7.flights VALUES (2)", []string{"op", "load", "row", "k"}, 1},
		{"INSERT INTO ops_7.flights VALUES (3)", []string{"op", "lookup"}, 1},
		{"SELECT nextval('s') FROM ops_7.t FOR UPDATE", nil, 1},
		{"DELETE FROM ops_7.t", []string{"op", "load", "dedupe", "d1"}, 2},
	} {
		before := len(r.Requests("POST", "/"))
		sendWithoutClass(c, i, one.text, one.fields...)
		p := c.ReadReply()
		assert.Contains(t, []string{"fault", "shed"}, p.Kind, one.text)
		if one.posts == 1 {
			assert.Equal(t, "fault", p.Kind, "%s: it may have run", one.text)
			assert.Equal(t, before+1, len(r.Requests("POST", "/")), one.text)
		} else {
			assert.GreaterOrEqual(t, len(r.Requests("POST", "/")), before+one.posts, one.text)
		}
	}
	assert.True(t, c.Healthy(), "each request got one response: the next message is the response to health")
}

// A statement that can't be parsed is rejected with the position of the error, or is sent once, as configured.
func TestUnparsable(t *testing.T) {
	path := installationPath(t)
	r := start(t, 2, closeConnOnStart(t), withInstallation(t, path, "unparsed: 'fail', rules: "+classRules))
	c := r.NewClient()
	sendWithoutClass(c, 1, "SELECT a\nFROM WHERE")
	p := c.ReadReply()
	assert.Equal(t, "exception", p.Kind)
	assert.Contains(t, p.Payload, "line 2, column 6: expected a table, found where")
	assert.Empty(t, r.Requests("POST", "/"))

	writeStatementSection(t, path, "unparsed: 'once', unparsed_class: 'lookup', rules: "+classRules)
	r.Signal(syscall.SIGHUP)
	r.WaitForLog("configuration reloaded")
	sendWithoutClass(c, 2, "INGEST MANIFEST INTO s_3.t")
	assert.Equal(t, "fault", c.ReadReply().Kind)
	posts := r.Requests("POST", "/")
	require.Len(t, posts, 1)
	assert.Equal(t, "lookup", posts[0].Header.Get("Kind"))
	// A class that the client names is used, but the statement is still sent only once.
	sendWithoutClass(c, 3, "INGEST MANIFEST INTO s_3.t", "op", "report")
	assert.Equal(t, "fault", c.ReadReply().Kind)
	assert.Len(t, r.Requests("POST", "/"), 2)
	assert.True(t, c.Healthy())
}

// A statement that can't be parsed is not even sent again after an engine has rejected it.
func TestUnparsableIsSentOnce(t *testing.T) {
	full := func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		w.Header().Set("Never-Ran", "1")
		w.WriteHeader(503)
	}
	r := start(t, 2, full,
		withInstallation(t, installationPath(t), "unparsed: 'once', unparsed_class: 'load', rules: "+classRules))
	c := r.NewClient()
	sendWithoutClass(c, 1, "INGEST MANIFEST INTO s_3.t", "row", "k")
	assert.Equal(t, "shed", c.ReadReply().Kind, "it never ran")
	assert.Len(t, r.Requests("POST", "/"), 1)
}

// Loads of one order key that are sent without a class, some with statements that can't be parsed, run one at a time in
// the order in which they were sent.
func TestLoadsWithoutClassKeepTheirOrder(t *testing.T) {
	var running, maxRunning atomic.Int32
	slow := func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		time.Sleep(30 * time.Millisecond)
		running.Add(-1)
		testharness.RespondResult(w, testharness.ResultRow)
	}
	r := start(t, 3, slow,
		withInstallation(t, installationPath(t), "unparsed: 'once', unparsed_class: 'load', rules: "+classRules))
	c := r.NewClient()
	for i := range 6 {
		text := "INSERT INTO ops_7.flights VALUES (1)"
		if i%2 == 1 {
			text = "INGEST MANIFEST INTO s_3.t"
		}
		sendWithoutClass(c, i, text, "row", "k")
	}
	for range 6 {
		assert.Equal(t, "answer", c.ReadReply().Kind)
	}
	for i, p := range r.Requests("POST", "/") {
		assert.Equal(t, testharness.RequestID(i), p.Header.Get("Request-Id"))
	}
	assert.Equal(t, int32(1), maxRunning.Load())
}

// Statements of one shape are cheap with some literals and expensive with others: the expensive ones become reports and
// don't delay the cheap ones, which are lookups.
func TestOneShapeCheapAndExpensive(t *testing.T) {
	var release sync.WaitGroup
	release.Add(1)
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		if c.Method == "POST" && strings.Contains(c.Body, "999999") && strings.HasSuffix(c.Body, "-- hold") {
			release.Wait()
		}
		testharness.RespondResult(w, testharness.ResultRow)
	}, withInstallation(t, installationPath(t), "rules: "+classRules), func(r *testharness.Harness) {
		r.Settings["domain"].(map[string]any)["cpu_of_kind"] = []any{4}
	})
	defer release.Done()
	c := r.NewClient()
	text := func(width int) string {
		return fmt.Sprintf("SELECT sum(a) FROM ops_7.t WHERE d BETWEEN 0 AND %d", width)
	}
	for i := range 30 { // the estimates learn from the work that the client states
		sendWithoutClass(c, 2*i, text(10), "work", "20")
		c.ReadReply()
		sendWithoutClass(c, 2*i+1, text(999999), "work", "8000")
		c.ReadReply()
	}
	reports := r.NewClient()
	for i := range 20 {
		sendWithoutClass(reports, 100+i, text(999999)+" -- hold")
	}
	r.WaitForRequests(61, "POST", "/")
	for i := range 10 {
		sendWithoutClass(c, 200+i, text(10+i))
		assert.Equal(t, "answer", c.ReadReply().Kind)
	}
	kinds := map[string]int{}
	for _, p := range r.Requests("POST", "/")[60:] {
		kinds[fmt.Sprint(p.Header.Get("Kind"), strings.Contains(p.Body, "999999"))]++
	}
	assert.Equal(t, 10, kinds["lookupfalse"])
	assert.Positive(t, kinds["reporttrue"])
	assert.Len(t, kinds, 2, "%v", kinds)
}

// Rules are reloaded under load: open requests are answered, later ones are classified by the new rules, and an invalid
// file changes nothing and is logged with its key.
func TestRulesAreReloadedUnderLoad(t *testing.T) {
	path := installationPath(t)
	r := start(t, 2, testharness.SucceedAfterPolls(1, testharness.ResultRow),
		withInstallation(t, path, "rules: "+classRules))
	c := r.NewClient()
	answered := func(from, n int) {
		for i := range n {
			sendWithoutClass(c, from+i, "SELECT * FROM ops_7.flights WHERE id = 3")
		}
	}
	answered(0, 16)
	r.WaitForRequests(1, "POST", "/")
	writeStatementSection(t, path, "rules: [{ class: 'report' }, { class: 'load' }]")
	r.Signal(syscall.SIGHUP)
	r.WaitForLog("configuration reloaded")
	answered(16, 16)
	for range 32 {
		assert.Equal(t, "answer", c.ReadReply().Kind)
	}
	assert.Equal(t, "report", r.WaitForRequests(32, "POST", "/")[31].Header.Get("Kind"))
	writeStatementSection(t, path, "rules: [{ class: 'nobody' }]")
	r.Signal(syscall.SIGHUP)
	r.WaitForLog("the old configuration stays in force")
	r.WaitForLog("statement.rules[0].class")
	answered(32, 1)
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Equal(t, "report", r.WaitForRequests(33, "POST", "/")[32].Header.Get("Kind"))
	require.NoError(t, os.WriteFile(path, []byte("{ statement: { enabled: false } }"), 0o600))
	r.Signal(syscall.SIGHUP)
	require.Eventually(t, func() bool {
		sendWithoutClass(c, 50, "SELECT 1")
		return c.ReadReply().Kind == "exception"
	}, testharness.WaitTimeout, 10*time.Millisecond)
}

// runCommand runs the program until it exits, and returns its standard output, standard error and exit code.
func runCommand(t *testing.T, input string, env []string, args ...string) (stdout, stderr string, code int) {
	cmd := exec.Command(program, args...)
	cmd.Env = env
	cmd.Stdin = strings.NewReader(input)
	var outBuffer, errBuffer bytes.Buffer
	cmd.Stdout, cmd.Stderr = &outBuffer, &errBuffer
	err := cmd.Run()
	if cmd.ProcessState == nil {
		require.NoError(t, err)
	}
	return outBuffer.String(), errBuffer.String(), cmd.ProcessState.ExitCode()
}

func TestExplain(t *testing.T) {
	path := installationPath(t)
	writeStatementSection(t, path, "rules: [{class: 'lookup', verbs: ['select']}, {class: 'load', verbs: ['insert']}]")
	one := "select a is distinct from z_1.q from ops_7.x where b in (1, 2)"
	two := "insert into s_3.t select * from \"S_4\".u"
	three := "select *\nfrom where"
	stdout, stderr, code := runCommand(t, one+"\x00"+two+"\x00"+three, nil, "statement", "explain", "--installation", path)
	assert.Zero(t, code, stderr)
	lines := strings.Split(strings.TrimSuffix(stdout, "\n"), "\n")
	require.Len(t, lines, 3)
	var got [3]struct {
		Class, Verb, Shape string
		Writes, Repeatable bool
		Group              int
		Tables             []struct{ Name, Role string }
		Cost               float64 `json:"cost_ms"`
		High               float64 `json:"cost_high_ms"`
		Error              *struct {
			Line, Column int
			Message      string
		}
	}
	for i, line := range lines {
		d := json.NewDecoder(strings.NewReader(line))
		require.NoError(t, d.Decode(&got[i]))
		_, err := d.Token()
		assert.Equal(t, io.EOF, err)
	}
	assert.Equal(t, []any{"lookup", "select", 7, false, true},
		[]any{got[0].Class, got[0].Verb, got[0].Group, got[0].Writes, got[0].Repeatable})
	assert.Equal(t, "select a is distinct from z_1.q from ops_7.x where b in (?)", got[0].Shape)
	assert.Greater(t, got[0].High, got[0].Cost)
	assert.Equal(t, []any{"load", "insert", 3, true, false},
		[]any{got[1].Class, got[1].Verb, got[1].Group, got[1].Writes, got[1].Repeatable})
	assert.Len(t, got[1].Tables, 2)
	require.NotNil(t, got[2].Error)
	assert.Equal(t, []int{2, 6}, []int{got[2].Error.Line, got[2].Error.Column})
	assert.Contains(t, lines[0], `"error":null`)

	name := filepath.Join(t.TempDir(), "s.sql")
	require.NoError(t, os.WriteFile(name, []byte(one+"\x00"), 0o600))
	again, _, code := runCommand(t, "", nil, "statement", "explain", name, name)
	assert.Zero(t, code)
	assert.Equal(t, 2, strings.Count(again, "\n"))
}

func TestCommandLine(t *testing.T) {
	path := installationPath(t)
	for _, c := range []struct {
		installation string
		args         string
		code         int
		output       string
	}{
		{"", "version", 0, "chutechute "},
		{"", "help", 0, "statement"},
		{"", "completion bash", 0, "chutechute"},
		{"", "bogus", 2, "unknown command"},
		{"", "--bogus", 2, "unknown flag"},
		{"", "serve extra", 2, "unknown command"},
		{"", "--log-format xml", 2, "log-format"},
		{"", "serve --log-level loud", 2, "log-level"},
		{"", "", 1, "NODE_CONFIG is not set"},
		{"", "config check", 1, "neither"},
		{"{}", "config check", 0, "ok"},
		{"{", "config check", 1, "installation"},
		{"{ statment: {} }", "config check", 1, "statment"},
		{"{ statement: { enabled: 'yes' } }", "config check", 1, "statement.enabled"},
		{"{ statement: { rules: [{ clas: 'x' }] } }", "config check", 1, "statement.rules[0]"},
		{"{ statement: { rules: [{ class: 'x', verbs: ['zap'] }] } }", "config check", 1, "statement.rules[0].verbs[0]"},
		{"{ statement: { rules: [{ class: 'x', verbs: ['show', 'insert'] }] } }", "config check", 1,
			"statement.rules[0].verbs[0]"},
		{"{ statement: { rules: [{ class: 'x', tables: ['[a'] }] } }", "config check", 1, "statement.rules[0].tables[0]"},
		{"{ statement: { unparsed: 'guess' } }", "config check", 1, "statement.unparsed"},
		{"{ statement: { unparsed: 'once' } }", "config check", 1, "statement.unparsed_class"},
		{"{ statement: { cache_mb: -1 } }", "config check", 1, "statement.cache_mb"},
		{"{ statement: { tables: { t: { mb: -1 } } } }", "config check", 1, "statement.tables.t"},
		{"{ statement: { cache_mb: 1 + 1 } }", "config show", 0, `"cache_mb": 2`},
	} {
		args := strings.Fields(c.args)
		if c.installation != "" {
			require.NoError(t, os.WriteFile(path, []byte(c.installation), 0o600))
			args = append(args, "--installation", path)
		}
		stdout, stderr, code := runCommand(t, "", nil, args...)
		assert.Equal(t, c.code, code, "%s: %s", c.args, c.installation)
		assert.Contains(t, stdout+stderr, c.output, "%s: %s", c.args, c.installation)
		assert.Equal(t, code != 0, stderr != "", "errors go to standard error: %s", c.args)
	}
}

// With --log-format json each line of the log is a JSON object.
func TestLogFormat(t *testing.T) {
	r := &testharness.Harness{T: t, Program: program, Args: []string{"--log-format", "json"},
		Log: &testharness.LogBuffer{}, Exited: make(chan error, 1)}
	var settings map[string]any
	require.NoError(t, json.Unmarshal([]byte(testharness.Settings), &settings))
	r.StartProcess(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "1",
		"settings": settings,
		"known":    map[string]any{"pos": 0, "entries": []any{}}})
	r.WaitForLog(`"msg":"serving"`)
	line, _, _ := strings.Cut(r.Log.String(), "\n")
	var object map[string]any
	assert.NoError(t, json.Unmarshal([]byte(line), &object), line)
}
