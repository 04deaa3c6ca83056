/*
 * Configuration: the fold of the state stream, and the freshness of an entry.
 *
 * Two parts that share no variable; init takes one of them. The part "fold" has two
 * operators that race each other, lost and late answers of the log, retention, snapshots,
 * a reader that joins late, restarts and records handed over by a peer. The part
 * "freshness" has three entries, a key that is withdrawn, a small clock and an outage.
 * A file config.broken-NAME.pml defines BROKEN_NAME, which takes one rule away.
 * docs/proofs/config-model.md says which code each step stands for.
 */

/* ---------- the fold ---------- */

#ifndef RECORDS
#define RECORDS 5 /* records on the stream */
#endif
#ifndef READERS
#define READERS 1
#endif

/* The kinds of record. */
#define PUBLISH 1
#define WITHDRAW 2
#define SNAPSHOT 3

/* The ids of the records that operators write. Snapshots never come twice. */
#define PUBLISH_A 1
#define PUBLISH_B 2
#define WITHDRAW_B 3
#define PUBLISH_A2 4
#define CHANGES 5

/* What an operator was told of a change. */
#define NOTHING 0
#define ACCEPTED 1
#define REJECTED 2

typedef Fold {
	byte next; /* offset of the next record to apply */
	byte ver;  /* version of the last change of rules or keys: offset plus one */
	byte rule; /* id of the record whose rules are in force */
	bit key;   /* the key is in the rules */
	bit wd;    /* the key was withdrawn */
	byte seen  /* one bit per id */
}

typedef Record {
	byte kind;
	byte id;
	byte base;
	bit lists; /* the published rules list the key */
	byte snap  /* offset through which a snapshot holds the state */
}

Record log[RECORDS];
/* What a run may do, chosen by init. */
bit losses;    /* answers of appends are lost or late */
bit retention; /* old records expire */
byte snapshots;

byte first; /* oldest offset kept */
byte end;   /* offset after the newest */

/* A snapshot's content is the state of its writer, which the model checks to be
 * truth[snap]; so the offset alone is stored. */
Fold truth[RECORDS + 1];
byte outcome[CHANGES]; /* ACCEPTED once a record of the id is accepted, else REJECTED */
bit basis[RECORDS + 1];  /* bases on which rules were accepted */
bit late[CHANGES];     /* an append that may still take effect */
byte lateBase[CHANGES];

Fold entry[READERS];
bit serving[READERS];
byte shown[READERS]; /* highest version that the entry has shown, over its restarts */

inline copy(to, from) {
	to.next = from.next;
	to.ver = from.ver;
	to.rule = from.rule;
	to.key = from.key;
	to.wd = from.wd;
	to.seen = from.seen
}

inline clear(s) {
	s.next = 0;
	s.ver = 0;
	s.rule = 0;
	s.key = 0;
	s.wd = 0;
	s.seen = 0
}

/* apply folds log[s.next] into s; ok says whether the record is accepted. */
inline apply(s, ok) {
	ok = false;
	if
#ifndef BROKEN_BLIND
	:: log[s.next].kind != SNAPSHOT && (s.seen & (1 << log[s.next].id)) -> skip /* duplicate */
	:: log[s.next].kind == PUBLISH && !(s.seen & (1 << log[s.next].id)) ->
#else
	:: log[s.next].kind == PUBLISH ->
#endif
		if
#ifndef BROKEN_BASE
		:: log[s.next].base != s.ver -> skip /* stale */
		:: log[s.next].base == s.ver && log[s.next].lists && s.wd -> skip
		:: log[s.next].base == s.ver && !(log[s.next].lists && s.wd) ->
#else
		:: log[s.next].lists && s.wd -> skip
		:: !(log[s.next].lists && s.wd) ->
#endif
			ok = true;
			s.wd = s.wd || (s.key && !log[s.next].lists);
			s.key = log[s.next].lists;
			s.rule = log[s.next].id;
			s.ver = s.next + 1
		fi
#ifndef BROKEN_BLIND
	:: log[s.next].kind == WITHDRAW && !(s.seen & (1 << log[s.next].id)) ->
#else
	:: log[s.next].kind == WITHDRAW ->
#endif
		if
		:: !s.key -> skip
		:: s.key ->
			ok = true;
			s.key = 0;
			s.wd = 1;
			s.ver = s.next + 1
		fi
	:: log[s.next].kind == SNAPSHOT -> ok = true
	fi;
	if
	:: log[s.next].kind != SNAPSHOT -> s.seen = s.seen | (1 << log[s.next].id)
	:: else
	fi;
	s.next++
}

