package membership

import (
	"chutechute/internal/scale"
)

// smallShape is a fleet of three zones, each with one control member and three attached front ends.
func smallShape() scale.Shape {
	return scale.Shape{FrontEnds: 12, Controls: 3, Zones: 3, Seconds: 10, Seed: 1}
}

// startProcess starts a process of a member that has none.
func startProcess(s *simulation, m *member) *process {
	m.start()
	return m.process
}
