package msstandin

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

// JobWorker runs attempts of tasks in memory. What an attempt does stands in its
// job's spec: "run=300ms" is how long it takes, "fail=2" lets the first two attempts
// of every task fail, and "crash=1" lets the task with index 1 of every step crash its
// worker, "crash-after=1s" how long after its start. Such a task has no end of its own, however
// late the crash is. With "unanswered", the start that
// crashes the worker gets no answer. With "stuck", attempts show no progress. With "checkpoints", each attempt has checkpoints of its
// own, which differ from report to report. The fields are set before use.
type JobWorker struct {
	Worker msworker.Worker
	// Clock is the system's by default.
	Clock msclock.Clock
	// FirstClock is what the worker's own clock shows as a life begins.
	FirstClock time.Duration
	// MaxLease, if not 0, is the longest lease. Longer ones are shortened to it.
	MaxLease time.Duration
	// Journal, if set, hears of every start and end.
	Journal *JobJournal
	// OnCrash is called, without locks held, when a task has crashed the worker.
	OnCrash func(worker string)

	mu      sync.Mutex
	born    time.Time
	begun   bool
	token   int64
	until   time.Duration
	running map[jobRun]*running
	barred  map[msjob.TaskID]int
	ended   []msworker.End
	n       int64
	down    bool
	changed chan struct{}
	// loseStarts is how many answers to starts are still lost.
	loseStarts int
}

type jobRun struct {
	task    msjob.TaskID
	attempt int
}

type running struct {
	begun    time.Time
	takes    time.Duration
	fails    bool
	lasting  bool
	percent  int
	stopping bool
	// checkpoints says that the attempt has checkpoints, stuck that it shows no progress,
	// crashes that it will crash its worker.
	checkpoints, stuck, crashes bool
}

// checkpoint returns a checkpoint of an attempt on a worker, or "" if it has none.
func (r *running) checkpoint(worker string, now time.Time) string {
	if !r.checkpoints {
		return ""
	}
	return fmt.Sprintf("%s-%d", worker, now.Sub(r.begun).Milliseconds())
}

// progress is how far an attempt is, or the share at which a lasting one works.
func (r *running) progress(now time.Time) int {
	if r.lasting || r.takes <= 0 {
		return r.percent
	}
	if r.stuck {
		return 0
	}
	return int(min(99, 100*now.Sub(r.begun)/r.takes))
}

// lastingSpec marks tasks that run until they are stopped.
const lastingSpec = "lasting"

// Orders returns the calls to workers found by id.
func Orders(find func(id string) *JobWorker) msworker.Orders {
	silent := func(ctx context.Context, w msworker.Worker) error {
		<-ctx.Done()
		return &msworker.Error{Worker: w.ID, Reason: msworker.Unknown, Err: ctx.Err()}
	}
	return msworker.Orders{
		Start: func(ctx context.Context, w msworker.Worker, s msworker.Start) (time.Duration, error) {
			if j := find(w.ID); j != nil {
				if born := j.Born().UnixMilli(); w.ProcessStart != born {
					return 0, &msworker.Error{Worker: w.ID, Reason: msworker.NotSent, ProcessStart: born}
				}
				return j.Start(ctx, s)
			}
			return 0, silent(ctx, w)
		},
		Stop: func(ctx context.Context, w msworker.Worker, s msworker.Stop) (time.Duration, error) {
			if j := find(w.ID); j != nil {
				return j.Stop(ctx, s)
			}
			return 0, silent(ctx, w)
		},
		Throttle: func(ctx context.Context, w msworker.Worker, p msworker.Throttle) (time.Duration, error) {
			if j := find(w.ID); j != nil {
				return j.Pace(ctx, p)
			}
			return 0, silent(ctx, w)
		},
		RenewLease: func(ctx context.Context, w msworker.Worker, h msworker.LeaseRenewal) (msworker.Report, error) {
			if j := find(w.ID); j != nil {
				if w.ProcessStart != j.Born().UnixMilli() {
					h = msworker.LeaseRenewal{Token: h.Token}
				}
				return j.Hold(ctx, h)
			}
			return msworker.Report{}, silent(ctx, w)
		},
	}
}

func (w *JobWorker) now() time.Time {
	if w.Clock == nil {
		w.Clock = msclock.System{}
	}
	return w.Clock.Now()
}

