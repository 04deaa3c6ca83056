/*
 * Claims: a keyed request runs at most once, over hand-overs of the key's home, pauses,
 * lapsed leases, an outage of the log and a home that is lost.
 *
 * One key, two entries. Entry 0 is the key's home in view 0, entry 1 in later views. Time
 * is kept as ages that stop counting where nothing looks further back. A log that is down
 * is a log that nobody reads or appends to; a pause is an entry that takes no step.
 * A file claims.broken-NAME.pml defines BROKEN_NAME, which takes one rule away.
 * docs/proofs/claims-model.md says which code each step stands for, and where the code
 * differs from the rules here.
 */

#define EVENTS 4 /* events on the claims stream, at most */
#ifndef REQUESTS
#define REQUESTS 3 /* requests with the key; 1 to 3 */
#endif
#define LEASE 1
#define CUT_AFTER 0
#define CLAIM_TIMEOUT 1
#define OLD (LEASE + 1)
#ifdef BROKEN_MARGIN
#define QUIET LEASE
#else
#define QUIET (LEASE + CLAIM_TIMEOUT) /* after this no home of an older view grants */
#endif

/* The views: entry 0 is the home; the home has moved to entry 1; entry 0 was excluded. */
#define FIRST 0
#define MOVED 1
#define EXCLUDED 2
#define HOME(v) (v == FIRST -> 0 : 1)

/* The kinds of event on the claims stream. */
#define CLAIM 1
#define MEMORY 2 /* a claim that was granted from memory */
#define NOT_RUN 3

/* What became of a request. */
#define UNASKED 0
#define ASKING 1
#define GRANTED 2 /* it may have run */
#define REFUSED 3 /* its caller was told "not run" */

typedef Event {
	byte kind;
	byte req
}

/* One entry: its place in both streams, its table of the key, what it heard of the other. */
typedef Entry {
	byte view;
	byte turned;   /* age of its view */
	byte own;      /* age of its last read of the state stream */
	bit caught;    /* has read the claims stream to its end after the view's first QUIET */
	byte next;     /* next event to fold */
	byte holder;   /* request that holds the key */
	bit free;      /* which was settled not-run */
	bit unlogged;  /* which is in memory only */
	bit flushed;   /* which an append was begun for */
	byte gone;     /* requests settled not-run, one bit each */
	byte pending;  /* request whose claim is being read back */
	byte pendingAt;
	byte pendingFor; /* age of that claim */
	byte asked;    /* age of the question that the other answered last */
	bit heard;
	bit saidCut;
	bit saidUnlogged;
	byte saidView;
	byte saidNext  /* how far the other had folded the claims stream */
}

Event stream[EVENTS];
byte end;
byte view;     /* the view on the state stream */
bit lost;      /* the process of entry 0 has ended */
bit vouched;   /* a record says that the lost entry granted nothing that is missing */
byte cutFor;   /* age of the last time that entry 1 was cut off from the log */
bit clean;     /* entry 0, when last heard, can have granted nothing that is missing, nor since */
byte status[4];
bit lateClaim[4];
bit lateMemory[4];
bit settled[4]; /* one settlement has been sent */
bit again[4];   /* and a second one */
Entry node[2];
#ifdef BROKEN_PAUSE
byte decided[2];
#endif
/* What a run may do, chosen by init. */
bit mayMove; /* the home moves */
bit mayLose; /* the home is lost */
bit late;    /* appends take effect late, and come twice */
byte most;   /* events on the claims stream */
bit answerLost; /* request 1 met a lost answer, 2 meets an outage, 3 does not */
bit alone;   /* only entry 0 takes part; entry 1 is cut off for good */

