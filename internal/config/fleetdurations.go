package config

import (
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// Defaults and limits of the fleet's durations.
const (
	defaultTick          = 50 * monotime.Millisecond
	defaultHeartbeat     = 100 * monotime.Millisecond
	defaultSuspectAfter  = 600 * monotime.Millisecond
	defaultDeadAfter     = 3 * monotime.Second
	defaultReplaceAfter  = 10 * monotime.Second
	defaultOrphanTimeout = 3 * monotime.Second

	minDuration = monotime.Millisecond
	maxTickMS   = 1000
	// retentionMargin is added to the required retention to get the default.
	retentionMargin = 10 * monotime.Second
)

// fleetDurations has the durations of the section, with defaults filled in.
type fleetDurations struct {
	tick          monotime.Micros // unit of election timeouts
	heartbeat     monotime.Micros // interval of heartbeats of members
	suspectAfter  monotime.Micros // without a heartbeat
	deadAfter     monotime.Micros // without a heartbeat
	replaceAfter  monotime.Micros // without a heartbeat, until a replica is replaced
	orphanTimeout monotime.Micros // until unstarted requests of a dead owner expire
	retention     monotime.Micros // of outcomes of idempotent requests
}

// durationKey is a key of the section whose value is a duration.
type durationKey struct {
	key          string
	value        float64 // from the section; 0 selects the default
	convert      func(float64) monotime.Micros
	defaultValue monotime.Micros
	result       *monotime.Micros
}

// resolveDurations checks the durations of the section and fills in defaults. It returns the error of the first invalid
// key.
func (f *Fleet) resolveDurations(site *settings.Settings) (d fleetDurations, err error) {
	minRetention := requiredRetention(site)
	for _, key := range []durationKey{
		{"tick_ms", f.TickMS, fromMilliseconds, defaultTick, &d.tick},
		{"beat_ms", f.HeartbeatMS, fromMilliseconds, defaultHeartbeat, &d.heartbeat},
		{"suspect_ms", f.SuspectMS, fromMilliseconds, defaultSuspectAfter, &d.suspectAfter},
		{"dead_ms", f.DeadMS, fromMilliseconds, defaultDeadAfter, &d.deadAfter},
		{"replace_s", f.ReplaceAfterS, fromSeconds, defaultReplaceAfter, &d.replaceAfter},
		{"orphan_s", f.OrphanTimeoutS, fromSeconds, defaultOrphanTimeout, &d.orphanTimeout},
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

// checkDurations returns an error if the tick is too long, or if a duration is too short compared with another.
func (f *Fleet) checkDurations(d *fleetDurations, minRetention monotime.Micros) error {
	keyError := fleetSection.keyError
	switch {
	case d.tick > maxTickMS*monotime.Millisecond:
		return keyError("tick_ms", "%g is above %d", f.TickMS, maxTickMS)
	case d.suspectAfter < 2*d.heartbeat:
		return keyError("suspect_ms", "%d ms are below two heartbeats", d.suspectAfter/monotime.Millisecond)
	case d.deadAfter < 2*d.suspectAfter:
		return keyError("dead_ms", "%d ms are below twice suspect_ms", d.deadAfter/monotime.Millisecond)
	case d.replaceAfter < d.deadAfter:
		return keyError("replace_s", "%g s are below dead_ms", inSeconds(d.replaceAfter))
	case d.retention < minRetention:
		return keyError("keep_s", "%g is below %g: a keyed class's window and give_up",
			inSeconds(d.retention), inSeconds(minRetention))
	}
	return nil
}

// requiredRetention returns how long the outcome of an idempotent request has to be retained: a client may repeat the
// request until its client timeout, and engines drop repeats within the dedupe window.
func requiredRetention(site *settings.Settings) (required monotime.Micros) {
	for i := range site.Classes {
		class := &site.Classes[i]
		if class.Effect == scheduler.IdempotentByKey {
			required = max(required, class.DedupeWindow+class.ClientTimeout)
		}
	}
	return required
}
