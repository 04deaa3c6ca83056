package msplace

import "time"

// TeamLimiter is a token bucket per team that tells which jobs are within the team's
// share. It protects other teams, and the team's own jobs within the share, from a
// team that submits many times its usual load: jobs beyond the share only get the
// capacity that the others leave. In the zero value all buckets are full.
type TeamLimiter struct {
	teams map[string]*tokenBucket
}

type tokenBucket struct {
	tokens   float64
	refilled time.Time
}

// burstSeconds is the bucket size, in seconds of the team's rate.
const burstSeconds = 1.0

// Allow counts a job that a team submitted at the given time and reports whether it is
// within the team's share of weight jobs per second. A weight of 0 is no limit.
func (a *TeamLimiter) Allow(team string, weight float64, at time.Time) bool {
	if team == "" || weight <= 0 {
		return true
	}
	if a.teams == nil {
		a.teams = map[string]*tokenBucket{}
	}
	burst := max(1, weight*burstSeconds)
	b := a.teams[team]
	if b == nil {
		b = &tokenBucket{tokens: burst, refilled: at}
		a.teams[team] = b
	}
	if elapsed := at.Sub(b.refilled); elapsed > 0 {
		b.tokens = min(burst, b.tokens+elapsed.Seconds()*weight)
		b.refilled = at
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Exceeded reports whether the team's next job would exceed its share. It counts nothing.
func (a *TeamLimiter) Exceeded(team string, weight float64, at time.Time) bool {
	b := a.teams[team]
	return b != nil && weight > 0 && b.tokens+max(0, at.Sub(b.refilled).Seconds())*weight < 1
}
