/*
 * Jobs: a task runs on one worker at a time, and never after an end of it was
 * acknowledged, over changes of the leader, leaders that go on, late starts, and workers
 * that begin another life.
 *
 * One task, two entries, two workers. The progress is one record; an append succeeds
 * where no higher epoch has appended. A start that was sent may be carried out any time
 * later, or never. A leader that is frozen or cut off is an entry that takes no step.
 * Leases are left out: a worker out of reach keeps its run until its life ends.
 * A file jobs.broken-NAME.pml defines BROKEN_NAME, which takes one rule away.
 * Code: msscheduler (Engine.takeOver, commit, compare, ended), msleader, msworker.
 */

#define EPOCHS 3
#define ATTEMPTS 3
#define SENT 3 /* starts on their way, at most */
#define LIVES 2

/* The phases of the task. */
#define WAITING 0
#define ASSIGNED 1
#define DONE 2

/* The progress on the log, and the highest epoch that has appended. */
byte phase;
byte attempt;
byte where;
byte whereLife;
byte fence;

byte epochs; /* terms begun */

/* The workers. */
byte life[2];
byte token[2];
byte running[2]; /* the attempt that runs; 0 is none */
byte barred[2];  /* the highest attempt that has ended */
byte ended[2];   /* the end that isn't acknowledged; 0 is none */
bit after[2];    /* a start came after that end */
bit noted;       /* an end was acknowledged */

/* The starts on their way; attempt 0 is an empty place. */
typedef Start {
	byte at;
	byte life;
	byte attempt;
	byte epoch
}
Start sent[SENT];

inline send() {
	if
	:: sent[0].attempt == 0 -> i = 0
	:: sent[1].attempt == 0 -> i = 1
	:: sent[2].attempt == 0 -> i = 2
	:: else -> i = SENT
	fi;
	if
	:: i < SENT -> sent[i].at = w; sent[i].life = l; sent[i].attempt = a; sent[i].epoch = epoch
	:: else
	fi;
	i = 0
}

/* store appends the progress, or ends the term. */
inline store(p) {
	if
	:: epoch < fence -> goto deposed
	:: else -> fence = epoch; phase = p; attempt = a; where = w; whereLife = l
	fi
}

proctype Entry() {
	byte epoch, a, w, l, i, p;
	bit seen, again;

term:
	atomic {
		if
		:: epochs == EPOCHS -> goto out
		:: else -> epochs++; epoch = epochs
		fi
	}
#ifndef BROKEN_NO_FENCE
	atomic {
		if
		:: epoch < fence -> goto deposed
		:: else -> fence = epoch
		fi
	}
#endif
	atomic { p = phase; a = attempt; w = where; l = whereLife }
#ifdef BROKEN_NO_HOLD
	if
	:: p == ASSIGNED -> p = WAITING
	:: else
	fi;
#endif
	do
	:: p == DONE -> goto out
	:: p == WAITING && a == ATTEMPTS -> goto out
	:: p == WAITING && a < ATTEMPTS ->
		/* A worker takes tasks once it has reported in this term. */
		atomic {
			if
			:: w = 0
			:: w = 1
			fi;
			if
			:: token[w] > epoch -> goto deposed
			:: else -> token[w] = epoch; l = life[w]; a++
			fi
		}
#ifdef BROKEN_START_FIRST
		atomic { send() };
		atomic { store(ASSIGNED) };
#else
		atomic { store(ASSIGNED) };
		atomic { send() };
#endif
		p = ASSIGNED
	:: p == ASSIGNED ->
		/* A report of the worker. */
		atomic {
			seen = 0; again = 0;
			if
			:: life[w] != l -> p = WAITING
			:: life[w] == l && token[w] > epoch -> goto deposed
			:: life[w] == l && token[w] <= epoch ->
				token[w] = epoch;
				if
				:: running[w] == a
				:: running[w] != a && ended[w] == a -> seen = 1
				:: running[w] != a && ended[w] != a && barred[w] >= a -> p = WAITING
				:: running[w] != a && ended[w] != a && barred[w] < a -> again = 1
				fi
			fi
		}
		if
		:: p == WAITING -> atomic { store(WAITING) }
		:: p == ASSIGNED && again -> atomic { send() }
		:: p == ASSIGNED && seen ->
#ifndef BROKEN_ACK_FIRST
			atomic { store(DONE) };
#endif
			atomic {
				if
				:: life[w] == l && token[w] <= epoch && ended[w] == a ->
					token[w] = epoch; ended[w] = 0; noted = 1;
					assert(!after[w])
				:: else
				fi
			}
#ifdef BROKEN_ACK_FIRST
			atomic { store(DONE) };
#endif
			p = DONE
		:: p == ASSIGNED && !again && !seen
		fi
	od;

deposed:
	goto term;
out:
	skip
}

/* clear empties a place of the starts on their way. */
inline clear(i) {
	sent[i].at = 0; sent[i].life = 0; sent[i].attempt = 0; sent[i].epoch = 0
}

inline carryOut(i) {
	w = sent[i].at;
	if
	:: sent[i].life == life[w] && sent[i].epoch >= token[w] ->
		token[w] = sent[i].epoch;
		if
		:: sent[i].attempt > barred[w] && running[w] != sent[i].attempt ->
			assert(running[0] == 0 && running[1] == 0);
			assert(!noted);
			if
			:: ended[0] != 0 -> after[0] = 1
			:: else
			fi;
			if
			:: ended[1] != 0 -> after[1] = 1
			:: else
			fi;
			running[w] = sent[i].attempt
		:: else
		fi
	:: else
	fi;
	clear(i);
	w = 0
}

/* Net carries out starts, late and in any order, or loses them. */
proctype Net() {
	byte w;
end:
	do
	:: atomic { sent[0].attempt != 0 -> carryOut(0) }
	:: atomic { sent[1].attempt != 0 -> carryOut(1) }
	:: atomic { sent[2].attempt != 0 -> carryOut(2) }
	:: atomic { sent[0].attempt != 0 -> clear(0) }
	:: atomic { sent[1].attempt != 0 -> clear(1) }
	:: atomic { sent[2].attempt != 0 -> clear(2) }
	od
}

inline finish(w) {
	barred[w] = running[w]; ended[w] = running[w]; running[w] = 0
}

inline begin(w) {
	life[w]++; token[w] = 0; running[w] = 0; barred[w] = 0; ended[w] = 0; after[w] = 0
}

/* Workers end what runs, and begin another life, in which they know nothing of before. */
proctype Workers() {
end:
	do
	:: atomic { running[0] != 0 && ended[0] == 0 -> finish(0) }
	:: atomic { running[1] != 0 && ended[1] == 0 -> finish(1) }
	:: atomic { life[0] + 1 < LIVES -> begin(0) }
	:: atomic { life[1] + 1 < LIVES -> begin(1) }
	od
}

init {
	atomic {
		run Entry();
		run Entry();
		run Net();
		run Workers()
	}
}