#define OTHER(n) (1 - n)
#define LIVE(n) (n == 1 || !lost)
#define CUT(n) (node[n].own > CUT_AFTER)
#define ALONE(n) (node[n].view == EXCLUDED)
#define OUTAGE(n) (CUT(n) && (ALONE(n) || (node[n].heard && node[n].asked <= LEASE && node[n].saidCut && node[n].saidView <= node[n].view)))
#define BARRED(n) (node[n].holder > 0 && !node[n].free)
#ifdef BROKEN_UNSURE
#define UNSURE(n) (false)
#else
#define UNSURE(n) (ALONE(n) && !vouched)
#endif
#ifdef BROKEN_LOGGED
#define LOGGED(n) (true)
#elif defined(BROKEN_VIEW)
#define LOGGED(n) (ALONE(n) || (node[n].heard && node[n].asked <= LEASE && !node[n].saidUnlogged))
#else
#define LOGGED(n) (ALONE(n) || (node[n].heard && node[n].asked <= LEASE && !node[n].saidUnlogged && node[n].saidView >= node[n].view))
#endif
#ifdef BROKEN_UNREAD
#define READ(n) (true)
#else
#define READ(n) (node[n].next >= node[n].saidNext)
#endif
#ifdef BROKEN_CAUGHT
#define CAUGHT(n) (true)
#else
#define CAUGHT(n) (node[n].caught)
#endif
#ifdef BROKEN_CLEAN
#define CLEAN_SINCE (!CUT(1))
#else
#define CLEAN_SINCE (!CUT(1) && cutFor > LEASE)
#endif

inline grant(r) {
	status[r] = GRANTED;
	assert((status[1] == GRANTED) + (status[2] == GRANTED) + (status[3] == GRANTED) <= 1)
}

inline put(k, r) {
	if
	:: end < most -> stream[end].kind = k; stream[end].req = r; end++
	:: else
	fi
}

/* apply folds the next event into the table of entry n. */
inline apply(n) {
	q = stream[node[n].next].req;
	if
	:: stream[node[n].next].kind == NOT_RUN ->
#ifndef BROKEN_GONE
		node[n].gone = node[n].gone | (1 << q);
#endif
		if
		:: node[n].holder == q -> node[n].free = 1; node[n].unlogged = 0; node[n].flushed = 0
		:: else
		fi
	:: else ->
		if
		:: node[n].gone & (1 << q)
		:: !(node[n].gone & (1 << q)) && node[n].holder == q && node[n].unlogged && stream[node[n].next].kind == MEMORY ->
			node[n].unlogged = 0; node[n].flushed = 0
		:: !(node[n].gone & (1 << q)) && !(node[n].holder == q && node[n].unlogged) && (!BARRED(n)
#ifndef BROKEN_MEMORY
			|| (stream[node[n].next].kind == MEMORY && node[n].holder != q)
#endif
			) ->
			node[n].holder = q; node[n].free = 0; node[n].unlogged = 0; node[n].flushed = 0
		:: else
		fi
	fi;
	node[n].next++;
	q = 0
}

inline older(age, most) {
	age = (age < most -> age + 1 : most)
}

inline drop_answer(n) {
	node[n].heard = 0; node[n].asked = 0; node[n].saidCut = 0;
	node[n].saidUnlogged = 0; node[n].saidView = 0; node[n].saidNext = 0
}

/* age_answer drops an answer that nothing looks at any more. */
inline age_answer(n) {
	if
	:: node[n].heard && node[n].asked < LEASE -> node[n].asked++
	:: node[n].heard && node[n].asked == LEASE -> drop_answer(n)
	:: else
	fi
}

inline turn(n, v) {
	if
	:: node[n].view != v ->
		node[n].view = v;
		node[n].turned = (n == 1 -> 0 : QUIET + 1);
		node[n].caught = 0;
		if
		:: n == 0 -> drop_answer(0)
		:: else
		fi
	:: else
	fi
}

inline flush(n) {
	node[n].flushed = 1;
	put(MEMORY, node[n].holder);
#ifdef BROKEN_FLUSH
	if
	:: node[n].free -> put(NOT_RUN, node[n].holder)
	:: else
	fi
#endif
}

inline forget(n) {
	node[n].pending = 0;
	node[n].pendingAt = 0;
	node[n].pendingFor = 0
}

/* step_other ages what only matters where entry 1 takes part. */
inline step_other() {
	older(node[1].own, OLD);
	older(node[1].turned, QUIET + 1);
	age_answer(0);
	age_answer(1);
	node[0].pendingFor = (node[0].pending && node[0].pendingFor <= CLAIM_TIMEOUT -> node[0].pendingFor + 1 : node[0].pendingFor);
	node[1].pendingFor = (node[1].pending && node[1].pendingFor <= CLAIM_TIMEOUT -> node[1].pendingFor + 1 : node[1].pendingFor);
	if
	:: !mayLose
	:: mayLose && CUT(1) -> cutFor = 0; clean = 0
	:: else -> older(cutFor, OLD)
	fi
}

