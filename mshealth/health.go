// Package mshealth rates workers by how reliably and how fast they run tasks, and says
// how far each may be used.
//
// The load it is for: a seventh of a pool's workers fail all or some of the tasks they
// start for seconds, hang, turn slow or flap, while they report to be healthy. A worker
// that fails at once is always free and would get ever more tasks. Other failures are the
// fault of the tasks: an image that fails everywhere must not take workers out of use.
//
// It does no I/O and starts no goroutines. Its types are not safe for concurrent use.
package mshealth

import (
	"math"
	"time"
)

// State is how far a worker may be used.
type State int

const (
	// Sound workers are used without limits.
	Sound State = iota
	// Slow workers get only tasks that nothing better can take.
	Slow
	// Suspect workers have failed a task lately that others would have run. They get one
	// task at a time, and only tasks that nothing better can take.
	Suspect
	// Probation is after Out: one task at a time, until some have succeeded.
	Probation
	// Out workers get no tasks for a time.
	Out
	states
)

// String returns the name of the state, as in logs and metrics.
func (s State) String() string {
	return [...]string{"sound", "slow", "suspect", "probation", "out"}[s]
}

// States returns all states.
func States() []State {
	all := make([]State, states)
	for i := range all {
		all[i] = State(i)
	}
	return all
}

const (
	// badFailureRate is the failure rate that a bad worker is assumed to have: bad workers
	// fail 40 to 100% of their tasks.
	badFailureRate = 0.5
	// maxFailureWeight bounds the evidence of one failure, so that a single one never takes
	// a worker out of use.
	maxFailureWeight = 2.5
	// successWeight is the evidence of a success against a worker being bad, the logarithm
	// of 1/(1-badFailureRate) rounded down: with 0.69 workers that fail 40% of their tasks
	// stay in use for twice as long.
	successWeight = 0.5
	// suspectScore and outScore are the evidence from which a worker is suspect and out of
	// use. Where failures are rare the first failure reaches suspectScore and the second,
	// if not more than two tasks succeed in between, outScore.
	suspectScore = 1.2
	outScore     = 4.0
	// maxScore bounds the evidence, so that a worker can clear itself.
	maxScore = 6.0
	// scoreHalfLife is the time in which evidence loses half of its weight. A suspect
	// worker, which may get no tasks, is sound again after it.
	scoreHalfLife = 6 * time.Second
	// firstPause is the first time out of use. It doubles each time up to maxPause. With 2 s
	// a busy pool had twice as many late tasks on workers that hang for 6 s: each return
	// too early costs a caller its objective.
	firstPause = 4 * time.Second
	maxPause   = 30 * time.Second
	// maxLevel is the level from which a pause is as long as it may be.
	maxLevel = 4
	// levelDecay is after how long in use a worker's next pause is halved again.
	levelDecay = 30 * time.Second
	// probationSuccesses is how many tasks must succeed to end a probation.
	probationSuccesses = 2
	// maxProbation is how long a probation lasts if the worker gets no tasks, as others have
	// room. It is suspect for a short time then, and one more failure takes it out again.
	maxProbation = 8 * time.Second
	// lossWeight is the evidence of a loss of contact or a crash: the second within three
	// seconds takes the worker out of use. explainedLossWeight applies while tasks that
	// have just started may be the cause; the worker then gets no more tasks that others
	// can take, so that its next loss has no such explanation.
	lossWeight          = 2.4
	explainedLossWeight = 1.3
	// refusalWeight is the evidence of a refused start, unansweredWeight that of one
	// without an answer.
	refusalWeight    = 0.8
	unansweredWeight = 1.3
	// goodEndSpan is how long after a success refusals do not count: the worker works.
	goodEndSpan = 3 * time.Second
	// stallWeight is the evidence of a task whose progress stands still. Alone it takes a
	// worker out of use.
	stallWeight = outScore
)