func (w *JobWorker) begin() {
	if w.begun {
		return
	}
	w.begun, w.born = true, w.now()
	w.running, w.barred = map[jobRun]*running{}, map[msjob.TaskID]int{}
	w.changed = make(chan struct{})
}

// Born returns when the worker's life began, and begins it if it has not.
func (w *JobWorker) Born() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begin()
	return w.born
}

// Restart ends the worker's life and begins another under the same id.
func (w *JobWorker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart(w.FirstClock)
}

// RestartAt is Restart for a life whose own clock shows the given time as it begins.
func (w *JobWorker) RestartAt(clock time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart(clock)
}

func (w *JobWorker) restart(clock time.Duration) {
	w.begin()
	w.advance()
	now := w.now()
	for k := range w.running {
		w.Journal.end(k, now, "gone")
	}
	w.begun, w.token, w.until, w.ended, w.n = false, 0, 0, nil, 0
	w.FirstClock = clock
	w.begin()
}

// SetDown makes the worker silent; what it runs goes on.
func (w *JobWorker) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// LoseStarts lets the worker carry out the next n starts without an answer.
func (w *JobWorker) LoseStarts(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseStarts = n
}

// clock is the worker's own clock.
func (w *JobWorker) clock() time.Duration {
	return w.FirstClock + w.now().Sub(w.born)
}

// extendLease takes the end of a lease on the worker's own clock. The caller holds mu.
func (w *JobWorker) extendLease(until time.Duration) {
	if w.MaxLease > 0 {
		until = min(until, w.clock()+w.MaxLease)
	}
	w.until = max(w.until, until)
}

// advance ends what has ended since the last call, at the time at which it did. The caller holds mu.
func (w *JobWorker) advance() {
	now := w.now()
	clock := w.clock()
	lapsed := w.until > 0 && clock > w.until
	if lapsed {
		now = now.Add(w.until - clock)
	}
	var done []jobRun
	for k, r := range w.running {
		if r.stopping || !r.lasting && !r.crashes && now.Sub(r.begun) >= r.takes {
			done = append(done, k)
		}
	}
	sort.Slice(done, func(i, k int) bool { return done[i].task.String() < done[k].task.String() })
	for _, k := range done {
		r := w.running[k]
		switch {
		case r.stopping:
			w.end(k, msworker.EndStopped, now)
		case r.fails:
			w.end(k, msworker.EndFailed, r.begun.Add(r.takes))
		default:
			w.end(k, msworker.EndDone, r.begun.Add(r.takes))
		}
	}
	if !lapsed {
		return
	}
	for _, e := range w.ended {
		w.Journal.lapse(jobRun{task: e.Task, attempt: e.Attempt}, w.Worker.ID)
	}
	for k := range w.running {
		w.end(k, msworker.EndLapsed, now)
	}
}

func (w *JobWorker) end(k jobRun, how msworker.EndReason, now time.Time) {
	checkpoint := w.running[k].checkpoint(w.Worker.ID, now)
	delete(w.running, k)
	w.barred[k.task] = max(w.barred[k.task], k.attempt)
	w.n++
	w.ended = append(w.ended, msworker.End{Seq: w.n, Task: k.task, Attempt: k.attempt, Reason: how, Checkpoint: checkpoint})
	w.Journal.end(k, now, string(how))
	close(w.changed)
	w.changed = make(chan struct{})
}

// enter checks what every order is checked for. The caller holds mu.
func (w *JobWorker) enter(token int64) *msworker.Error {
	w.begin()
	w.advance()
	if token < w.token {
		return &msworker.Error{Worker: w.Worker.ID, Reason: msworker.Fenced}
	}
	w.token = token
	return nil
}

func (w *JobWorker) silent(ctx context.Context) error {
	w.mu.Lock()
	down := w.down
	w.mu.Unlock()
	if !down {
		return nil
	}
	<-ctx.Done()
	return &msworker.Error{Worker: w.Worker.ID, Reason: msworker.Unknown, Err: ctx.Err()}
}

