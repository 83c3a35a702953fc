package scale

import (
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A result is read from its file as it was written, and an unknown key is an error.
func TestResultRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "sub", "x.json")
	r := &Result{Name: "x", Mode: ModeSockets, FrontEnds: 9, Controls: 3, Zones: 2, Seconds: 4.5, Seed: math.MaxUint64,
		Faults: "1s heal", Roles: []RoleFigures{{Role: RoleControl, Members: 3, MessagesIn: 20.5, CPUMicros: 7}},
		Spread: &SpreadFigures{Count: 2, MaxMS: 9},
		Points: []Point{{"entries", 10, map[string]float64{"view bytes": 3}}}, Notes: []string{"a busy machine"}}
	require.NoError(t, Write(path, r))
	back, err := Read(path)
	require.NoError(t, err)
	assert.Equal(t, r, back)
	require.NoError(t, os.WriteFile(path, []byte(`{"name": "x", "host": "y"}`), 0o600))
	_, err = Read(path)
	assert.ErrorContains(t, err, "host")
}

func TestFaultScript(t *testing.T) {
	list, err := ParseFaults(
		"5s kill control 1; 8s restart 10% over 2s; 12s cut zone a; 15s heal; 20s stop attached 3 for 10s;")
	require.NoError(t, err)
	assert.Equal(t, []Fault{
		{At: 5 * time.Second, Kind: Kill, Target: Target{Kind: TargetControl, Number: 1}},
		{At: 8 * time.Second, Kind: Restart, Target: Target{Kind: TargetShare, Percent: 10}, Over: 2 * time.Second},
		{At: 12 * time.Second, Kind: Cut, Target: Target{Kind: TargetZone, Zone: "a"}},
		{At: 15 * time.Second, Kind: Heal},
		{At: 20 * time.Second, Kind: Stop, Target: Target{Kind: TargetAttached, Number: 3}, For: 10 * time.Second},
	}, list)
	list, err = ParseFaults("")
	require.NoError(t, err)
	assert.Empty(t, list)
}

// The error of an invalid fault has the flag, the number of the fault and the invalid word.
func TestFaultScriptErrorsNameTheWord(t *testing.T) {
	for script, word := range map[string]string{
		"1s explode all": "explode", "soon kill all": "soon", "-1s kill all": "-1s", "1s kill": "",
		"1s kill everyone": "everyone", "1s kill control": "", "1s kill control 0": "0", "1s kill 0%": "0%",
		"1s kill 101%": "101%", "1s kill NaN%": "NaN%", "1s cut zone": "zone", "1s stop all": "stop",
		"1s restart all for 2s": "restart", "1s heal over 1s": "heal",
		"1s kill all later": "later", "1s kill all for 0s": "0s", "1s kill all over": "", "1s": "",
	} {
		_, err := ParseFaults("0s heal; " + script)
		var fault *ScriptError
		if assert.ErrorAs(t, err, &fault, script) {
			assert.Equal(t, word, fault.Word, script)
			assert.Equal(t, 2, fault.Fault, script)
			assert.Contains(t, err.Error(), "--faults")
		}
	}
}

func TestCheckFaultsErrorsNameTheWord(t *testing.T) {
	shape := Shape{FrontEnds: 9, Controls: 3, Zones: 2, Seconds: 10}
	for script, word := range map[string]string{
		"10s heal": "10s", "1s kill control 4": "4", "1s kill attached 7": "7", "1s cut zone c": "c",
	} {
		list, err := ParseFaults(script)
		require.NoError(t, err)
		var fault *ScriptError
		if assert.ErrorAs(t, CheckFaults(list, shape), &fault, script) {
			assert.Equal(t, word, fault.Word)
		}
	}
	list, err := ParseFaults("9s kill control 3; 1s kill attached 6; 1s cut zone b")
	require.NoError(t, err)
	assert.NoError(t, CheckFaults(list, shape))
}

func TestShapeErrorsNameTheFlag(t *testing.T) {
	good := Shape{Controls: 3, Zones: 1, Seconds: 5}
	require.NoError(t, good.Check())
	assert.Equal(t, 3, good.Total())
	assert.Zero(t, good.Attached())
	for flag, change := range map[string]func(*Shape){
		"control":    func(s *Shape) { s.Controls = 81 },
		"front-ends": func(s *Shape) { s.FrontEnds = 2 },
		"zones":      func(s *Shape) { s.Zones = 0 },
		"seconds":    func(s *Shape) { s.Seconds = math.NaN() },
	} {
		bad := good
		change(&bad)
		assert.ErrorContains(t, bad.Check(), "--"+flag+":")
	}
}

func TestRequirementErrorsNameFlagAndLimit(t *testing.T) {
	limits := Limits{Descriptors: 100, Ports: 100, Processes: 10, MemoryBytes: 1000}
	fits := Requirements{Flag: "control", Descriptors: 100, Ports: 100, Processes: 10, MemoryBytes: 1000}
	require.NoError(t, fits.Check(limits))
	for limit, change := range map[string]func(*Requirements){
		"RLIMIT_NOFILE": func(r *Requirements) { r.Descriptors++ },
		"port_range":    func(r *Requirements) { r.Ports++ },
		"processes":     func(r *Requirements) { r.Processes++ },
		"memory":        func(r *Requirements) { r.MemoryBytes++ },
	} {
		bad := fits
		change(&bad)
		err := bad.Check(limits)
		var limitErr *LimitError
		require.ErrorAs(t, err, &limitErr)
		assert.Equal(t, limitErr.Have+1, limitErr.Need)
		assert.ErrorContains(t, err, "--control:")
		assert.ErrorContains(t, err, limit)
	}
}

