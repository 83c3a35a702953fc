package main

import (
	"bytes"
	"strings"
	"testing"
)

// startTemplate is the message that starts an instance, with % in place of the instance's number.
const startTemplate = `["attach",%,1,{"balancers":1,` +
	`"classes":[{"name":"c","on_time":1,"give_up":5,"worth":1,"repeat":"safe"}],` +
	`"domain":{"cpu_of_kind":[8]},"host_types":["k"],"limits":{"max_attempts":3,"cancel":true}}]`

func startMessage(instance string) string { return strings.Replace(startTemplate, "%", instance, 1) }

// serveLines returns the lines of the output for these lines of input.
func serveLines(t *testing.T, lines ...string) ([]string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	return strings.Split(strings.TrimSpace(out.String()), "\n"), err
}

// An empty batch gets an empty reply. An instance that is stopped loses its state and may be started again within the
// same batch; what was sent to it before the stop has no effect.
func TestStopAndRestartInOneBatch(t *testing.T) {
	endpoints := `["catalog",0,[["e","z","k",0,"SERVING",1,null]]],["endpoints",1,"Persisted",0,1]`
	request := `["new_request",1,7,"c",null,null,6,0,0,0,0]`
	replies, err := serveLines(t, `{"now":1,"in":[]}`,
		`{"now":2,"in":[`+startMessage("1")+`,`+endpoints+`,`+request+`,["down",1],`+
			startMessage("1")+`,`+endpoints+`]}`,
		`{"now":3,"in":[`+strings.Replace(request, "7", "8", 1)+`]}`)
	if err != nil || len(replies) != 3 || replies[0] != `{"cmds":[]}` || replies[1] != `{"cmds":[]}` {
		t.Fatalf("error %v, replies %q", err, replies)
	}
	if !strings.Contains(replies[2], `["place",1,8,"e",0]`) {
		t.Fatalf("reply %q", replies[2])
	}
}

func TestInputErrorNamesTheLine(t *testing.T) {
	_, err := serveLines(t, `{"now":1,"in":[]}`, `{"now":1,"in":[["odd",1]]}`)
	if err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Fatalf("error %v", err)
	}
}

func TestInvalidSettingsAreReportedAsBroken(t *testing.T) {
	replies, err := serveLines(t, `{"now":1,"in":[["attach",1,1,{"balancers":0}]]}`)
	if err != nil || !strings.Contains(replies[0], `["broken",1,`) {
		t.Fatalf("error %v, replies %q", err, replies)
	}
}
