/*
 * Lives: a task runs on one worker at a time, over lives of a worker under one ID, leases
 * on the clocks of these lives, calls that are carried out late, cuts and a change of leader.
 *
 * One task, which runs on worker A, whose lives follow each other, or elsewhere. Ends of
 * leases are kept as the time that is left, plus 1; 0 is over. The clock of each life begins
 * anywhere: an end for a life whose clock is of a higher class lies far ahead, one of a lower
 * class behind. A call is carried out once, by the life that is there then, or never. A cut
 * is calls without answers.
 *
 * Assumed: a start for an earlier life is not carried out by a life that has not answered the
 * leader, and one that was given up not by a life that the leader has not fenced. Nothing rules
 * that out: a start without an answer may be carried out by the next life before the leader's
 * first answered call to it, or before the first with a higher token. Then the task, which was
 * or will be given up, runs twice until it is stopped. lives.broken-late-start.pml shows that,
 * lives.broken-frozen-start.pml the same by a leader that was frozen.
 * Left out: drift of clocks, answers to renewals that arrive late, ends other than lapses.
 *
 * A file lives.broken-NAME.pml takes one rule or the assumption away. lives-terms.pml has the
 * change of leader.
 * docs/proofs/lives-model.md says which code each step stands for, and where it differs.
 */

#define GRANT 1   /* the lease that leaders grant */
#define LONGEST 2 /* the longest one that a worker holds */
#ifndef DELAY
#define DELAY 2   /* calls for earlier lives are carried out at most so long after a life began */
#endif
#define GRACE 1   /* leases are renewed so long after the end of a term */
#ifndef LIVES
#define LIVES 3
#endif
#ifndef TERMS
#define TERMS 1
#endif
#define TOKENS (4 - TERMS) /* numbers of a term, from its epoch up to the next one; fewer bound the states */

/* What is left of an end that lies far ahead, and the class of an end on any clock. */
#define AHEAD (LONGEST + 1)
#define ANY 3

/* The phases of the task, as the leader has them; ADOPTED is of an earlier term. */
#define WAITING 0
#define ADOPTED 1
#define ORDERED 2
#define STARTED 3
#define STOPPING 4
#define ELSEWHERE 5

/* The kinds of call. */
#define RENEW 1
#define START 2

typedef Call {
	byte kind; /* 0 is an empty place */
	byte life; /* that it is for, 0 if not the present one */
	byte class; /* of that life's clock; 0 if the call brings no end */
	byte left; /* of the lease that it brings */
	byte token;
	bit frozen; /* a frozen leader has sent it */
	bit awaited /* the leader waits for its answer */
}
Call call[2];

/* Worker A, and its present life. */
byte life;
byte class;
byte age;
byte token;
byte left;    /* of its lease */
bit running;
bit barred;   /* the attempt has ended or was stopped */

/* The leader. */
byte epoch;
byte termAge;
bit reported;  /* A has answered in this term */
bit reachable;
byte known;    /* the life that answered last, 0 if it has ended */
byte reading;  /* the class of its clock, as the leader knows it */
byte latest;   /* what is left of the latest end that the life may hold */
byte granted;  /* what is left of the latest end that the leader has granted to it */
byte sentToken;
byte earlier;  /* and of that sent to lives before */
byte earlierClass;
byte earlierToken;
bit unfenced;
byte callToken; /* of calls to A */
bit asking;     /* a renewal has no answer yet */
bit starting;   /* a start has no answer yet */
bit uncertain;  /* a start got none */
byte settled;   /* 1: a start or stop was answered; 2: and a report was asked for since */
byte phase;
bit tried;      /* the attempt on A was made */

/* The leader before, which goes on for GRACE. */
byte oldLife;
byte oldReading;
byte oldToken;
bit frozen;      /* it had checked its term and made up a start */
byte frozenLeft; /* what is left of the end in it */

#ifdef BROKEN_ANSWER_CLOCK
byte answerClass; /* of the clock in an answer under way, plus 1 */
#endif

hidden byte d, e, k, n;

#define EPOCH (epoch * TOKENS)
#define FENCED (reported && !unfenced)
#define LESS(a, b) (a < b -> a : b)
#define MORE(a, b) (a > b -> a : b)
#define LESS_ONE(a) (a > 0 -> a - 1 : 0)

/* ON is what is left, on a clock of class to, of an end on a clock of class of. */
#define ON(to, of, a) (of > to -> AHEAD : (of == to -> a : 0))