// Start begins an attempt.
func (w *JobWorker) Start(ctx context.Context, s msworker.Start) (time.Duration, error) {
	if err := w.silent(ctx); err != nil {
		return 0, err
	}
	w.mu.Lock()
	err := w.start(s)
	clock := w.clock()
	lose := w.loseStarts > 0
	if lose {
		w.loseStarts--
	}
	crashes, after, unanswered := crashSpec(s)
	if err == nil && crashes && w.OnCrash != nil {
		lose = lose || unanswered
		go w.crash(after)
	}
	w.mu.Unlock()
	if lose {
		<-ctx.Done()
		return 0, &msworker.Error{Worker: w.Worker.ID, Reason: msworker.Unknown, Err: ctx.Err()}
	}
	if err != nil {
		return clock, err
	}
	return clock, nil
}

func (w *JobWorker) start(s msworker.Start) error {
	if err := w.enter(s.Token); err != nil {
		return err
	}
	if s.Until <= w.clock() {
		return &msworker.Error{Worker: w.Worker.ID, Reason: msworker.Late}
	}
	w.extendLease(s.Until)
	k := jobRun{task: s.Task, attempt: s.Attempt}
	if w.running[k] != nil {
		return nil
	}
	if s.Attempt <= w.barred[s.Task] {
		return &msworker.Error{Worker: w.Worker.ID, Reason: msworker.Stale}
	}
	r := &running{begun: w.now(), percent: 100}
	r.takes, r.fails, r.lasting = parseSpec(s.Spec, s.Attempt)
	r.checkpoints = slices.Contains(strings.Fields(s.Spec), "checkpoints")
	r.stuck = slices.Contains(strings.Fields(s.Spec), "stuck")
	crashes, _, _ := crashSpec(s)
	r.crashes = crashes && w.OnCrash != nil
	w.running[k] = r
	w.Journal.start(k, w.Worker.ID, s.Checkpoint, r.begun)
	return nil
}

// crashDelay is how long after its start a task crashes its worker unless its spec says.
const crashDelay = 10 * time.Millisecond

func (w *JobWorker) crash(after time.Duration) {
	_ = msclock.Sleep(context.Background(), w.Clock, after)
	w.OnCrash(w.Worker.ID)
}

// crashSpec reads whether and when a task crashes its worker, and whether its start is
// answered.
func crashSpec(s msworker.Start) (crashes bool, after time.Duration, unanswered bool) {
	after = crashDelay
	for _, f := range strings.Fields(s.Spec) {
		name, value, _ := strings.Cut(f, "=")
		crashes = crashes || name == "crash" && value == strconv.Itoa(s.Task.Index)
		unanswered = unanswered || name == "unanswered"
		if d, err := time.ParseDuration(value); name == "crash-after" && err == nil {
			after = d
		}
	}
	return crashes, after, unanswered
}

// parseSpec reads what an attempt does.
func parseSpec(spec string, attempt int) (takes time.Duration, fails, lasting bool) {
	for _, f := range strings.Fields(spec) {
		name, value, _ := strings.Cut(f, "=")
		switch name {
		case "run":
			takes, _ = time.ParseDuration(value) // A spec without a time runs for none.
		case "fail":
			n, _ := strconv.Atoi(value)
			fails = attempt <= n
		case lastingSpec:
			lasting = true
		}
	}
	return takes, fails, lasting
}

