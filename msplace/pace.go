package msplace

import "time"

// ThrottleController controls the speed of the backfill tasks on a worker that also runs tasks with
// a latency target. The interference between them differs by image and changes within
// seconds, so the ThrottleController is a feedback controller: it halves the speed as soon as a
// latency nears its target, and raises it in steps once all latencies have been well
// below their targets for some time. The zero value starts at full speed.
type ThrottleController struct {
	percent       int
	initialized   bool
	lastChange    time.Time
	headroomSince time.Time
}

const (
	// A ratio of tail latency to target above slowDownRatio slows backfill tasks down;
	// only ratios up to headroomRatio let them speed up.
	slowDownRatio = 0.85
	headroomRatio = 0.6
	// minSlowDownInterval is the minimum time between two reductions: a change takes
	// effect after 0.1 s, and the tail latency is that of the last half second.
	minSlowDownInterval = 500 * time.Millisecond
	// speedUpDelay is how long all ratios must stay within headroomRatio, and the speed
	// unchanged, before an increase.
	speedUpDelay = 1500 * time.Millisecond
	// speedUpStep is the size of an increase, fullSpeed the maximum; both in percent.
	speedUpStep = 20
	fullSpeed   = 100
)

// Decide updates the controller with the highest ratio of tail latency to target among
// the serving tasks. It returns the speed in percent, and whether it has changed.
func (p *ThrottleController) Decide(worstRatio float64, now time.Time) (percent int, changed bool) {
	if !p.initialized {
		p.initialized, p.percent = true, fullSpeed
	}
	if worstRatio > headroomRatio {
		p.headroomSince = time.Time{}
	} else if p.headroomSince.IsZero() {
		p.headroomSince = now
	}
	switch {
	case worstRatio > slowDownRatio && p.percent > 0 && now.Sub(p.lastChange) >= minSlowDownInterval:
		p.percent /= 2
		if worstRatio > 1 && p.percent < fullSpeed/4 {
			p.percent = 0
		}
	case p.percent < fullSpeed && !p.headroomSince.IsZero() && now.Sub(p.headroomSince) >= speedUpDelay && now.Sub(p.lastChange) >= speedUpDelay:
		p.percent = min(fullSpeed, p.percent+speedUpStep)
	default:
		return p.percent, false
	}
	p.lastChange = now
	return p.percent, true
}
