package membership

import "chutechute/internal/monotime"

// Config configures a Server or a Client. Durations and limits that are zero or negative get their defaults.
type Config struct {
	Name        string
	Zone        string
	Incarnation uint64
	// ControlMembers lists all control members that the settings name, by name and zone. Whether a control member lists
	// itself makes no difference.
	ControlMembers    []ControlMember
	HeartbeatInterval monotime.Micros // time between two heartbeats of an attached front end over one link
	SuspectAfter      monotime.Micros // time without a message from the other side until it is Suspect
	DeadAfter         monotime.Micros // time without a message from the other side until it is Dead
	// PauseThreshold is the delay of a call above which this process is taken to have been paused. That it received
	// nothing during a pause does not count against others.
	PauseThreshold monotime.Micros
	BatchDelay     monotime.Micros // time between two published batches of changes
	MaxEntries     int             // limit on the entries of a view
	Seed           uint64          // seeds the jitter; the same seed and input give the same output
}

// Default durations and limits of a Config.
const (
	DefaultHeartbeatInterval = monotime.Second
	DefaultSuspectAfter      = 2_500 * monotime.Millisecond
	DefaultDeadAfter         = 4 * monotime.Second
	DefaultPauseThreshold    = 600 * monotime.Millisecond
	DefaultBatchDelay        = 50 * monotime.Millisecond
	DefaultMaxEntries        = 8192
)

// withDefaults returns the configuration with defaults for unset durations and limits.
func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.SuspectAfter, DefaultSuspectAfter)
	setDefault(&c.DeadAfter, DefaultDeadAfter)
	setDefault(&c.PauseThreshold, DefaultPauseThreshold)
	setDefault(&c.BatchDelay, DefaultBatchDelay)
	setDefault(&c.MaxEntries, DefaultMaxEntries)
	return c
}

// setDefault replaces a value that is zero or negative by its default.
func setDefault[T int | monotime.Micros](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}