// Stop ends an attempt or keeps it from beginning.
func (w *JobWorker) Stop(ctx context.Context, s msworker.Stop) (time.Duration, error) {
	if err := w.silent(ctx); err != nil {
		return 0, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(s.Token); err != nil {
		return w.clock(), err
	}
	w.barred[s.Task] = max(w.barred[s.Task], s.Attempt)
	if r := w.running[jobRun{task: s.Task, attempt: s.Attempt}]; r != nil {
		r.stopping = true
	}
	w.advance()
	return w.clock(), nil
}

// Pace sets the share of its speed at which an attempt works.
func (w *JobWorker) Pace(ctx context.Context, p msworker.Throttle) (time.Duration, error) {
	if err := w.silent(ctx); err != nil {
		return 0, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(p.Token); err != nil {
		return w.clock(), err
	}
	if r := w.running[jobRun{task: p.Task, attempt: p.Attempt}]; r != nil {
		r.percent = p.Percent
	}
	return w.clock(), nil
}

// holdLook is the pause between two looks for an end while a hold waits.
const holdLook = 5 * time.Millisecond

// Hold renews the lease and lists what runs and what has ended.
func (w *JobWorker) Hold(ctx context.Context, h msworker.LeaseRenewal) (msworker.Report, error) {
	if err := w.silent(ctx); err != nil {
		return msworker.Report{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(h.Token); err != nil {
		return msworker.Report{}, err
	}
	if h.Until > 0 {
		w.extendLease(h.Until)
	}
	for len(w.ended) > 0 && w.ended[0].Seq <= h.Acked {
		w.Journal.ack(jobRun{task: w.ended[0].Task, attempt: w.ended[0].Attempt}, w.Worker.ID)
		w.ended = w.ended[1:]
	}
	until := w.now().Add(h.Wait)
	for len(w.ended) == 0 && w.now().Before(until) && ctx.Err() == nil {
		w.mu.Unlock()
		_ = msclock.Sleep(ctx, w.Clock, holdLook)
		w.mu.Lock()
		w.advance()
	}
	if w.down || ctx.Err() != nil {
		return msworker.Report{}, &msworker.Error{Worker: w.Worker.ID, Reason: msworker.Unknown, Err: ctx.Err()}
	}
	r := msworker.Report{ProcessStart: w.born.UnixMilli(), Clock: w.clock()}
	for k, a := range w.running {
		r.Running = append(r.Running, msworker.Run{
			Task: k.task, Attempt: k.attempt, Percent: a.progress(w.now()), Checkpoint: a.checkpoint(w.Worker.ID, w.now()),
		})
	}
	r.Ended = append(r.Ended, w.ended[:min(len(w.ended), msworker.MaxEnds)]...)
	return r, nil
}

// JobJournal is what all workers together have seen. The zero value is empty.
type JobJournal struct {
	mu   sync.Mutex
	runs []JobRunEntry
}

// JobRunEntry is an attempt that ran at a worker.
type JobRunEntry struct {
	Task    msjob.TaskID
	Attempt int
	Worker  string
	// Checkpoint is what the attempt was started with.
	Checkpoint string
	Start      time.Time
	// End is zero while the attempt runs, How says how it ended.
	End time.Time
	How string
	// Acked says that the end was acknowledged. Nobody may know of one that was not, and
	// whose worker crashed.
	Acked bool
	// Lapsed says that the lease of the worker lapsed after the end and before its
	// acknowledgement, if it has one. Its leader may have given the attempt up.
	Lapsed bool
}

func (j *JobJournal) start(k jobRun, worker, checkpoint string, now time.Time) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, JobRunEntry{Task: k.task, Attempt: k.attempt, Worker: worker, Checkpoint: checkpoint, Start: now})
}

func (j *JobJournal) end(k jobRun, now time.Time, how string) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := len(j.runs) - 1; i >= 0; i-- {
		r := &j.runs[i]
		if r.Task == k.task && r.Attempt == k.attempt && r.End.IsZero() {
			r.End, r.How = now, how
			return
		}
	}
}

func (j *JobJournal) ack(k jobRun, worker string) {
	j.note(k, worker, func(r *JobRunEntry) { r.Acked = true })
}

// lapse notes that the lease of a worker has lapsed before an end is acknowledged.
func (j *JobJournal) lapse(k jobRun, worker string) {
	j.note(k, worker, func(r *JobRunEntry) { r.Lapsed = !r.Acked })
}

func (j *JobJournal) note(k jobRun, worker string, change func(r *JobRunEntry)) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	// A life runs an attempt once; an earlier entry is of an earlier life.
	for i := len(j.runs) - 1; i >= 0; i-- {
		if r := &j.runs[i]; r.Task == k.task && r.Attempt == k.attempt && r.Worker == worker {
			change(r)
			return
		}
	}
}

// Runs returns all attempts in the order of their start.
func (j *JobJournal) Runs() []JobRunEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]JobRunEntry(nil), j.runs...)
}

// Doubled returns the attempts that began while another of the same task ran, or
// after one of it had ended well and that end was acknowledged, then or later, before the lease of
// its worker had lapsed.
func (j *JobJournal) Doubled() []JobRunEntry {
	var bad []JobRunEntry
	runs := j.Runs()
	for i, r := range runs {
		for k, o := range runs {
			if i == k || o.Task != r.Task || r.Start.Before(o.Start) || r.Start.Equal(o.Start) && i < k {
				continue
			}
			if o.End.IsZero() || o.End.After(r.Start) || o.How == string(msworker.EndDone) && o.Acked && !o.Lapsed {
				bad = append(bad, r)
				break
			}
		}
	}
	return bad
}