#ifdef BROKEN_UNCOUNTED
#define LEAST EPOCH
#elif defined(BROKEN_EQUAL_TOKEN)
#define LEAST (!reachable -> MORE(sentToken, earlierToken) : (unfenced -> earlierToken : sentToken))
#else
#define LEAST (!reachable -> MORE(sentToken, earlierToken) + 1 : (unfenced -> earlierToken + 1 : sentToken))
#endif
#ifdef BROKEN_EQUAL_TOKEN
#define FENCES(t) (t >= earlierToken)
#else
#define FENCES(t) (t > earlierToken)
#endif
#if defined(BROKEN_UNFENCED_START) || defined(BROKEN_UNCOUNTED)
#define MAY_ORDER (reported)
#else
#define MAY_ORDER FENCED
#endif

#define ACTIVE (phase != WAITING && phase != ELSEWHERE)

/* MAY_START says whether the life that is there carries out a start, by the assumption above. */
#ifndef MAY_START
#define MAY_START(c) (call[c].life == life || (reported && known == life && (!unfenced || ACTIVE)))
#endif
/* REACHES says whether a call is carried out by the life that is there. */
#ifndef REACHES
#define REACHES(c) (call[c].life == life || age <= DELAY || (call[c].awaited && call[c].class == 0 && call[c].left == 0))
#endif

/* INHERITED is the longest lease from calls of earlier leaders. */
#define OLD (DELAY + LONGEST - GRANT)
#ifndef INHERITED
#define INHERITED (age < OLD -> LESS(LONGEST, LONGEST + DELAY - age) : GRANT)
#endif

inline clear(c) {
	if
	:: c == 0 ->
		call[0].kind = call[1].kind; call[0].life = call[1].life; call[0].class = call[1].class;
		call[0].left = call[1].left; call[0].token = call[1].token; call[0].awaited = call[1].awaited; call[0].frozen = call[1].frozen
	:: else
	fi;
	call[1].kind = 0; call[1].life = 0; call[1].class = 0;
	call[1].left = 0; call[1].token = 0; call[1].awaited = 0; call[1].frozen = 0
}

/* IDLE says that a call which nobody waits for has no effect any more; drop removes it. */
#define IDLE(c) ((call[c].kind == RENEW && call[c].left == 0 && (call[c].class == 0 || (life == LIVES && call[c].class <= class))) || (life == LIVES && (call[c].token < token || !REACHES(c))))

inline drop(c) {
	if
	:: call[c].kind != 0 && !call[c].awaited && IDLE(c) -> clear(c)
	:: else
	fi
}

/* abandon gives up waiting for the answer to a call. */
inline abandon(x) {
	call[0].awaited = call[0].awaited && call[0].kind != x;
	call[1].awaited = call[1].awaited && call[1].kind != x
}

#define FREE(c) (call[c].kind == 0 || !call[c].awaited)

inline send(x, a) {
	call[k].kind = x; call[k].life = known; call[k].class = reading; call[k].left = a;
	call[k].token = callToken; call[k].awaited = 1; call[k].frozen = 0
}

inline grant() {
	if
	:: reachable -> latest = MORE(latest, GRANT + 1); granted = GRANT + 1
	:: else
	fi
}

/* next_life is Lease.Next. */
inline next_life() {
#ifdef BROKEN_UNCOUNTED
	earlier = 0;
#else
	if
#ifdef BROKEN_LIFE_BEFORE
	:: true -> earlier = latest; earlierClass = reading
#else
	:: reading > earlierClass || (reading == earlierClass && latest > earlier) -> earlier = latest; earlierClass = reading
	:: else
#endif
	fi;
	earlierToken = MORE(sentToken, earlierToken);
	unfenced = 1;
#endif
	latest = 0;
	granted = 0;
	sentToken = 0
}

inline give_up() {
	phase = WAITING; starting = 0; uncertain = 0; settled = 0
}

inline stop_run() {
	phase = STOPPING; settled = 0; uncertain = 0; starting = 0;
	abandon(START)
}

/* ask sends a renewal, or asks for the report only. */
inline ask() {
	if
	:: reachable -> sentToken = MORE(sentToken, callToken); grant(); send(RENEW, GRANT + 1)
	:: else -> send(RENEW, 0); call[k].class = 0
	fi;
	asking = 1;
	settled = (settled == 1 -> 2 : settled);
	k = 0
}

/* LAST_END is the end in a start to a worker that doesn't answer. */
#ifdef BROKEN_BOUND_SENT
#define LAST_END latest
#else
#define LAST_END granted
#endif

/* send_start sends the start of the attempt that is ordered. */
inline send_start() {
	grant();
	sentToken = MORE(sentToken, callToken);
	e = LAST_END;
	send(START, e);
	starting = 1;
	e = 0; k = 0
}

