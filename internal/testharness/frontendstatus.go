package testharness

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	adminDialTimeout    = time.Second
	adminRequestTimeout = 2 * time.Second

	statusRequest = "status"
	aliveState    = "alive"
	leaderRole    = "leader"
)

// MemberStatus is another front end as the one that reports its status sees it.
type MemberStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	State       string `json:"state"` // of the failure detector
	Incarnation string `json:"incarnation"`
	Connected   bool   `json:"link"` // it is connected
	Role        string `json:"role"` // control or attached
	Home        string `json:"home"` // at an attached one: the control member that it has its view from
}

// AttachedStatus is the part of a front end's status that is about attached front ends.
type AttachedStatus struct {
	Enabled            bool             `json:"on"`
	Home               string           `json:"home"`        // the control member that the view comes from; empty: none
	ViewAgeMS          float64          `json:"view_age_ms"` // since the view was confirmed; -1: never
	ViewDigest         string           `json:"view_digest"`
	ViewSize           int              `json:"view_len"` // front ends in the view
	AttachmentTargets  []string         `json:"targets"`  // control members that it attaches itself to
	ConnectedFrontEnds int              `json:"links"`    // at a control member: attached front ends that are connected
	Counters           map[string]int64 `json:"counters"`
}

// FrontEndStatus is the status of a front end: what it reports of itself, and how it sees the others.
type FrontEndStatus struct {
	Name        string         `json:"name"`
	Incarnation string         `json:"incarnation"`
	Role        string         `json:"role"`
	Attached    AttachedStatus `json:"attached"`
	Members     []MemberStatus `json:"members"`
}

// Member returns how the front end of a name is seen; the zero Member where it is not seen, or where s is nil.
func (s *FrontEndStatus) Member(name string) MemberStatus {
	if s == nil {
		return MemberStatus{}
	}
	for _, member := range s.Members {
		if member.Name == name {
			return member
		}
	}
	return MemberStatus{}
}

// replicationStatus is the part of a front end's status that is about its replica of the record.
type replicationStatus struct {
	Replica  string `json:"copy"`
	Role     string `json:"role"`
	Replicas []struct {
		ID    string `json:"copy"`
		Votes bool   `json:"votes"`
	} `json:"copies"` // at the leader
}

// voters returns the identifiers of the replicas that vote.
func (s *replicationStatus) voters() (ids []string) {
	for _, replica := range s.Replicas {
		if replica.Votes {
			ids = append(ids, replica.ID)
		}
	}
	return ids
}

// Status requests a front end's status; nil where it doesn't respond.
func (n *FrontEnd) Status() *FrontEndStatus {
	var s FrontEndStatus
	if !n.adminRequest(statusRequest, &s) {
		return nil
	}
	return &s
}

// RawStatus requests a front end's status, with all that it has; nil where it doesn't respond.
func (n *FrontEnd) RawStatus() map[string]any { return n.RawAdminResponse(statusRequest) }

// RawAdminResponse sends a request to the operators' socket and returns the response; nil where there is none.
func (n *FrontEnd) RawAdminResponse(request string) map[string]any {
	var response map[string]any
	if !n.adminRequest(request, &response) {
		return nil
	}
	return response
}

// adminRequest sends a request to the operators' socket and decodes the response, in JSON, into a value. It reports
// whether there was one.
func (n *FrontEnd) adminRequest(request string, into any) bool {
	conn, err := net.DialTimeout("unix", n.AdminSocket, adminDialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(adminRequestTimeout))
	if _, err := fmt.Fprintln(conn, request); err != nil {
		return false
	}
	return json.NewDecoder(conn).Decode(into) == nil
}

// Counter returns one of the counters that a front end has of attached front ends; 0 where it doesn't respond. The
// test fails where it has no counter of the name.
func (n *FrontEnd) Counter(name string) int64 {
	s := n.Status()
	if s == nil {
		return 0
	}
	value, ok := s.Attached.Counters[name]
	require.True(n.Fleet.T, ok, "%s has no counter %q", n.Name, name)
	return value
}

// SeesInState reports whether a front end sees the one of a name in one of the states. It doesn't where it doesn't
// respond.
func (n *FrontEnd) SeesInState(name string, states ...string) bool {
	s := n.Status()
	return s != nil && slices.Contains(states, s.Member(name).State)
}
