package membership

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A control member that has just started does not show a front end as Dead by the table of its former home before the
// table of its current home has arrived, even if it has not seen the current home yet.
func TestStartingServerWithholdsDeathsUntilTablesArrive(t *testing.T) {
	for _, tt := range []struct{ noTable, neverSeen bool }{
		{}, {noTable: true}, {neverSeen: true}, {noTable: true, neverSeen: true},
	} {
		r := newThreeServers(t)
		r.servers["m0"].LinkOpened(r.now, r.link("f", 7))
		for range 50 {
			r.servers["m1"].LinkOpened(r.now, r.link("f", 7))
			r.run(100 * ms)
		}
		r.requireState("f", 7, Alive)
		r.startProcess("m2", 2000)
		r.drop = func(sender, to string, kind Kind) bool {
			return sender == "m1" && to == "m2" && (tt.noTable || kind == TableUpdate)
		}
		r.neverSeen = func(name, by string) bool { return tt.neverSeen && name == "m1" && by == "m2" }
		r.run(second)
		s := r.servers["m2"]
		e, ok := s.View().Lookup("f")
		require.True(t, ok)
		require.Equal(t, Suspect, e.State, "m0 reports it as Dead, and m1's table has not arrived")
		if tt.noTable { // the death is shown after a time-out
			r.run(tableAwaitTimeout)
			require.True(t, s.View().PresumedDead(7))
			continue
		}
		r.drop = func(string, string, Kind) bool { return false }
		r.neverSeen = func(string, string) bool { return false }
		r.run(500 * ms)
		r.requireState("f", 7, Alive)
	}
}

// A front end that is already shown as Dead stays so while another control member starts.
func TestDeadStaysDeadWhileAnotherServerStarts(t *testing.T) {
	r := newThreeServers(t)
	r.servers["m0"].LinkOpened(r.now, r.link("f", 7))
	r.run(5 * second)
	r.requireState("f", 7, Dead)
	r.startProcess("m2", 2000)
	r.drop = func(from, _ string, _ Kind) bool { return from == "m2" }
	for range 20 {
		r.servers["m1"].markNameDirty(r.servers["m1"].mergedName("f")) // as when its table entries change
		r.run(50 * ms)
		e, _ := r.servers["m1"].View().Lookup("f")
		require.Equal(t, Dead, e.State)
	}
}