/* put appends a record; it notes what any reader must come to. */
inline put(k, i, b, l, sn) {
	assert(end < RECORDS);
	log[end].kind = k;
	log[end].id = i;
	log[end].base = b;
	log[end].lists = l;
	log[end].snap = sn;
	copy(truth[end + 1], truth[end]);
	apply(truth[end + 1], good);
	if
	:: k == PUBLISH && good ->
		assert(!basis[b]); /* of two on one base one is accepted */
		basis[b] = 1
	:: k == PUBLISH && !good && !(truth[end].seen & (1 << i)) ->
		assert(truth[end].ver > b || (l && truth[end].wd)) /* and only for another that was */
	:: else
	fi;
	if
	:: k == SNAPSHOT
	:: k != SNAPSHOT && good -> outcome[i] = ACCEPTED
	:: k != SNAPSHOT && !good && outcome[i] == NOTHING -> outcome[i] = REJECTED
	:: else
	fi;
	assert(!(truth[end + 1].key && truth[end + 1].wd)); /* a withdrawn key never comes back */
	end++
}

/* check is made whenever an entry shows a state. */
inline check(r) {
	assert(entry[r].ver >= shown[r]); /* an accepted version never reverts */
	shown[r] = entry[r].ver;
	assert(entry[r].next <= end);
	assert(entry[r].ver == truth[entry[r].next].ver && entry[r].rule == truth[entry[r].next].rule &&
		entry[r].key == truth[entry[r].next].key && entry[r].wd == truth[entry[r].next].wd &&
		entry[r].seen == truth[entry[r].next].seen) /* one state per offset */
}

/* boot folds the records [f, end) into s, or sets gap. */
inline boot(f, s, gap) {
	gap = false;
	i = end;
	do
	:: i > f && log[i - 1].kind == SNAPSHOT && log[i - 1].snap >= f -> break
	:: i > f && !(log[i - 1].kind == SNAPSHOT && log[i - 1].snap >= f) -> i--
	:: i <= f -> break
	od;
	if
	:: i > f -> copy(s, truth[log[i - 1].snap])
	:: i <= f && f == 0 -> copy(s, truth[0])
	:: i <= f && f > 0 ->
#ifdef BROKEN_GAP
		copy(s, truth[0]);
		s.next = f
#else
		gap = true
#endif
	fi;
	do
	:: !gap && s.next < end -> apply(s, good)
	:: else -> break
	od;
	i = 0
}

/* change is an operator's command: append, after a lost answer look for the id, tell
 * what the fold says of the first record of the id. */
inline change(k, c, l, told) {
	told = NOTHING;
	from = end;
	do
	:: atomic { !look && end < RECORDS -> /* answered, or the answer is lost */
		d_step { put(k, c, base, l, 0); good = 0 }
		if
		:: losses -> look = 1
#ifdef BROKEN_BLIND
		:: told = (truth[end].ver == end -> ACCEPTED : REJECTED); break
#else
		:: told = outcome[c]; break
#endif
		fi }
	:: atomic { !look && losses && !late[c] -> late[c] = 1; lateBase[c] = base; look = 1 } /* takes effect late, or never */
	:: atomic { !look && end == RECORDS -> break } /* the bound of the model */
	:: atomic { look -> break } /* gives up: undecided */
#ifdef BROKEN_BLIND
	:: atomic { look -> look = 0 }
#else
	:: atomic { look && first > from -> break } /* undecided: the record may have expired */
	:: atomic { look && first <= from && (truth[end].seen & (1 << c)) -> told = outcome[c]; break }
	:: atomic { look && first <= from && !(truth[end].seen & (1 << c)) -> look = 0 }
#endif
	od;
	skip;
	d_step {
		from = 0;
		look = 0;
		assert(told != ACCEPTED || outcome[c] == ACCEPTED);
		assert(told != REJECTED || outcome[c] == REJECTED)
	}
}

proctype OperatorA() {
	byte base, from, told;
	bit good, look;
	base = truth[end].ver;
	change(PUBLISH, PUBLISH_A, 1, told);
	if
	:: told == REJECTED && !losses ->
		base = truth[end].ver;
		change(PUBLISH, PUBLISH_A2, 1, told)
	:: else
	fi;
	base = 0;
	told = NOTHING
}

proctype OperatorB() {
	byte base, from, told;
	bit good, look;
	base = truth[end].ver;
	if
	:: losses -> change(PUBLISH, PUBLISH_B, 1, told); base = 0
	:: else -> base = 0
	fi;
	change(WITHDRAW, WITHDRAW_B, 0, told)
}