proctype Clock() {
end_clock:
	do
	:: d_step {
		older(node[0].own, OLD);
		if
		:: alone
		:: else -> step_other()
		fi }
	/* the view changes by a record */
	:: d_step { mayMove && view == FIRST -> view = MOVED }
	:: d_step { mayLose && view != EXCLUDED -> view = EXCLUDED }
	:: d_step { mayLose && !lost -> lost = 1; forget(0) }
	od
}

proctype Node(byte n) {
	byte q;
end_node:
	do
	/* reads of the state stream and of the claims stream */
	:: d_step { LIVE(n) && (node[n].own > 0 || node[n].view != view) -> node[n].own = 0; turn(n, view) }
	:: d_step { LIVE(n) && node[n].next < end -> apply(n) }
	:: d_step { LIVE(n) && n == 1 && node[1].next == end && !node[1].caught && node[1].view != FIRST && node[1].turned > QUIET -> node[n].caught = 1 }
	/* a heartbeat; the newer view comes along, or not yet. One that was excluded is not listened to. */
	:: d_step { !alone && LIVE(n) && LIVE(OTHER(n)) && (n == 1 || node[0].view == FIRST) && !ALONE(n) ->
		node[n].heard = 1;
		node[n].asked = 0;
		node[n].saidCut = CUT(OTHER(n));
		node[n].saidUnlogged = node[OTHER(n)].unlogged;
		node[n].saidView = node[OTHER(n)].view;
		node[n].saidNext = node[OTHER(n)].next;
		clean = (n == 1 && mayLose -> !node[0].unlogged && CLEAN_SINCE : clean) }
	:: d_step { LIVE(n) && node[n].heard && node[n].saidView > node[n].view -> turn(n, node[n].saidView) }
	/* the doubt about a lost entry is taken away */
	:: d_step { n == 1 && ALONE(n) && !vouched && clean && !CUT(1) -> vouched = 1 }
	/* what was granted from memory is appended, once or again */
	:: d_step { LIVE(n) && node[n].unlogged && !CUT(n) && end < most && (late || !node[n].flushed) -> flush(n) }
	:: d_step { LIVE(n) && late && node[n].unlogged && !CUT(n) && !lateMemory[node[n].holder] -> node[n].flushed = 1; lateMemory[node[n].holder] = 1 }
	/* a claim on its way reaches the stream */
	:: d_step { node[n].pending && node[n].pendingAt == most && node[n].pendingFor <= CLAIM_TIMEOUT && end < most ->
		node[n].pendingAt = end; put(CLAIM, node[n].pending) }
	/* the claim that was appended is read back, or the caller is told "not run" */
	:: d_step { node[n].pending && node[n].pendingAt < most && node[n].next > node[n].pendingAt && node[n].pendingFor <= CLAIM_TIMEOUT ->
		if
		:: node[n].holder == node[n].pending && !node[n].free -> grant(node[n].pending)
		:: else -> status[node[n].pending] = REFUSED
		fi;
		forget(n) }
	:: d_step { node[n].pending && (node[n].pendingAt < most || !late) -> status[node[n].pending] = REFUSED; forget(n) }
	od
}

/* ask is a claim at entry n; what it meets decides. */
#define ASK(n) \
	:: d_step { status[r] == UNASKED && COMES(n) && LIVE(n) && HOME(node[n].view) == n && (BARRED(n) || UNSURE(n)) -> \
		status[r] = REFUSED; settled[r] = 1; again[r] = 1 } \
	:: d_step { status[r] == UNASKED && MAY(n) && !(answerLost && r == 3) && OUTAGE(n) && CAUGHT(n) && LOGGED(n) && READ(n) -> /* from memory */ \
		decide(n) } \
	:: d_step { status[r] == UNASKED && MAY(n) && THROUGH(n) && end < most && !(answerLost && r == 2) -> /* through the stream */ \
		log(n) } \
	:: d_step { status[r] == UNASKED && MAY(n) && THROUGH(n) && late -> /* which takes it late */ \
		lateClaim[r] = 1; status[r] = REFUSED }

