package membership

import "chutechute/internal/monotime"

// Config configures a Server or a Client. Durations and limits that are 0 get their defaults.
type Config struct {
	Name        string
	Zone        string
	Incarnation uint64
	// ControlMembers are all control members that the settings name, with name and zone, including this one if it is
	// one.
	ControlMembers    []ControlMember
	HeartbeatInterval monotime.Micros // between two heartbeats of an attached front end
	SuspectAfter      monotime.Micros // without a heartbeat
	DeadAfter         monotime.Micros // without a heartbeat
	// PauseThreshold is how late a call has to be to show that this process was stopped. What it did not receive in
	// that time proves nothing.
	PauseThreshold monotime.Micros
	BatchDelay     monotime.Micros // how long changes are collected before they are published
	MaxEntries     int             // entries that a view may have
	Seed           uint64          // of the jitter; runs with the same seed are the same
}

// Defaults of a Config's durations and limits.
const (
	DefaultHeartbeatInterval = monotime.Second
	DefaultSuspectAfter      = 2_500 * monotime.Millisecond
	DefaultDeadAfter         = 4 * monotime.Second
	DefaultPauseThreshold    = 600 * monotime.Millisecond
	DefaultBatchDelay        = 50 * monotime.Millisecond
	DefaultMaxEntries        = 8192 // entries
)

// withDefaults returns the configuration with defaults for what was left out.
func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.SuspectAfter, DefaultSuspectAfter)
	setDefault(&c.DeadAfter, DefaultDeadAfter)
	setDefault(&c.PauseThreshold, DefaultPauseThreshold)
	setDefault(&c.BatchDelay, DefaultBatchDelay)
	setDefault(&c.MaxEntries, DefaultMaxEntries)
	return c
}

// setDefault sets a value that was left out.
func setDefault[T int | monotime.Micros](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}
