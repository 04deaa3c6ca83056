//go:build review

package rig

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// taskRun is one run of a subtask, as its minion saw it.
type taskRun struct {
	task    string
	attempt int
	minion  string
	begun   time.Time
	end     time.Time
	how     string
	takes   time.Duration
	cpu     int64
	lasting bool
	stop    bool
	// label is the kind of its minion, checkpoint what its start carried.
	label, checkpoint string
	// saves says that the subtask checkpoints its progress, gang is the number of subtasks
	// of its gang.
	saves bool
	gang  int
	// acked is when the end was acknowledged.
	acked time.Time
	// together is when all subtasks of the run were present.
	together time.Time
}

// gangOf names the run of a gang that a subtask belongs to.
func (t *taskRun) gangOf() string {
	return fmt.Sprintf("%s#%d", t.task[:strings.LastIndexByte(t.task, '.')], t.attempt)
}

// worked returns how long the run has worked, with what its checkpoint saved.
func (t *taskRun) worked(now time.Time) time.Duration {
	begun := t.begun
	if t.gang > 0 {
		begun = t.together
	}
	if begun.IsZero() {
		return savedTime(t.checkpoint)
	}
	return savedTime(t.checkpoint) + now.Sub(begun)
}

// checkpointTime is checkpoint_s of the settings.
const checkpointTime = 2 * time.Second

// saved returns the run's latest checkpoint: a new one after each checkpointTime of work.
func (t *taskRun) saved(now time.Time) string {
	if !t.saves {
		return ""
	}
	d := t.worked(now) / checkpointTime * checkpointTime
	if d == 0 {
		return t.checkpoint
	}
	return fmt.Sprintf("%08x%s", d.Milliseconds(), t.task[4:12])
}

// savedTime is the work that a checkpoint has saved.
func savedTime(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	n, _ := strconv.ParseInt(checkpoint[:8], 16, 64)
	return time.Duration(n) * time.Millisecond
}