// Table has what is known of workers, by key: the VM's name, or the worker's ID if that is
// not known. The zero value is empty and ready to use.
type Table struct {
	workers map[string]*Worker
	pools   map[string]*group
	images  map[string]*group
	racks   map[string]*rack
	// RackSize and PoolSize are the numbers of workers, which the caller keeps up to date.
	RackSize, PoolSize map[string]int
	changes            []Change
	// outChanges and slowChanges count the changes since the latest record.
	outChanges, slowChanges int
	recordedAt              time.Time
}

// Change is a change of a worker's state.
type Change struct {
	Key, Pool, Rack string
	From, To        State
	Reason          string
	// Pause is how long the worker is out of use, Ratio its speed ratio.
	Pause time.Duration
	Ratio float64
}

// group has the aged ends of the tasks of a pool or an image, and their run times.
type group struct {
	ends, failures float64
	agedAt         time.Time
	ratios         window
	// progresses says that the image's tasks report how far they are.
	progresses bool
	// asked counts the requests for progress while that is not known.
	asked int
}

// Worker is what is known of one worker. It stays with the VM across restarts.
type Worker struct {
	key, pool, rack string
	score           float64
	scoreAt         time.Time
	// level counts the times out of use lately.
	level     int
	levelAt   time.Time
	outUntil  time.Time
	successes int
	onTrial   bool
	// charged are the failures that count in the groups, which are taken back once the
	// worker is found to be the cause.
	charged map[*group]float64
	// failedJobs are the jobs that have failed since the worker was sound.
	failedJobs map[string]bool
	goodAt     time.Time
	usedAt     time.Time
	// losses counts the losses of contact lately, lostAt is the latest. unsteady says that
	// the worker has to be in contact for a time before it gets tasks.
	losses   int
	lostAt   time.Time
	unsteady bool
	// rackFault says that the latest pause is due to the whole rack.
	rackFault bool
	state     State
	stateAt   time.Time
	speed
}

// Worker returns the entry of a worker and adds it if it is unknown. pool and rack are the
// present ones.
func (t *Table) Worker(key, pool, rack string, now time.Time) *Worker {
	w := t.workers[key]
	if w == nil {
		if t.workers == nil {
			t.workers = map[string]*Worker{}
		}
		w = &Worker{key: key}
		t.workers[key] = w
	}
	w.pool, w.rack, w.usedAt = pool, rack, now
	return w
}

// Find returns the entry of a worker, or nil.
func (t *Table) Find(key string) *Worker {
	return t.workers[key]
}

// Failure says what failed and beside what.
type Failure struct {
	// Job is the job of the task, Image what the task runs.
	Job, Image string
	// Elsewhere is set if the job has had failures on other workers that are in use, so
	// that the job is the likely cause.
	Elsewhere bool
}

// Succeeded counts a task that has succeeded.
func (t *Table) Succeeded(w *Worker, image string, now time.Time) {
	for _, g := range t.groupsOf(w, image, now) {
		g.ends++
	}
	w.ageScore(now)
	w.score = max(0, w.score-successWeight)
	w.goodAt = now
	if w.onTrial && !now.Before(w.outUntil) {
		w.successes++
		if w.successes >= probationSuccesses {
			t.endProbation(w)
		}
	}
	t.update(w, now, "tasks succeed")
}

// endProbation returns a worker to use. If its whole rack had failed, the other workers of
// the rack need not prove themselves.
func (t *Table) endProbation(w *Worker) {
	w.onTrial, w.score = false, 0
	if !w.rackFault {
		return
	}
	for _, o := range t.workers {
		if o.rack == w.rack && o.rackFault {
			o.onTrial, o.score, o.rackFault = false, 0, false
			o.outUntil = time.Time{}
		}
	}
}