/* Over a hand-over the last request comes to entry 1 and the others to entry 0. */
#define COMES(n) (alone || (n == 1) == (r == 3))
#define MAY(n) (COMES(n) && LIVE(n) && HOME(node[n].view) == n && !BARRED(n) && !UNSURE(n))
#define THROUGH(n) (!OUTAGE(n) && LOGGED(n) && node[n].own <= LEASE && !node[n].pending)

/* hold takes the key in memory. */
inline hold(n, q) {
	if
	:: BARRED(n) -> status[q] = REFUSED
	:: else ->
		node[n].holder = q; node[n].free = 0; node[n].unlogged = 1; node[n].flushed = 0;
		grant(q)
	fi
}

inline decide(n) {
#ifdef BROKEN_PAUSE
	status[r] = ASKING;
	decided[n] = r
#else
	hold(n, r)
#endif
}

inline log(n) {
#ifdef BROKEN_READ_BACK
	put(CLAIM, r);
	grant(r)
#else
	status[r] = ASKING;
	node[n].pending = r;
	node[n].pendingAt = most
#endif
}

/* settle tells entry n that the attempt did not run. */
inline settle(n) {
	again[r] = settled[r] || r > 1 || !late;
	settled[r] = 1;
	if
#ifdef BROKEN_LOCAL
	:: node[n].holder == r -> node[n].free = 1
#elif defined(BROKEN_FLUSH)
	:: node[n].holder == r && node[n].unlogged -> node[n].free = 1
#else
	:: node[n].holder == r && node[n].unlogged && !node[n].flushed ->
		node[n].free = 1; node[n].unlogged = 0; node[n].gone = node[n].gone | (1 << r)
#endif
	:: else -> put(NOT_RUN, r)
	fi
}

proctype Request(byte r) {
	/* where entry 0 is alone requests are alike, so they come in order */
end_order:
	!alone || r == 1 || status[r - 1] != UNASKED;
end_request:
	do
	ASK(0)
	ASK(1)
	/* a granted request that was not sent is refused */
	:: d_step { status[r] == GRANTED -> status[r] = REFUSED }
	/* a refused attempt is settled, at any entry, once or twice */
	:: d_step { status[r] == REFUSED && !again[r] && LIVE(0) && !answerLost -> settle(0) }
	:: d_step { status[r] == REFUSED && !again[r] && !alone && (!answerLost || node[1].view != FIRST) -> settle(1) }
#ifdef BROKEN_PAUSE
	:: d_step { decided[0] == r && LIVE(0) -> decided[0] = 0; hold(0, r) }
	:: d_step { decided[1] == r -> decided[1] = 0; hold(1, r) }
#endif
	/* late appends */
	:: d_step { lateClaim[r] && end < most -> lateClaim[r] = 0; put(CLAIM, r) }
	:: d_step { lateMemory[r] && end < most -> lateMemory[r] = 0; put(MEMORY, r) }
	od
}

/* skip_first leaves two requests. */
inline skip_first() {
	status[1] = REFUSED;
	settled[1] = 1;
	again[1] = 1
}

/* lose_answer begins with a claim that is on the stream and whose answer was lost; only that is settled. */
inline lose_answer() {
	status[1] = REFUSED;
	put(CLAIM, 1);
	answerLost = 1;
	again[2] = 1;
	again[3] = 1
}

init {
	atomic {
		cutFor = OLD;
		node[0].caught = 1;
		node[0].turned = QUIET + 1;
		node[1].turned = QUIET + 1;
		if
		:: late = 1; most = 4; alone = 1; node[0].heard = 1; node[0].saidCut = 1
		:: mayMove = 1; most = 3; skip_first(); run Node(1)
		:: mayMove = 1; most = 4; lose_answer(); run Node(1)
		:: mayLose = 1; most = 2; skip_first(); run Node(1)
		fi;
		run Clock();
		run Node(0);
		run Request(1);
		run Request(2)
#if REQUESTS > 2
		; run Request(3)
#endif
	}
}
