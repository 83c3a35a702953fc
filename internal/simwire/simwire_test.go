package simwire

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

const attach = `["attach",3,42,{"balancers":2,"rank":1,"unknown_key":{"x":1},` +
	`"classes":[{"name":"c","on_time":0.5,"aim_stretch":2,"give_up":4,"worth":3,` +
	`"repeat":"keyed","group":"cell","window":9,"by_arrival":true,"allowed_in":["z1"]}],` +
	`"tenants":[{"name":"t","quota_per_s":10,"share":1}],` +
	`"domain":{"class_threads":[2],"cpu_of_kind":[16],"ram_of_kind_mb":[2048]},"host_types":["k"],` +
	`"limits":{"cancel":true,"max_attempts":4},"rules":{"min_extra":3,"extra_ratio":0.2,"look_back":10}}]`

func batch(messages ...string) []byte {
	return []byte(`{"now":2.5,"in":[` + strings.Join(messages, ",") + "]}\n")
}

func TestStartIsDecodedIntoConfig(t *testing.T) {
	now, messages, err := NewDecoder().Batch(batch(attach))
	if err != nil || now != 2_500_000 || len(messages) != 1 || messages[0].Start == nil {
		t.Fatalf("%v %d %+v", err, now, messages)
	}
	config := messages[0].Start.Config
	class := config.Classes[0]
	if config.FrontEnds != 2 || config.Rank != 1 || messages[0].Start.Seed != 42 {
		t.Fatalf("%+v", messages[0].Start)
	}
	if class.LatencyObjective != 500_000 || class.Effect != scheduler.IdempotentByKey ||
		class.DedupeScope != scheduler.ScopeCell || !class.Ordered || class.Threads != 2 ||
		!reflect.DeepEqual(class.Zones, []string{"z1"}) {
		t.Fatalf("%+v", class)
	}
	if config.Kinds[0].Cores != 16 || !config.Rules.RetryBudget || config.Rules.MinRetries != 3 ||
		config.Tenants[0].Quota != 10 {
		t.Fatalf("%+v", config)
	}
}

// Every kind of event is decoded into the scheduler's type; extra values are ignored.
func TestEventsAreDecodedIntoSchedulerTypes(t *testing.T) {
	for message, want := range map[string]scheduler.Event{
		`["new_request",3,7,"c","t","key",5.5,0.25,64,9,1,"extra"]`: scheduler.Request{ID: 7, Key: "key",
			Deadline: 5_500_000, EstimatedWork: 250_000, MemoryMB: 64, TableGroup: 9},
		`["new_request",3,7,"c",null,null,5.5,0.25,null,null,0]`: scheduler.Request{ID: 7, Tenant: -1,
			Deadline: 5_500_000},
		`["response",3,7,1,"e","severed",0.5,false,null,null]`: scheduler.Outcome{ID: 7, Attempt: 1, Engine: "e",
			Result: scheduler.Reset, Elapsed: 500_000},
		`["response",3,7,1,"e","completed",0.5,true,0,{"util":0.5,"x1":0.25}]`: scheduler.Outcome{ID: 7, Attempt: 1,
			Engine: "e", Elapsed: 500_000, Final: true,
			Load: &scheduler.LoadReport{Utilization: 0.5, Queue: -1, Memory: -1, Disk: 0.25}},
		`["flowing",3,7,0,"e",0.1]`: scheduler.Started{ID: 7},
		`["client_gone",3,7]`:       scheduler.ClientDisconnected{ID: 7},
		`["response",3,7,0,"e","completed",0.5,true,69728,null]`: scheduler.Outcome{ID: 7, Engine: "e",
			Result: scheduler.Succeeded, Elapsed: monotime.Second / 2, Final: true,
			WorkUsed: 17 * monotime.Second / 1000, MemoryUsedMB: 384},
		`["note",3,7,2,3,1,"e"]`: scheduler.ProgressReport{ID: 7, Attempt: 1, Engine: "e",
			Kind: scheduler.ProgressWaiting, Value: 2},
		`["echo",3,"e","overdue",0.25,null]`: scheduler.HealthCheckResult{Engine: "e", Result: scheduler.TimedOut,
			Elapsed: 250_000},
		`["memo",3,1,"aGk="]`:                 scheduler.PeerMessage{From: 1, Body: []byte("hi")},
		`["timeout_fired",3,"tok"]`:           scheduler.Timer{Token: "tok"},
		`["endpoints",3,"Error",null,null]`:   scheduler.EndpointUpdate{Kind: scheduler.UpdateFailed},
		`["endpoints",3,"Persisted",null,41]`: nil,
	} {
		_, messages, err := NewDecoder().Batch(batch(attach, message))
		if want == nil {
			if err == nil {
				t.Errorf("%s: no error", message)
			}
			continue
		}
		if err != nil || len(messages) != 2 || !reflect.DeepEqual(messages[1].Event, want) {
			t.Errorf("%s: %v, got %+v", message, err, messages)
		}
	}
}