/* Platform takes late appends into effect and drops old records. */
proctype Platform() {
	bit good;
end_platform:
	do
	:: atomic { late[PUBLISH_A] && end < RECORDS -> d_step { late[PUBLISH_A] = 0; put(PUBLISH, PUBLISH_A, lateBase[PUBLISH_A], 1, 0); good = 0 } }
	:: atomic { late[PUBLISH_A2] && end < RECORDS -> d_step { late[PUBLISH_A2] = 0; put(PUBLISH, PUBLISH_A2, lateBase[PUBLISH_A2], 1, 0); good = 0 } }
	:: atomic { late[PUBLISH_B] && end < RECORDS -> d_step { late[PUBLISH_B] = 0; put(PUBLISH, PUBLISH_B, lateBase[PUBLISH_B], 1, 0); good = 0 } }
	:: atomic { late[WITHDRAW_B] && end < RECORDS -> d_step { late[WITHDRAW_B] = 0; put(WITHDRAW, WITHDRAW_B, lateBase[WITHDRAW_B], 0, 0); good = 0 } }
	:: atomic { retention && first < end -> first++ }
	od
}

/* Snapshots appends the state through any earlier offset: its writer read it there and
 * was slow since, and another may have been faster. */
proctype Snapshots() {
	bit good;
	byte through, n;
end_snapshots:
	do
	:: atomic { n < snapshots && end < RECORDS ->
		n++;
		through = 0;
		select(through : 0 .. end);
		d_step { put(SNAPSHOT, 0, 0, 0, through); through = 0; good = 0 } }
	od
}

/* Reader is an entry: it boots at any time, follows, takes records from peers and restarts. */
proctype Reader(byte r) {
	bit good, gap;
	byte i, from;
end_reader:
	do
	/* boot or restart: nothing is kept; the oldest offset is from when the read began,
	 * the end as it is now */
	:: atomic {
		select(from : 0 .. first);
		d_step {
			clear(entry[r]);
			boot(from, entry[r], gap);
			from = 0;
			good = 0;
			serving[r] = !gap;
			if
			:: gap -> clear(entry[r])
			:: else -> check(r)
			fi;
			gap = 0 } }
	/* follow the stream, whole or by a record that a peer still has */
	:: d_step { serving[r] && entry[r].next < end ->
#ifdef BROKEN_SNAPSHOT
		if
		:: log[entry[r].next].kind == SNAPSHOT ->
			i = log[entry[r].next].snap; copy(entry[r], truth[i]); i = 0
		:: else -> apply(entry[r], good)
		fi;
#else
		apply(entry[r], good);
#endif
		good = 0;
		check(r) }
	od
}

/* ---------- freshness ---------- */

/* Times are ages in ticks that stop counting where nothing looks further back, so the
 * part has no horizon. Entry 0 admits on any proof, entry 1 on its own reads and on those
 * of entry 2. An answer on its way is an answer not asked for yet: who acts before it
 * comes acts on what was heard before. */
#define LEASE 2
#define CUT_AFTER 1
#define OLD (LEASE + 1)
#define ENTRIES 3
#define PEERS 2

typedef Entry {
	bit know;   /* has folded the withdrawal */
	byte proof; /* age of the last proof that it knows the whole log */
	byte own    /* age of the beginning of its last read of its own */
}

/* What entry 0 heard last of entry 1 and of entry 2. */
typedef Peer {
	bit heard;
	bit refused; /* its VM said that the process has ended */
	bit knew;
	bit cut;
	byte asked   /* age of the question */
}

bit withdrawn; /* the record is on the log, and for how long */
byte withdrawnFor;
bit told;      /* its operator was told, and since when */
byte toldFor;
byte acks;     /* how many entries have folded a change when its operator is told */
bit mayEnd;
bit ended;     /* the process of entry 2 has ended */
Entry node[ENTRIES];
Peer peer[PEERS];

#define CUT(n) (node[n].own > CUT_AFTER)
#define SAYS_OUTAGE(p) (peer[p].asked <= LEASE && (peer[p].refused || (peer[p].heard && peer[p].cut && !(peer[p].knew && !node[0].know))))
#ifdef BROKEN_MAJORITY
#define OUTAGE (CUT(0) && (SAYS_OUTAGE(0) || SAYS_OUTAGE(1)))
#else
#define OUTAGE (CUT(0) && SAYS_OUTAGE(0) && SAYS_OUTAGE(1))
#endif
#define KNOWING (node[0].know + node[1].know + node[2].know)

inline older(age, most) {
	age = (age < most -> age + 1 : most)
}

inline prove(n, age) {
	node[n].proof = (age < node[n].proof -> age : node[n].proof)
}

/* use is checked at every step: an entry that does not know of the withdrawal can't be
 * fresh once the operator was told more than a lease ago. */