/* report handles the answer of the present life to a renewal with token n. */
inline report() {
	if
	:: reported && known != life ->
		next_life();
		if
		:: running
		:: !running && phase == STARTED && !uncertain -> give_up()
		:: !running && ((phase == STARTED && uncertain) || (phase == ORDERED && (starting || uncertain))) -> stop_run()
		:: else
		fi
	:: else
	fi;
	known = life;
	reading = class;
	if
	:: unfenced ->
		unfenced = !FENCES(n);
		e = ON(class, earlierClass, earlier);
#ifndef BROKEN_UNFENCED_BOUND
		e = (unfenced && e == AHEAD -> AHEAD + DELAY : e);
#endif
		latest = MORE(latest, e)
	:: else
	fi;
	if
	:: !reported ->
		d = INHERITED;
		latest = MORE(latest, d + 1);
		if
		:: d > GRANT -> earlierClass = ANY
		:: else
		fi
	:: else
	fi;
	reported = 1;
	reachable = 1;
	if
	:: running && (phase == ADOPTED || phase == ORDERED) -> phase = STARTED; settled = 1
	:: !running && phase == ADOPTED -> phase = ORDERED; settled = 0
	:: !running && phase == STARTED && settled == 2 && uncertain -> stop_run()
	:: !running && phase == STARTED && settled == 2 && !uncertain -> give_up()
	:: !running && phase == STOPPING && settled == 2 -> give_up()
	:: else
	fi;
	d = 0; e = 0
}

/* extend takes the end of a lease. */
inline extend(c) {
	e = ON(class, call[c].class, call[c].left);
	left = MORE(left, e);
	e = 0
}

/* answered handles the answer to a start; p says that the worker has the attempt, or had it. */
inline answered(c, p) {
	if
	:: call[c].awaited ->
		starting = 0;
#ifdef BROKEN_ANSWER_CLOCK
		answerClass = class + 1;
#endif
		if
		:: p && phase == ORDERED -> phase = STARTED; settled = 1
		:: else
		fi
	:: else
	fi
}

inline carry_out(c) {
	if
	:: call[c].token < token ->
		if
		:: call[c].kind == RENEW && call[c].awaited -> asking = 0; reachable = 0
		:: call[c].kind == START -> answered(c, 0)
		:: else
		fi
	:: call[c].token >= token && call[c].kind == RENEW ->
		token = call[c].token;
		extend(c);
		if
		:: call[c].awaited -> asking = 0; n = call[c].token; report(); n = 0
		:: else
		fi
	:: call[c].token >= token && call[c].kind == START ->
		token = call[c].token;
		e = ON(class, call[c].class, call[c].left);
		if
		:: e <= 1 -> answered(c, 0)
		:: else ->
			extend(c);
			if
			:: !barred && !running ->
				running = 1;
				assert(phase != ELSEWHERE)
			:: else
			fi;
			answered(c, 1)
		fi;
		e = 0
	fi;
	clear(c)
}

#define CAN(c) (call[c].kind != 0 && REACHES(c) && (call[c].kind == RENEW || MAY_START(c)))

inline begin(f, seen) {
	if
	:: call[0].life == life -> call[0].life = 0
	:: else
	fi;
	if
	:: call[1].life == life -> call[1].life = 0
	:: else
	fi;
	if
	:: known == life -> known = 0
	:: else
	fi;
	if
	:: oldLife == life -> oldLife = LIVES + 1
	:: else
	fi;
	life++; class = f; age = 0; token = 0; left = 0; running = 0; barred = 0;
	if
	:: seen && reported ->
		next_life(); reported = 0; reachable = 0; asking = 0;
		abandon(RENEW); abandon(START);
		if
		:: phase != WAITING && phase != ELSEWHERE -> give_up()
		:: else
		fi
	:: else
	fi
}

#define EXPIRED (!reachable && (reported -> latest == 0 : termAge > GRACE + INHERITED))

inline tick() {
	left = LESS_ONE(left);
	if
	:: left == 0 && running -> running = 0; barred = 1
	:: else
	fi;
	age = LESS(age + 1, OLD);
	termAge = (epoch > 1 -> LESS(termAge + 1, GRACE + LONGEST + 1) : 0);
	latest = LESS_ONE(latest);
	granted = LESS_ONE(granted);
	earlier = LESS_ONE(earlier);
	call[0].left = LESS_ONE(call[0].left);
	call[1].left = LESS_ONE(call[1].left);
	frozenLeft = LESS_ONE(frozenLeft);
	if
	:: termAge > GRACE && !frozen -> oldLife = 0; oldReading = 0; oldToken = 0
	:: else
	fi;
	drop(1);
	drop(0)
}

/* Both together are too many states. */
#define SEES_DOWN (TERMS == 1)
#define CHANGES (epoch < TERMS && phase != ELSEWHERE)