// Failed counts a task that has failed.
func (t *Table) Failed(w *Worker, f Failure, now time.Time) {
	groups := t.groupsOf(w, f.Image, now)
	rate := 0.0
	for i, g := range groups {
		prior := priorEnds
		if i > 0 {
			prior = priorImageEnds
		}
		rate = max(rate, g.failureRate(prior))
	}
	if f.Elsewhere {
		rate = max(rate, elsewhereFailureRate)
	}
	weight := min(maxFailureWeight, max(0, math.Log(badFailureRate/rate)))
	if w.failedJobs[f.Job] {
		weight = min(weight, sameJobWeight)
	}
	if w.failedJobs == nil || len(w.failedJobs) >= maxFailedJobs {
		w.failedJobs = map[string]bool{}
	}
	w.failedJobs[f.Job] = true
	for _, g := range groups {
		if w.charged == nil {
			w.charged = map[*group]float64{}
		}
		if w.charged[g] < maxCharge || w.state == Sound {
			w.charged[g]++
			g.failures++
			g.ends++
		}
	}
	t.add(w, weight, now, "tasks fail")
}

// maxFailedJobs bounds the jobs that are told apart by worker.
const maxFailedJobs = 64

const (
	// elsewhereFailureRate is the failure rate assumed for a job that fails elsewhere too.
	elsewhereFailureRate = 0.3
	// sameJobWeight is the evidence of a further failure of the same job on a worker. A job
	// whose eight tasks all fail on one worker must not take it out of use.
	sameJobWeight = 0.2
)

// maxCharge bounds the failures of a worker that is no longer sound in the failure rate of
// its pool. Without it a few bad workers make failures look usual.
const maxCharge = 1

// Stalled counts a task whose progress stands still.
func (t *Table) Stalled(w *Worker, now time.Time) {
	t.add(w, stallWeight, now, "a task stands still")
}

// Refused counts a start that the worker refused as unhealthy. A worker whose tasks end
// well is not blamed.
func (t *Table) Refused(w *Worker, now time.Time) {
	if now.Sub(w.goodAt) > goodEndSpan {
		t.add(w, refusalWeight, now, "starts are refused")
	}
}

// Unanswered counts a start without an answer.
func (t *Table) Unanswered(w *Worker, now time.Time) {
	t.add(w, unansweredWeight, now, "starts are not answered")
}

// Dropped counts a task that the worker has taken and neither runs nor has ended.
func (t *Table) Dropped(w *Worker, now time.Time) {
	t.add(w, unansweredWeight, now, "tasks vanish")
}

// Lost counts a loss of contact, a crash or a restart that nobody has ordered. explained is
// set if tasks had just started there.
func (t *Table) Lost(w *Worker, explained bool, now time.Time) {
	if now.Sub(w.lostAt) > lossMemory {
		w.losses = 0
	}
	w.losses++
	w.rackFault = w.rackFault && w.onTrial
	w.lostAt, w.unsteady = now, !explained || w.losses > 1
	if t.rackFails(w, now) {
		w.unsteady = false
		return
	}
	weight := lossWeight
	if explained {
		weight = explainedLossWeight
	}
	t.add(w, weight, now, "contact is lost")
}

const (
	// steadyPause is how long a worker that was lost must be in contact before it gets tasks.
	// It doubles with each loss up to eight times. Workers that flap are down again within
	// 1.4 s.
	steadyPause    = 1500 * time.Millisecond
	maxSteadyShift = 3
	// lossMemory is how long after a loss the next one counts as another of the same cause.
	lossMemory = 10 * time.Second
)

// Found tells that the worker answers again.
func (t *Table) Found(w *Worker, now time.Time) {
	if !w.unsteady {
		return
	}
	w.unsteady = false
	if until := now.Add(steadyPause << min(w.losses-1, maxSteadyShift)); until.After(w.outUntil) {
		w.outUntil = until
	}
	t.update(w, now, "contact was lost")
}

