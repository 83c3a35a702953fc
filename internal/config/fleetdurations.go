package config

import (
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// Defaults and limits of the fleet's durations.
const (
	defaultTick         = 50 * monotime.Millisecond
	defaultHeartbeat    = 100 * monotime.Millisecond
	defaultSuspectAfter = 600 * monotime.Millisecond
	defaultDeadAfter    = 3 * monotime.Second
	defaultReplaceAfter = 10 * monotime.Second
	defaultOrphan       = 3 * monotime.Second

	minDuration = monotime.Millisecond
	maxTickMS   = 1000
	// retentionMargin is what the default retention has beyond the required one.
	retentionMargin = 10 * monotime.Second
)

// fleetDurations are the durations of the section, with defaults.
type fleetDurations struct {
	tick         monotime.Micros // unit of the elections' timeouts
	heartbeat    monotime.Micros // between heartbeats of members
	suspectAfter monotime.Micros // without a heartbeat
	deadAfter    monotime.Micros // without a heartbeat
	replaceAfter monotime.Micros // without a heartbeat, until a replica is replaced
	orphan       monotime.Micros // until unstarted requests of a dead owner expire
	retention    monotime.Micros // of outcomes of idempotent requests
}

// durationKey is a key of the section that is a duration.
type durationKey struct {
	key          string
	value        float64 // as in the section; 0 for the default
	convert      func(float64) monotime.Micros
	defaultValue monotime.Micros
	result       *monotime.Micros
}

// resolveDurations returns the durations of the section, with defaults, or the error of the first faulty one.
func (f *Fleet) resolveDurations(site *settings.Settings) (d fleetDurations, err error) {
	minRetention := requiredRetention(site)
	for _, key := range []durationKey{
		{"tick_ms", f.TickMS, fromMilliseconds, defaultTick, &d.tick},
		{"beat_ms", f.HeartbeatMS, fromMilliseconds, defaultHeartbeat, &d.heartbeat},
		{"suspect_ms", f.SuspectMS, fromMilliseconds, defaultSuspectAfter, &d.suspectAfter},
		{"dead_ms", f.DeadMS, fromMilliseconds, defaultDeadAfter, &d.deadAfter},
		{"replace_s", f.ReplaceAfterS, fromSeconds, defaultReplaceAfter, &d.replaceAfter},
		{"orphan_s", f.OrphanTimeoutS, fromSeconds, defaultOrphan, &d.orphan},
		{"keep_s", f.RetentionS, fromSeconds, minRetention + retentionMargin, &d.retention},
	} {
		if *key.result, err = key.resolve(); err != nil {
			return d, err
		}
	}
	return d, f.checkDurations(&d, minRetention)
}

// resolve returns the duration, or its default if the key is 0.
func (k *durationKey) resolve() (monotime.Micros, error) {
	duration := k.convert(k.value)
	if k.value == 0 {
		duration = k.defaultValue
	}
	if k.value < 0 || duration < minDuration {
		return 0, fleetSection.keyError(k.key, "%g is no span", k.value)
	}
	return duration, nil
}

// checkDurations returns an error if a duration is too long or too short beside another.
func (f *Fleet) checkDurations(d *fleetDurations, minRetention monotime.Micros) error {
	fault := fleetSection.keyError
	switch {
	case d.tick > maxTickMS*monotime.Millisecond:
		return fault("tick_ms", "%g is above %d", f.TickMS, maxTickMS)
	case d.suspectAfter < 2*d.heartbeat:
		return fault("suspect_ms", "%d ms are below two heartbeats", d.suspectAfter/monotime.Millisecond)
	case d.deadAfter < 2*d.suspectAfter:
		return fault("dead_ms", "%d ms are below twice suspect_ms", d.deadAfter/monotime.Millisecond)
	case d.replaceAfter < d.deadAfter:
		return fault("replace_s", "%g s are below dead_ms", inSeconds(d.replaceAfter))
	case d.retention < minRetention:
		return fault("keep_s", "%g is below %g: a keyed class's window and give_up",
			inSeconds(d.retention), inSeconds(minRetention))
	}
	return nil
}

// requiredRetention returns how long the outcome of an idempotent request has to be retained: a client may repeat the
// request until the client's timeout, and engines drop repeats for the dedupe window.
func requiredRetention(site *settings.Settings) (required monotime.Micros) {
	for i := range site.Classes {
		class := &site.Classes[i]
		if class.Effect == scheduler.IdempotentByKey {
			required = max(required, class.DedupeWindow+class.ClientTimeout)
		}
	}
	return required
}
