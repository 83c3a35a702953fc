// Package counters holds the counters of a front end: of its requests, attempts, connections and links.
package counters

import (
	"fmt"
	"io"
	"reflect"
)

// Set holds all counters of one front end. Only the goroutine of its event loop may use it. The name tags are the names
// that Print writes.
type Set struct {
	Submitted        int `name:"requests taken"`
	UnusableRequests int `name:"requests unusable"`
	Served           int `name:"answers served"`
	Rejected         int `name:"answers refused"`
	Failed           int `name:"answers failed"`
	CanceledRequests int `name:"requests cancelled by clients"`
	ExpiredRequests  int `name:"requests at their deadline"`

	Sent             int `name:"attempts sent"`
	Done             int `name:"attempts done"`
	Errored          int `name:"attempts errored"`
	RejectedByEngine int `name:"attempts refused by a full engine"`
	TimedOut         int `name:"attempts timed out"`
	NoConnection     int `name:"attempts without a connection"`
	Reset            int `name:"attempts reset"`
	CanceledAttempts int `name:"attempts given up for clients"`
	NotSent          int `name:"attempts never run"`
	ProgressReports  int `name:"notes on running attempts"`
	MalformedHeaders int `name:"notes and costs that can't be"`
	HealthChecks     int `name:"probes sent"`

	EngineCalls         int `name:"calls to engines"`
	EngineDials         int `name:"connections to engines"`
	Accepted            int `name:"connections from clients"`
	AcceptPauses        int `name:"times that newcomers waited for a descriptor"`
	ClientsDisconnected int `name:"connections ended by their clients"`
	MalformedInput      int `name:"connections closed for malformed input"`
	ReadTimeouts        int `name:"connections closed for half a message or none"`
	ClosedForBuffers    int `name:"connections closed for want of storage"`
	MalformedResponses  int `name:"connections to engines spoilt"`
	DiscoveryFrames     int `name:"frames from the journal"`
	MalformedEvents     int `name:"events of the journal that ended its connection"`
	DiscoveryDials      int `name:"connections to the journal"`
	Reloads             int `name:"configurations taken over"`
	RejectedReloads     int `name:"configurations rejected"`

	ShapeHits       int `name:"statements of a known shape"`
	ShapeMisses     int `name:"statements parsed"`
	Unparsed        int `name:"statements that could not be parsed"`
	LearnedOutcomes int `name:"outcomes learned from"`
	Shapes          int `name:"shapes kept"`
	ShapeBytes      int `name:"bytes of shapes kept"`

	AllowedCalls         int `name:"calls of callers with the right"`
	SignatureChecks      int `name:"signatures checked"`
	UnauthenticatedCalls int `name:"calls without a proof that holds"`
	PermissionDenied     int `name:"calls without the right"`
	OverCeiling          int `name:"calls above a ceiling or the budget for signatures"`

	Handshakes        int `name:"handshakes"`
	ResumedHandshakes int `name:"handshakes that resumed a session"`
	FailedHandshakes  int `name:"handshakes that failed"`

	EngineHandshakes       int `name:"handshakes with engines"`
	FailedEngineHandshakes int `name:"handshakes with engines that failed"`

	PeerLinks              int `name:"links to other front ends"`
	PeerRejected           int `name:"links of other front ends closed for what came"`
	PeerMessagesDropped    int `name:"messages to other front ends without room"`
	AttachedLinks          int `name:"links of attached front ends"`
	AttachRejected         int `name:"links of attached front ends without room"`
	ViewHeartbeats         int `name:"heartbeats of attached front ends"`
	ViewChanges            int `name:"changes of the view of all front ends"`
	ViewSnapshots          int `name:"snapshots of the view"`
	ViewBytes              int `name:"bytes of snapshots and repairs of the view"`
	ViewRepairs            int `name:"repairs of parts of the view"`
	ViewGaps               int `name:"gaps in changes of the view or of a table"`
	ViewStaleEpochs        int `name:"messages of past processes on the view"`
	ViewFullQueues         int `name:"slow readers of the view"`
	ViewDamped             int `name:"changes of flapping front ends put off"`
	ViewSelfSuspicions     int `name:"times that this home doubted itself"`
	ViewHomeChanges        int `name:"changes of the home"`
	ViewMalformed          int `name:"messages on the view that were none"`
	Forwarded              int `name:"questions of attached front ends passed on"`
	ForwardedUndeliverable int `name:"messages for attached front ends that had gone"`

	Proposals     int `name:"questions put to the record"`
	TakenOver     int `name:"loads adopted from lost front ends"`
	JoinedWaits   int `name:"repeats that waited with a load elsewhere"`
	Conflicts     int `name:"repeats with another statement"`
	StorageErrors int `name:"failures of the record's disk"`

	LongestTurn int `name:"longest turn of the loop in microseconds"`
}

// Print writes one line with name and value for each counter.
func (s *Set) Print(w io.Writer) {
	v := reflect.ValueOf(*s)
	for i := range v.NumField() {
		fmt.Fprintf(w, "%-45s %d\n", v.Type().Field(i).Tag.Get("name"), v.Field(i).Int())
	}
}