// add adds evidence that the worker is bad.
func (t *Table) add(w *Worker, weight float64, now time.Time, reason string) {
	w.ageScore(now)
	if now.Before(w.outUntil) {
		// Tasks that started before still end.
		return
	}
	w.score = min(maxScore, w.score+weight)
	if w.score >= outScore {
		t.takeOut(w, now, reason)
		return
	}
	t.update(w, now, reason)
}

// takeOut takes a worker out of use, each time for longer. At most half of a pool is out: if
// more workers fail, something else is the cause.
func (t *Table) takeOut(w *Worker, now time.Time, reason string) {
	if t.halfIsOut(w, now) {
		t.update(w, now, reason)
		return
	}
	if w.levelAt.IsZero() {
		w.levelAt = now
	}
	w.level = max(0, w.level-int(now.Sub(w.levelAt)/levelDecay))
	pause := min(maxPause, firstPause<<w.level)
	w.rackFault = t.rackFails(w, now)
	if !w.rackFault {
		w.level = min(w.level+1, maxLevel)
	}
	w.outUntil = now.Add(pause)
	w.levelAt = w.outUntil
	w.onTrial, w.successes = true, 0
	// One more failure after the pause takes it out again.
	w.score = outScore - maxFailureWeight
	for g, n := range w.charged {
		g.failures, g.ends = max(0, g.failures-n), max(0, g.ends-n)
		delete(w.charged, g)
	}
	t.update(w, now, reason)
}

// halfIsOut reports whether more than half of the worker's pool would be out of use with it.
func (t *Table) halfIsOut(w *Worker, now time.Time) bool {
	size := t.PoolSize[w.pool]
	if size == 0 {
		return false
	}
	out := 1
	for _, o := range t.workers {
		if o != w && o.pool == w.pool && now.Before(o.outUntil) {
			out++
		}
	}
	return 2*out > size
}

// update sets the state that follows from the evidence, and notes a change.
func (t *Table) update(w *Worker, now time.Time, reason string) {
	s := Sound
	if w.onTrial && now.Sub(w.outUntil) > maxProbation {
		w.onTrial, w.scoreAt = false, w.outUntil.Add(maxProbation)
	}
	w.ageScore(now)
	switch {
	case now.Before(w.outUntil):
		s = Out
	case w.onTrial:
		s = Probation
	case w.score >= suspectScore:
		s = Suspect
	case w.Ratio(now) >= t.slowFrom(w.pool):
		s = Slow
	}
	if s == w.state {
		return
	}
	c := Change{Key: w.key, Pool: w.pool, Rack: w.rack, From: w.state, To: s, Reason: reason, Ratio: w.Ratio(now)}
	if s == Out {
		c.Pause = w.outUntil.Sub(now)
	}
	if s == Sound {
		clear(w.charged)
		clear(w.failedJobs)
	}
	switch {
	case s == Out || w.state == Probation:
		t.outChanges++
	case s == Slow || w.state == Slow:
		t.slowChanges++
	}
	w.state, w.stateAt = s, now
	t.changes = append(t.changes, c)
}

// ageScore lets evidence fade. On probation only successes clear a worker.
func (w *Worker) ageScore(now time.Time) {
	if !w.onTrial && !w.scoreAt.IsZero() && w.score > 0 {
		w.score *= math.Exp2(-float64(now.Sub(w.scoreAt)) / float64(scoreHalfLife))
	}
	w.scoreAt = now
}

// State returns how far the worker may be used now.
func (t *Table) State(w *Worker, now time.Time) State {
	if w.state != Sound || w.score > 0 || w.leastRatio > 0 {
		t.update(w, now, "time has passed")
	}
	return w.state
}

// Proven rates, from 0 to 1, how lately the worker has run a task well; it is 0 once it has
// run one badly since.
func (t *Table) Proven(w *Worker, now time.Time) float64 {
	if w.state != Sound || w.score > 0 || w.goodAt.IsZero() {
		return 0
	}
	return max(0, 1-float64(now.Sub(w.goodAt))/float64(provenSpan))
}

