package scale

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// FaultKind is what a fault does to its targets.
type FaultKind uint8

// The kinds.
const (
	Kill    FaultKind = iota + 1 // ends the process without a shutdown; starts it again after For, if that is set
	Restart                      // ends the process without a shutdown and starts a new one at once
	Stop                         // pauses the process for For
	Cut                          // partitions the target from all others, for For or until a Heal
	Heal                         // ends all partitions
)

var faultKinds = map[string]FaultKind{"kill": Kill, "restart": Restart, "stop": Stop, "cut": Cut, "heal": Heal}

func (k FaultKind) String() string {
	for name, kind := range faultKinds {
		if kind == k {
			return name
		}
	}
	return "unknown"
}

// TargetKind is how the targets of a fault are selected.
type TargetKind uint8

// The kinds of targets.
const (
	TargetNone     TargetKind = iota // for Heal
	TargetControl                    // the control member with this number, from 1
	TargetAttached                   // the attached front end with this number, from 1
	TargetShare                      // a percentage of all front ends, selected at random with the run's seed
	TargetZone                       // all front ends of one zone
	TargetAll                        // all front ends
)

// Target selects the front ends that a fault affects.
type Target struct {
	Kind    TargetKind
	Number  int     // of TargetControl and TargetAttached
	Percent float64 // of TargetShare
	Zone    string  // of TargetZone
}

// Fault is one fault of a script.
type Fault struct {
	At     time.Duration // since the start of the measured part of the run
	Kind   FaultKind
	Target Target
	Over   time.Duration // the targets are affected one after the other, evenly over this time; 0: all at once
	For    time.Duration // until the fault ends; 0: it does not end, or only by a Heal
}

// ScriptError reports a fault of a script that cannot be parsed or cannot be carried out.
type ScriptError struct {
	Fault  int    // number of the fault in the script, from 1
	Word   string // the invalid word; empty if a word is missing
	Reason string
}

// Error names the flag, the number of the fault and the invalid word.
func (e *ScriptError) Error() string {
	return fmt.Sprintf("--faults: fault %d: %q: %s", e.Fault, e.Word, e.Reason)
}

// ParseFaults parses a script of faults separated by semicolons. Each fault has a time, a kind, a target and optional
// durations, as in "5s kill control 1; 8s restart 10% over 2s; 12s cut zone a; 15s heal; 20s stop attached 3 for 10s".
// Errors are *ScriptError.
func ParseFaults(script string) ([]Fault, error) {
	var list []Fault
	for i, text := range strings.Split(script, ";") {
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		p := faultParser{index: i + 1, words: words}
		fault, err := p.parse()
		if err != nil {
			return nil, err
		}
		list = append(list, fault)
	}
	return list, nil
}

// faultParser parses one fault of a script.
type faultParser struct {
	index int      // number of the fault, from 1
	words []string // not consumed yet
}

func (p *faultParser) fail(word, reason string) error {
	return &ScriptError{Fault: p.index, Word: word, Reason: reason}
}

// next consumes the next word. It returns the empty string at the end.
func (p *faultParser) next() string {
	if len(p.words) == 0 {
		return ""
	}
	word := p.words[0]
	p.words = p.words[1:]
	return word
}

func (p *faultParser) parse() (f Fault, err error) {
	if f.At, err = p.duration(0); err != nil {
		return f, err
	}
	word := p.next()
	f.Kind = faultKinds[word]
	if f.Kind == 0 {
		return f, p.fail(word, "expected kill, restart, stop, cut or heal")
	}
	if f.Kind != Heal {
		if f.Target, err = p.target(); err != nil {
			return f, err
		}
	}
	if err = p.options(&f); err != nil {
		return f, err
	}
	return f, p.check(word, &f)
}

// duration parses a duration of at least the given minimum.
func (p *faultParser) duration(minimum time.Duration) (time.Duration, error) {
	word := p.next()
	d, err := time.ParseDuration(word)
	if err != nil || d < minimum {
		return 0, p.fail(word, "expected a duration such as 5s or 200ms")
	}
	return d, nil
}

// options parses the options after the target: over and for.
func (p *faultParser) options(f *Fault) (err error) {
	for len(p.words) > 0 {
		switch word := p.next(); word {
		case "over":
			f.Over, err = p.duration(time.Millisecond)
		case "for":
			f.For, err = p.duration(time.Millisecond)
		default:
			err = p.fail(word, "expected over or for")
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// check rejects options that the kind of fault does not allow, and a stop without a duration.
func (p *faultParser) check(word string, f *Fault) error {
	switch {
	case f.Kind == Stop && f.For == 0:
		return p.fail(word, "requires for")
	case (f.Kind == Restart || f.Kind == Heal) && f.For != 0:
		return p.fail(word, "does not allow for")
	case f.Kind == Heal && f.Over != 0:
		return p.fail(word, "does not allow over")
	}
	return nil
}

func (p *faultParser) target() (t Target, err error) {
	word := p.next()
	switch {
	case word == "control":
		t.Kind = TargetControl
		t.Number, err = p.number()
	case word == "attached":
		t.Kind = TargetAttached
		t.Number, err = p.number()
	case word == "zone":
		t.Kind = TargetZone
		if t.Zone = p.next(); t.Zone == "" {
			err = p.fail(word, "expected the name of a zone")
		}
	case word == "all":
		t.Kind = TargetAll
	case strings.HasSuffix(word, "%"):
		t.Kind = TargetShare
		t.Percent, err = strconv.ParseFloat(strings.TrimSuffix(word, "%"), 64)
		if err != nil || !(t.Percent > 0 && t.Percent <= 100) {
			err = p.fail(word, "expected a percentage above 0% and up to 100%")
		}
	default:
		err = p.fail(word, "expected control N, attached N, zone NAME, N% or all")
	}
	return t, err
}

func (p *faultParser) number() (int, error) {
	word := p.next()
	number, err := strconv.Atoi(word)
	if err != nil || number < 1 {
		return 0, p.fail(word, "expected a number from 1")
	}
	return number, nil
}

// CheckFaults returns a *ScriptError if a target does not exist in a fleet of this shape, or if a fault would begin
// after the measured part of the run.
func CheckFaults(list []Fault, shape Shape) error {
	zones := map[string]bool{}
	for i := range shape.Zones {
		zones[ZoneName(i)] = true
	}
	for i, f := range list {
		fail := func(word, format string, args ...any) error {
			return &ScriptError{Fault: i + 1, Word: word, Reason: fmt.Sprintf(format, args...)}
		}
		switch t := f.Target; {
		case f.At >= shape.MeasuredDuration():
			return fail(f.At.String(), "is not within --seconds %g", shape.Seconds)
		case t.Kind == TargetControl && t.Number > shape.Controls:
			return fail(strconv.Itoa(t.Number), "is above the number of control members, %d", shape.Controls)
		case t.Kind == TargetAttached && t.Number > shape.Attached():
			return fail(strconv.Itoa(t.Number), "is above the number of attached front ends, %d", shape.Attached())
		case t.Kind == TargetZone && !zones[t.Zone]:
			return fail(t.Zone, "is not one of the %d zones %s to %s", shape.Zones, ZoneName(0), ZoneName(shape.Zones-1))
		}
	}
	return nil
}