inline use() {
	assert(!(told && toldFor > LEASE && !node[0].know && (node[0].proof <= LEASE || OUTAGE)));
	assert(!(told && toldFor > LEASE && !node[1].know && node[1].proof <= LEASE))
}

/* read is a read of the log by entry n that began at an age and ends now. */
inline read(n, age, sees) {
	node[n].know = node[n].know || (withdrawn && withdrawnFor + sees > age);
#ifdef BROKEN_ANSWER
	node[n].own = 0;
	prove(n, 0);
#else
	node[n].own = age;
	prove(n, age);
#endif
	use()
}

/* Reads of one entry begin one after another. */
#define READS(n) \
	:: d_step { !(ended && n == 2) -> read(n, 0, 0) } \
	:: d_step { !(ended && n == 2) -> read(n, 0, 1) } \
	:: d_step { !(ended && n == 2) && node[n].own >= 1 -> read(n, 1, 0) } \
	:: d_step { !(ended && n == 2) && node[n].own >= 1 -> read(n, 1, 1) } \
	:: d_step { !(ended && n == 2) && node[n].own >= 2 -> read(n, 2, 0) } \
	:: d_step { !(ended && n == 2) && node[n].own >= 2 -> read(n, 2, 1) }

/* answer brings what entry from says to entry to; fetch says whether the records that
 * entry to lacks come along. A proof counts only with the records it speaks of. */
inline answer(to, from, fetch) {
	node[to].know = node[to].know || (fetch && node[from].know);
	if
#ifdef BROKEN_AGE
	:: node[to].know || !node[from].know -> prove(to, 0)
#else
	:: node[to].know || !node[from].know -> prove(to, node[from].proof)
#endif
	:: else
	fi
}

inline hear(p, fetch) {
	peer[p].heard = 1;
	peer[p].asked = 0;
	peer[p].cut = CUT(p + 1);
	peer[p].knew = node[p + 1].know;
	answer(0, p + 1, fetch);
	use()
}

proctype Freshness() {
end_freshness:
	do
	/* time goes by */
	:: d_step {
		older(node[0].proof, OLD); older(node[0].own, CUT_AFTER + 1);
		older(node[1].proof, OLD); older(node[1].own, CUT_AFTER + 1);
		older(node[2].proof, OLD); older(node[2].own, CUT_AFTER + 1);
		peer[0].asked = (peer[0].heard && peer[0].asked < OLD -> peer[0].asked + 1 : peer[0].asked);
		peer[1].asked = ((peer[1].heard || peer[1].refused) && peer[1].asked < OLD -> peer[1].asked + 1 : peer[1].asked);
		withdrawnFor = (withdrawn && withdrawnFor <= OLD -> withdrawnFor + 1 : withdrawnFor);
		toldFor = (told && toldFor < OLD -> toldFor + 1 : toldFor);
		use() }
	/* the withdrawal is put on the log, and the operator is told */
	:: d_step { !withdrawn -> withdrawn = 1 }
#ifdef BROKEN_TOLD
	:: d_step { withdrawn && !told -> told = 1 }
#else
	:: d_step { withdrawn && !told && KNOWING >= acks -> told = 1 }
#endif
	/* reads; who does not read meets an outage, a pause or a cut */
	READS(0)
	READS(1)
	READS(2)
	/* heartbeats */
	:: d_step { hear(0, 0) }
	:: d_step { hear(0, 1) }
	:: d_step { !ended -> hear(1, 0) }
	:: d_step { !ended -> hear(1, 1) }
	:: d_step { !ended -> answer(1, 2, 0); use() }
	:: d_step { !ended -> answer(1, 2, 1); use() }
	:: d_step { mayEnd && !ended -> ended = 1; node[2].own = CUT_AFTER + 1; node[2].proof = OLD }
	:: d_step { ended -> peer[1].refused = 1; peer[1].heard = 0; peer[1].knew = 0; peer[1].cut = 0; peer[1].asked = 0; use() }
	od
}

inline fold() {
	truth[0].key = 1;
	if
	:: losses = 1; run OperatorA()
	:: retention = 1; snapshots = 2; run OperatorA()
	:: losses = 1; retention = 1; snapshots = 1
	fi;
	run OperatorB();
	run Platform();
	run Snapshots();
	run Reader(0)
#if READERS > 1
	; run Reader(1)
#endif
}

init {
	atomic {
		if
		:: fold()
		:: acks = 1; run Freshness()
#ifdef BROKEN_ONE
		:: acks = 1; mayEnd = 1; run Freshness()
#else
		:: acks = 2; mayEnd = 1; run Freshness()
#endif
		fi
	}
}