inline change() {
	oldLife = (reachable -> (known == 0 -> LIVES + 1 : known) : 0);
	oldReading = (reachable -> reading : 0);
	oldToken = (reachable -> callToken : 0);
	epoch++; termAge = 0;
	reported = 0; reachable = 0; known = 0; reading = 0; latest = 0; granted = 0; sentToken = 0;
	earlier = 0; earlierClass = 0; earlierToken = 0; unfenced = 0; callToken = EPOCH;
	abandon(RENEW); abandon(START); drop(1); drop(0);
	asking = 0; starting = 0;
	if
	:: phase != WAITING -> phase = ADOPTED; uncertain = 1; settled = 0
	:: else
	fi
}

/* send_old sends a call of the leader before. */
inline send_old(x, a) {
	k = (FREE(0) -> 0 : 1);
	call[k].kind = x; call[k].life = (oldLife == life -> life : 0); call[k].class = oldReading; call[k].left = a;
	call[k].token = oldToken; call[k].awaited = 0; call[k].frozen = (x == START);
	oldLife = 0; oldReading = 0; oldToken = 0; k = 0
}

init {
	d_step {
		class = 1; life = 1; age = OLD;
		epoch = 1; phase = WAITING; known = 1; reading = 1; reported = 1; reachable = 1;
		callToken = TOKENS; token = TOKENS; sentToken = TOKENS
	}
end:
	do
	:: d_step { left + latest + earlier + call[0].left + call[1].left + frozenLeft + (age < OLD) + (epoch > 1) > 0 -> tick() }
	/* lives; the leader sees that the VM was down, or doesn't */
	:: d_step { life < LIVES -> begin(0, 0) }
	:: d_step { life < LIVES -> begin(1, 0) }
	:: d_step { life < LIVES -> begin(2, 0) }
	:: d_step { SEES_DOWN && life < LIVES -> begin(0, 1) }
	:: d_step { SEES_DOWN && life < LIVES -> begin(1, 1) }
	:: d_step { SEES_DOWN && life < LIVES -> begin(2, 1) }
	/* calls */
	:: d_step { CAN(0) -> carry_out(0) }
	:: d_step { CAN(1) -> carry_out(1) }
	/* the leader */
	:: d_step { phase != ELSEWHERE && callToken < LEAST && LEAST < EPOCH + TOKENS -> callToken = LEAST }
	:: d_step { !asking && FREE(0) && phase != ELSEWHERE -> k = 0; ask() }
	:: d_step { !asking && FREE(1) && call[0].kind != 0 && phase != ELSEWHERE -> k = 1; ask() }
	:: d_step { asking -> asking = 0; reachable = 0; abandon(RENEW); drop(1); drop(0) }
	:: d_step { phase == WAITING && !tried && reachable && MAY_ORDER -> tried = 1; phase = ORDERED }
	:: d_step { phase == WAITING && tried -> phase = ELSEWHERE; assert(!running);
		asking = 0; reachable = 0; abandon(RENEW); abandon(START); drop(1); drop(0);
		latest = 0; granted = 0; sentToken = 0; earlier = 0; earlierClass = 0; earlierToken = 0; callToken = 0;
		oldLife = (frozen -> oldLife : 0); oldReading = (frozen -> oldReading : 0); oldToken = (frozen -> oldToken : 0); termAge = 0 }
	:: phase == ELSEWHERE && call[0].kind != START && call[1].kind != START && !frozen -> break
	:: d_step { phase == ORDERED && !starting && MAY_ORDER && (reachable || LAST_END > 1) && FREE(0) -> k = 0; send_start() }
	:: d_step { phase == ORDERED && !starting && MAY_ORDER && (reachable || LAST_END > 1) && FREE(1) && call[0].kind != 0 -> k = 1; send_start() }
	:: d_step { starting -> starting = 0; uncertain = 1; abandon(START); drop(1); drop(0) }
	:: d_step { phase == STOPPING && settled == 0 && callToken >= token -> token = callToken; barred = 1; running = 0; settled = 1 }
	:: d_step { phase != WAITING && phase != ELSEWHERE && EXPIRED -> give_up() }
#ifdef BROKEN_ANSWER_CLOCK
	:: d_step { answerClass > reading + 1 && phase != ELSEWHERE -> reading = answerClass - 1; latest = 0; answerClass = 0 }
#endif
	/* the leader changes; the one before goes on, or is frozen with a start in hand */
	:: d_step { CHANGES -> change() }
	:: d_step { CHANGES && phase == ORDERED && !starting && MAY_ORDER && reachable -> frozen = 1; frozenLeft = GRANT + 1; change() }
	:: d_step { oldLife != 0 && !frozen && (FREE(0) || FREE(1)) && termAge <= GRACE -> send_old(RENEW, GRANT + 1) }
	:: d_step { frozen && (FREE(0) || FREE(1)) -> send_old(START, frozenLeft); frozen = 0; frozenLeft = 0 }
	od
}