// WorkedSince reports whether a task has succeeded on the worker since the given time.
func (t *Table) WorkedSince(w *Worker, since time.Time) bool {
	return w.goodAt.After(since)
}

// provenSpan is how long after a success a worker counts as proven: workers turn bad for
// seconds.
const provenSpan = 2 * time.Second

// BadFor returns how long the worker has been slow or out of use, or 0.
func (w *Worker) BadFor(now time.Time) time.Duration {
	if w.state != Slow && w.state != Out {
		return 0
	}
	return now.Sub(w.stateAt)
}

// Throughput is the fraction of a sound worker's work that the worker does, for the size of
// pools and the load.
func (t *Table) Throughput(w *Worker, now time.Time) float64 {
	switch t.State(w, now) {
	case Out:
		return 0
	case Probation, Suspect:
		return limitedThroughput
	case Sound, Slow, states:
	}
	ratio, usual := w.Ratio(now), t.poolRatio(w.pool)
	if ratio < t.slowFrom(w.pool) {
		return 1
	}
	return usual / ratio
}

// RiskSlowdown is how many times longer a task takes on average on a suspect worker or one on
// probation, as it may have to start again: with a failure rate of a half and failures at any
// time, half a run time is lost. A task waits as long for another worker.
const RiskSlowdown = 1.5

// limitedThroughput is that of a worker that gets one task at a time: a few of the dozen
// that fit on a worker, and they may fail.
const limitedThroughput = 0.1

// Changes returns the changes of state since the last call.
func (t *Table) Changes() []Change {
	c := t.changes
	t.changes = nil
	return c
}

// forgetAfter is how long an unused entry is kept.
const forgetAfter = 10 * time.Minute

// Prune forgets workers that have not been seen for long.
func (t *Table) Prune(now time.Time) {
	for key, w := range t.workers {
		if now.Sub(w.usedAt) > forgetAfter {
			delete(t.workers, key)
		}
	}
	for _, groups := range []map[string]*group{t.pools, t.images} {
		for name, g := range groups {
			if now.Sub(g.agedAt) > forgetAfter {
				delete(groups, name)
			}
		}
	}
}

// Count returns the workers by state.
func (t *Table) Count() map[State]int {
	n := map[State]int{}
	for _, w := range t.workers {
		n[w.state]++
	}
	return n
}

// groupsOf returns the worker's pool and the image, aged to now.
func (t *Table) groupsOf(w *Worker, image string, now time.Time) []*group {
	if t.pools == nil {
		t.pools, t.images = map[string]*group{}, map[string]*group{}
	}
	all := []*group{groupIn(t.pools, w.pool, now)}
	if image != "" && (t.images[image] != nil || len(t.images) < maxImages) {
		all = append(all, groupIn(t.images, image, now))
	}
	return all
}

// maxImages bounds the images that are told apart.
const maxImages = 1000

func groupIn(groups map[string]*group, name string, now time.Time) *group {
	g := groups[name]
	if g == nil {
		g = &group{agedAt: now}
		groups[name] = g
	}
	f := math.Exp2(-float64(now.Sub(g.agedAt)) / float64(rateHalfLife))
	g.ends, g.failures, g.agedAt = g.ends*f, g.failures*f, now
	return g
}

const (
	// rateHalfLife is the time in which ends lose half of their weight in a failure rate.
	rateHalfLife = 10 * time.Second
	// priorEnds and priorFailures stand for what is usual before anything has ended: most
	// tasks fail once in hundreds of attempts. priorImageEnds is lower, so that an image
	// that fails everywhere is known after some failures.
	priorEnds      = 40.0
	priorImageEnds = 10.0
	priorFailures  = 0.1
)

func (g *group) failureRate(prior float64) float64 {
	return min(badFailureRate, (g.failures+priorFailures)/(g.ends+prior))
}