func TestMachine(t *testing.T) {
	limits, err := ReadLimits()
	require.NoError(t, err)
	assert.Positive(t, limits.Descriptors)
	assert.Positive(t, limits.Ports)
	assert.Positive(t, limits.MemoryBytes)
	assert.Contains(t, DescribeMachine(), "cores")
	ports, err := FreePorts("control", []netip.Addr{LoopbackAddress(1, 0), LoopbackAddress(1, 1), LoopbackAddress(1, 1)})
	require.NoError(t, err)
	assert.NotEqual(t, ports[1].Port(), ports[2].Port())
	assert.NotEqual(t, ports[0].Addr(), ports[1].Addr())
	// No machine has this address, which is reserved for documentation.
	_, err = FreePorts("control", []netip.Addr{netip.MustParseAddr("192.0.2.1")})
	assert.ErrorContains(t, err, "--control:")
}

func TestAddressesDiffer(t *testing.T) {
	seen := map[netip.Addr]bool{}
	for i := range MaxFrontEnds {
		a := LoopbackAddress(7, i)
		assert.True(t, a.IsLoopback())
		assert.False(t, seen[a])
		seen[a] = true
	}
}

func TestZoneNames(t *testing.T) {
	assert.Equal(t, []string{"a", "w", "z", "aa", "az", "ba"},
		[]string{ZoneName(0), ZoneName(22), ZoneName(25), ZoneName(26), ZoneName(51), ZoneName(52)})
}

func TestSpread(t *testing.T) {
	assert.Nil(t, SummarizeSpread(nil, 0))
	assert.Equal(t, &SpreadFigures{Unreached: 2}, SummarizeSpread(nil, 2))
	var list []time.Duration
	for i := range 200 {
		list = append(list, time.Duration(200-i)*time.Millisecond)
	}
	assert.Equal(t, &SpreadFigures{Count: 200, Unreached: 1, MedianMS: 100, P99MS: 198, MaxMS: 200},
		SummarizeSpread(list, 1))
}

// Samples on a line or on a power law give its parameters, without a residual.
func TestFitRecoversTheParameters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope := rapid.Float64Range(0.2, 3).Draw(t, "slope")
		scale := rapid.Float64Range(0.1, 100).Draw(t, "scale")
		var power, linear []Sample
		for _, x := range []float64{80, 5, 20, 10, 40} {
			power = append(power, Sample{x, scale * math.Pow(x, slope)})
			linear = append(linear, Sample{x, 1000*scale + slope*x})
		}
		f, ok := FitSamples("f", "u", power)
		require.True(t, ok)
		assert.InDelta(t, slope, f.Power.Slope, 1e-6)
		assert.InDelta(t, 0, f.Power.Residual, 1e-6)
		value, law, beyond := f.Estimate(TargetFrontEnds)
		if math.Abs(slope-1) > 0.01 { // at 1 both fit
			assert.Equal(t, "power", law)
		}
		assert.InEpsilon(t, scale*math.Pow(TargetFrontEnds, slope), value, 1e-6)
		assert.InDelta(t, 2700.0/80, beyond, 1e-9)
		f, ok = FitSamples("f", "u", linear)
		require.True(t, ok)
		assert.InDelta(t, slope, f.Linear.Slope, 1e-6)
		assert.InDelta(t, 0, f.Linear.Residual, 1e-6)
		assert.Equal(t, [2]float64{5, 80}, [2]float64{f.From, f.To})
	})
}

// A falling line that would give a negative value is not used.
func TestFitStaysAboveZero(t *testing.T) {
	f, ok := FitSamples("f", "u", []Sample{{30, 280}, {100, 265}, {300, 250}, {1000, 120}})
	require.True(t, ok)
	require.Negative(t, f.Linear.Intercept+f.Linear.Slope*TargetFrontEnds)
	value, law, _ := f.Estimate(TargetFrontEnds)
	assert.Equal(t, "power", law)
	assert.Positive(t, value)
}

func TestFitsOfResults(t *testing.T) {
	var results []*Result
	for _, n := range []int{5, 10, 20, 10} {
		results = append(results, &Result{Controls: n,
			Roles:  []RoleFigures{{Role: RoleControl, Members: n, MessagesIn: float64(10 * (n - 1))}},
			Points: []Point{{"entries", float64(n), map[string]float64{"one look-up us": float64(n), "look-ups count": 9}}}})
	}
	results[3].Roles[0].MessagesIn = 110
	byName := map[string]Fit{}
	for _, f := range FitResults(results) {
		byName[f.Figure] = f
	}
	messages := byName["control member: messages in over front ends"]
	assert.Equal(t, 4, messages.Samples)
	assert.InDelta(t, 0.2, messages.MaxRepeatDifference, 1e-9)
	assert.Nil(t, byName["control member: memory over front ends"].Power) // 0 has no logarithm
	assert.Equal(t, "us", byName["one look-up over entries"].Unit)
	assert.NotContains(t, byName, "look-ups over entries")
	_, ok := FitSamples("f", "u", []Sample{{1, 1}, {2, 2}, {2, 3}})
	assert.False(t, ok, "two sizes are too few")
}
