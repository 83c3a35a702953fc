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

// MemberStatus describes another front end as seen by the front end that reports its status.
type MemberStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	State       string `json:"state"` // state of the failure detector
	Incarnation string `json:"incarnation"`
	Connected   bool   `json:"link"` // whether there is a link to it
	Role        string `json:"role"` // control or attached
	Home        string `json:"home"` // for an attached front end: its home
}

// AttachedStatus is the part of a front end's status that concerns attached front ends.
type AttachedStatus struct {
	Enabled            bool             `json:"on"`
	Home               string           `json:"home"`        // empty if there is none
	ViewAgeMS          float64          `json:"view_age_ms"` // time since the view was last confirmed; -1 if it never was
	ViewDigest         string           `json:"view_digest"`
	ViewSize           int              `json:"view_len"` // number of front ends in the view
	AttachmentTargets  []string         `json:"targets"`  // control members to which the front end attaches
	ConnectedFrontEnds int              `json:"links"`    // at a control member: number of links of attached front ends
	Counters           map[string]int64 `json:"counters"`
}

// FrontEndStatus is the status of a front end: its own state, and how it sees the others.
type FrontEndStatus struct {
	Name        string         `json:"name"`
	Incarnation string         `json:"incarnation"`
	Role        string         `json:"role"`
	Attached    AttachedStatus `json:"attached"`
	Members     []MemberStatus `json:"members"`
}

// Member returns the status of the front end with the given name; the zero MemberStatus if it isn't listed or s is nil.
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

// replicationStatus is the part of a front end's status that concerns its replica of the replicated log.
type replicationStatus struct {
	Replica  string `json:"copy"`
	Role     string `json:"role"`
	Replicas []struct {
		ID    string `json:"copy"`
		Votes bool   `json:"votes"`
	} `json:"copies"` // of the group; only reported by the leader
}

// voters returns the IDs of the voters.
func (s *replicationStatus) voters() (ids []string) {
	for _, replica := range s.Replicas {
		if replica.Votes {
			ids = append(ids, replica.ID)
		}
	}
	return ids
}

// Status requests the front end's status. It returns nil if the front end doesn't respond.
func (n *FrontEnd) Status() *FrontEndStatus {
	var s FrontEndStatus
	if !n.adminRequest(statusRequest, &s) {
		return nil
	}
	return &s
}

// RawStatus requests the front end's status and returns all of its fields. It returns nil if the front end doesn't
// respond.
func (n *FrontEnd) RawStatus() map[string]any { return n.RawAdminResponse(statusRequest) }

// RawAdminResponse sends a request to the admin socket and returns the response; nil if there is none.
func (n *FrontEnd) RawAdminResponse(request string) map[string]any {
	var response map[string]any
	if !n.adminRequest(request, &response) {
		return nil
	}
	return response
}

// adminRequest sends a request to the admin socket and decodes the response, which is JSON, into the given value. It
// reports whether there was a valid response.
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

// Counter returns the counter with the given name among the counters that concern attached front ends; 0 if the front
// end doesn't respond. The test fails if there is no such counter.
func (n *FrontEnd) Counter(name string) int64 {
	s := n.Status()
	if s == nil {
		return 0
	}
	value, ok := s.Attached.Counters[name]
	require.True(n.Fleet.T, ok, "%s has no counter %q", n.Name, name)
	return value
}

// SeesInState reports whether the front end sees the one with the given name in one of the states. It returns false if
// the front end doesn't respond.
func (n *FrontEnd) SeesInState(name string, states ...string) bool {
	s := n.Status()
	return s != nil && slices.Contains(states, s.Member(name).State)
}
