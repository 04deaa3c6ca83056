package msplace

import "time"

// Pacer decides at which share of their speed tasks that fill may work beside tasks
// that serve. It answers disturbance that differs by image and changes within
// seconds: it slows down by halves as soon as a serving task nears its target, and
// speeds up in steps once all have been well below for some time. The zero value
// lets them work at full speed.
type Pacer struct {
	percent int
	begun   bool
	changed time.Time
	calm    time.Time
}

const (
	// nearTarget and wellBelow are shares of a serving task's target.
	nearTarget = 0.85
	wellBelow  = 0.6
	// slowPause is the least time between two steps down: a change takes 0.1 s to
	// act, and the figure is one of the last half second.
	slowPause = 500 * time.Millisecond
	// calmTime is how long all have to be well below before a step up.
	calmTime = 1500 * time.Millisecond
	// stepUp is a step up, in percent; fullSpeed is the most.
	stepUp    = 20
	fullSpeed = 100
)

// Decide takes in the worst ratio of a serving task's tail to its target and returns
// the share, in percent, and whether it has changed.
func (p *Pacer) Decide(worst float64, now time.Time) (percent int, changed bool) {
	if !p.begun {
		p.begun, p.percent = true, fullSpeed
	}
	if worst > wellBelow {
		p.calm = time.Time{}
	} else if p.calm.IsZero() {
		p.calm = now
	}
	switch {
	case worst > nearTarget && p.percent > 0 && now.Sub(p.changed) >= slowPause:
		p.percent /= 2
		if worst > 1 && p.percent < fullSpeed/4 {
			p.percent = 0
		}
	case p.percent < fullSpeed && !p.calm.IsZero() && now.Sub(p.calm) >= calmTime && now.Sub(p.changed) >= calmTime:
		p.percent = min(fullSpeed, p.percent+stepUp)
	default:
		return p.percent, false
	}
	p.changed = now
	return p.percent, true
}