// If a list number is reused within a batch, an event refers to the latest list before it.
func TestEndpointListIsTheLastOneSentUnderItsNumber(t *testing.T) {
	_, messages, err := NewDecoder().Batch(batch(attach,
		`["catalog",0,[["a","z","k",1,"SERVING",1,null]]]`,
		`["endpoints",3,"Complete",0,1]`, `["catalog",0,[["b","z","k",2,"DRAINING",1,6.5]]]`,
		`["endpoints",3,"Partial",0,2]`))
	if err != nil || len(messages) != 3 {
		t.Fatal(err, messages)
	}
	first, second := messages[1].Event.(scheduler.EndpointUpdate), messages[2].Event.(scheduler.EndpointUpdate)
	want := scheduler.Endpoint{Engine: "b", Zone: "z", Kind: "k", Cell: 2, State: scheduler.Draining, Started: 6_500_000}
	if first.Endpoints[0].Engine != "a" || second.Endpoints[0] != want {
		t.Fatalf("%+v %+v", first, second)
	}
}

// A malformed line gives an error of a single line that names the cause.
func TestMalformedLineErrorNamesTheCause(t *testing.T) {
	for line, want := range map[string]string{
		"nonsense":                                                                "batch",
		`{"in":[]}`:                                                               "now is missing",
		`{"now":1,"in":[["what",3]]}`:                                             "instance 3",
		string(batch(attach, `["what",3]`)):                                       `unknown message "what"`,
		string(batch(attach, `["client_gone"`)):                                   "batch",
		string(batch(attach, `["client_gone",3]`)):                                "value 2 is missing",
		string(batch(attach, `["client_gone",3,"x"]`)):                            "value 2",
		string(batch(attach, `["client_gone",4,1]`)):                              "instance 4",
		string(batch(attach, `["new_request",3,7,"d","t","k",5.5,0,0,0,0]`)):      `unknown class "d"`,
		string(batch(attach, `["new_request",3,7,"c","u","k",5.5,0,0,0,0]`)):      `unknown tenant "u"`,
		string(batch(attach, `["response",3,7,1,"e","odd",0.5,false,null,null]`)): `unknown outcome "odd"`,
		string(batch(attach, `["endpoints",3,"Complete",5,1]`)):                   "no list 5",
		string(batch(`["catalog",0,[["a","z","k",1,"LOST",1,null]]]`)):            `unknown state "LOST"`,
		string(batch(strings.Replace(attach, `"keyed"`, `"twice"`, 1))):           `unknown repeat "twice"`,
	} {
		_, _, err := NewDecoder().Batch([]byte(line))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.80s: error %v, want %q", line, err, want)
		}
	}
}

func TestActionsAreEncodedAsOneLine(t *testing.T) {
	var r Reply
	if got := string(r.Line()); got != "{\"cmds\":[]}\n" {
		t.Fatalf("empty reply %q", got)
	}
	r.Add(3, []scheduler.Action{
		scheduler.StartAttempt{ID: 1 << 51, Engine: "e", Timeout: 80_000},
		scheduler.AttemptParameters{ID: 2, GrantMB: 64, Priority: 3},
		scheduler.Cancel{ID: 2, Attempt: 1},
		scheduler.Reject{ID: 3, RetryAfter: 250_000},
		scheduler.Fail{ID: 4},
		scheduler.HealthCheck{Engine: "e"},
		scheduler.Subscribe{},
		scheduler.FetchList{},
		scheduler.SetTimer{At: 1_500_000, Token: "t"},
		scheduler.Log{Text: `a "b"`},
	})
	want := `{"cmds":[["place",3,2251799813685248,"e",0.08],["allot",3,2,64,3],["stop_attempt",3,2,1],` +
		`["push_back",3,3,0.25],["report_failure",3,4],["ask_load",3,"e"],["subscribe",3,true],["list_all",3],` +
		`["remind",3,1.5,"t"],["remark",3,"a \"b\""]]}` + "\n"
	if got := string(r.Line()); got != want {
		t.Fatalf("got  %swant %s", got, want)
	}
}

// For any line, the decoder returns either messages or an error, and a reply is valid JSON.
func FuzzBatch(f *testing.F) {
	f.Add(batch(attach, `["client_gone",3,7]`))
	f.Add(batch(`["catalog",0,[["a","z","k",1,"SERVING",1,null]]]`))
	f.Add([]byte(`{"now":1e300,"in":[[null,1]]}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		_, messages, err := NewDecoder().Batch(line)
		if err != nil && len(messages) > 0 {
			t.Fatal("messages and an error")
		}
		var r Reply
		r.Add(1, []scheduler.Action{scheduler.Log{Text: string(line)}})
		if !json.Valid(r.Line()) {
			t.Fatal("reply is not valid JSON")
		}
	})
}
