package scale

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// FaultKind says what happens to the targets of a fault.
type FaultKind uint8

// The kinds.
const (
	Kill    FaultKind = iota + 1 // ends at once, without a word; comes back after For, where that is set
	Restart                      // ends at once and comes back as another process
	Stop                         // stands still for For, then goes on
	Cut                          // can't reach, or be reached by, any other; until For is over or a Heal
	Heal                         // ends all cuts
)

var faultKinds = map[string]FaultKind{"kill": Kill, "restart": Restart, "stop": Stop, "cut": Cut, "heal": Heal}

func (k FaultKind) String() string {
	for word, kind := range faultKinds {
		if kind == k {
			return word
		}
	}
	return "unknown"
}

// TargetKind says how a fault's targets are chosen.
type TargetKind uint8

// The kinds of targets.
const (
	TargetNone     TargetKind = iota // a heal has none
	TargetControl                    // the control member of that number, from 1
	TargetAttached                   // the attached front end of that number, from 1
	TargetShare                      // that many percent of all front ends, drawn from the run's seed
	TargetZone                       // all front ends of that zone
	TargetAll                        // all front ends
)

// Target is whom a fault befalls.
type Target struct {
	Kind    TargetKind
	Number  int     // of TargetControl and TargetAttached
	Percent float64 // of TargetShare
	Zone    string  // of TargetZone
}

// Fault is one step of a script.
type Fault struct {
	At     time.Duration // since the measured part of the run began
	Kind   FaultKind
	Target Target
	Over   time.Duration // the targets follow one another evenly over this span; 0: at once
	For    time.Duration // until it is undone; 0: never, or by a heal
}

// ScriptError is a fault that can't be understood or can't be done. It names the flag and the word.
type ScriptError struct {
	Fault  int    // from 1
	Word   string // that was not understood
	Reason string
}

// Error names the flag, the step and the word.
func (e *ScriptError) Error() string {
	return fmt.Sprintf("--faults: fault %d: %q: %s", e.Fault, e.Word, e.Reason)
}

// ParseFaults reads a script: faults with semicolons between them, each a time, a kind, whom it befalls, and how long, as in
// "5s kill control 1; 8s restart 10% over 2s; 12s cut zone a; 15s heal; 20s stop attached 3 for 10s". Errors are *ScriptError.
func ParseFaults(script string) ([]Fault, error) {
	var list []Fault
	for i, text := range strings.Split(script, ";") {
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		p := faultParser{number: i + 1, words: words}
		fault, err := p.fault()
		if err != nil {
			return nil, err
		}
		list = append(list, fault)
	}
	return list, nil
}

// faultParser reads the words of one fault.
type faultParser struct {
	number int
	words  []string
}

func (p *faultParser) fail(word, reason string) error {
	return &ScriptError{Fault: p.number, Word: word, Reason: reason}
}

// next takes the next word; empty at the end.
func (p *faultParser) next() string {
	if len(p.words) == 0 {
		return ""
	}
	word := p.words[0]
	p.words = p.words[1:]
	return word
}

func (p *faultParser) fault() (f Fault, err error) {
	if f.At, err = p.span(0); err != nil {
		return f, err
	}
	word := p.next()
	f.Kind = faultKinds[word]
	if f.Kind == 0 {
		return f, p.fail(word, "no fault: kill, restart, stop, cut or heal")
	}
	if f.Kind != Heal {
		if f.Target, err = p.target(); err != nil {
			return f, err
		}
	}
	if err = p.spans(&f); err != nil {
		return f, err
	}
	return f, p.check(word, &f)
}

// span reads a duration above the least.
func (p *faultParser) span(least time.Duration) (time.Duration, error) {
	word := p.next()
	span, err := time.ParseDuration(word)
	if err != nil || span < least {
		return 0, p.fail(word, "no time such as 5s or 200ms")
	}
	return span, nil
}

// spans reads what stands behind the target.
func (p *faultParser) spans(f *Fault) (err error) {
	for len(p.words) > 0 {
		switch word := p.next(); word {
		case "over":
			f.Over, err = p.span(time.Millisecond)
		case "for":
			f.For, err = p.span(time.Millisecond)
		default:
			err = p.fail(word, "neither over nor for")
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// check refuses what makes no sense together.
func (p *faultParser) check(word string, f *Fault) error {
	switch {
	case f.Kind == Stop && f.For == 0:
		return p.fail(word, "stands without for")
	case (f.Kind == Restart || f.Kind == Heal) && f.For != 0:
		return p.fail(word, "takes no for")
	case f.Kind == Heal && f.Over != 0:
		return p.fail(word, "takes no over")
	}
	return nil
}

func (p *faultParser) target() (t Target, err error) {
	word := p.next()
	switch {
	case word == "control":
		t.Kind = TargetControl
		t.Number, err = p.count()
	case word == "attached":
		t.Kind = TargetAttached
		t.Number, err = p.count()
	case word == "zone":
		t.Kind = TargetZone
		if t.Zone = p.next(); t.Zone == "" {
			err = p.fail(word, "without the zone's name")
		}
	case word == "all":
		t.Kind = TargetAll
	case strings.HasSuffix(word, "%"):
		t.Kind = TargetShare
		t.Percent, err = strconv.ParseFloat(strings.TrimSuffix(word, "%"), 64)
		if err != nil || !(t.Percent > 0 && t.Percent <= 100) {
			err = p.fail(word, "no share above 0% up to 100%")
		}
	default:
		err = p.fail(word, "no target: control N, attached N, zone NAME, N% or all")
	}
	return t, err
}

func (p *faultParser) count() (int, error) {
	word := p.next()
	number, err := strconv.Atoi(word)
	if err != nil || number < 1 {
		return 0, p.fail(word, "no number from 1")
	}
	return number, nil
}

// CheckFaults refuses faults that a fleet can't have: a target that isn't there, or a time after the run's end.
func CheckFaults(list []Fault, shape Shape) error {
	zones := map[string]bool{}
	for i := range shape.Zones {
		zones[ZoneName(i)] = true
	}
	for i, f := range list {
		fail := func(word, form string, args ...any) error {
			return &ScriptError{Fault: i + 1, Word: word, Reason: fmt.Sprintf(form, args...)}
		}
		switch t := f.Target; {
		case f.At >= shape.Span():
			return fail(f.At.String(), "not within --seconds %g", shape.Seconds)
		case t.Kind == TargetControl && t.Number > shape.Controls:
			return fail(strconv.Itoa(t.Number), "above the %d control members", shape.Controls)
		case t.Kind == TargetAttached && t.Number > shape.Attached():
			return fail(strconv.Itoa(t.Number), "above the %d attached front ends", shape.Attached())
		case t.Kind == TargetZone && !zones[t.Zone]:
			return fail(t.Zone, "none of the %d zones %s to %s", shape.Zones, ZoneName(0), ZoneName(shape.Zones-1))
		}
	}
	return nil
}
