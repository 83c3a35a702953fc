package scale

import (
	"slices"
	"strings"
)

// UnitCount is the unit of figures that are numbers of samples; they are not fitted.
const UnitCount = "count"

// figureKey identifies a figure across results.
type figureKey struct{ axis, figure, unit string }

// FitResults fits each figure for which the results have enough different sizes: figures of roles over the number of
// front ends, and figures of points over their own axis. The fits are sorted by axis and name.
func FitResults(results []*Result) []Fit {
	series := map[figureKey][]Sample{}
	for _, r := range results {
		x := float64(max(r.FrontEnds, r.Controls))
		for i := range r.Roles {
			addRoleSamples(series, x, &r.Roles[i])
		}
		if s := r.Spread; s != nil && s.Count > 0 {
			addSample(series, "front ends", "change reaches the last, p99", "ms", Sample{x, s.P99MS})
		}
		for _, p := range r.Points {
			for name, value := range p.Figures {
				figure, unit := splitUnit(name)
				if unit == UnitCount {
					continue
				}
				addSample(series, p.Axis, figure, unit, Sample{p.X, value})
			}
		}
	}
	keys := make([]figureKey, 0, len(series))
	for key := range series {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b figureKey) int {
		return strings.Compare(a.axis+"\x00"+a.figure, b.axis+"\x00"+b.figure)
	})
	var list []Fit
	for _, key := range keys {
		if f, ok := FitSamples(key.figure, key.unit, series[key]); ok {
			f.Figure = key.figure + " over " + key.axis
			list = append(list, f)
		}
	}
	return list
}

func addSample(series map[figureKey][]Sample, axis, figure, unit string, s Sample) {
	key := figureKey{axis, figure, unit}
	series[key] = append(series[key], s)
}

func addRoleSamples(series map[figureKey][]Sample, x float64, role *RoleFigures) {
	for _, figure := range []struct {
		name, unit string
		value      float64
	}{
		{"messages in", "a second", role.MessagesIn},
		{"messages out", "a second", role.MessagesOut},
		{"bytes in with framing", "bytes a second", role.BytesIn + role.FramingIn},
		{"bytes out with framing", "bytes a second", role.BytesOut + role.FramingOut},
		{"processor", "us a second", role.CPUMicros},
		{"memory", "bytes", role.MemoryBytes},
		{"heap", "bytes", role.HeapBytes},
		{"connections", "", role.Connections},
	} {
		addSample(series, "front ends", role.Role+": "+figure.name, figure.unit, Sample{x, figure.value})
	}
}

// splitUnit splits a name "figure unit" at its last space. The unit is empty if there is no space.
func splitUnit(name string) (figure, unit string) {
	if i := strings.LastIndexByte(name, ' '); i >= 0 {
		return name[:i], name[i+1:]
	}
	return name, ""
}
