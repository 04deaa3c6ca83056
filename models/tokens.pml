/* Tokens of one resource over three entries: holders, a home, and a log of records
 * that exclude an entry, lower the total, or move the home.
 *
 * The network is a table of messages. Any of them may be delivered at any time, in any
 * order, or never: that is loss, delay and reordering. A pause or death is an entry that
 * is not scheduled. docs/proofs/tokens-model.md names the code for each step.
 */
#define N 3      /* entries */
#ifndef S
#define S 3      /* exchanges of an entry */
#endif
#define R 2      /* records after the first */
#ifndef B
#define B 5      /* exchanges of all entries together */
#endif
#define TOTAL 2
#define LOWERED 1

#define bit(x) (1 << (x))
#define in(set, x) (((set) >> (x)) & 1)
#define ix(x, s) ((x) * S + (s) - 1)
#define px(h, x) ((h) * N + (x))

/* The broken variants change one of these. */
#ifndef MAY_ACCEPT
#define MAY_ACCEPT(x, s) (s == seq[x])
#endif
#ifndef MAY_RECLAIM
#define MAY_RECLAIM(h) ((lost[folded[h]] & ~gone) == 0)
#endif
#ifndef MAY_GIVE
#define MAY_GIVE(h) (seen[h] == members[folded[h]])
#endif
#ifndef HELD_AFTER_RETURN
#define HELD_AFTER_RETURN(x) runs[x]
#endif
#ifndef HELD_ON_ANSWER
#define HELD_ON_ANSWER(x, s) held[x]
#endif
#ifndef MAY_KEEP_RELEASED
#define MAY_KEEP_RELEASED(x) (!over[x])
#endif
#ifndef IS_VOID
#define IS_VOID(s, latest) (s < latest)
#endif

/* The log: what holds after each record. */
byte members[R + 1], home[R + 1], total[R + 1], lost[R + 1];
byte gone;       /* lost entries whose lease and runs are over */

/* Each entry as a holder. */
byte folded[N], held[N], runs[N], seq[N];
bool over[N], introduced[N], out_of_view[N];

/* The messages: exchanges not yet booked and gifts not yet taken. */
bool sent[N * S], sent_want[N * S], answered[N * S], settled[N * S];
byte sent_gen[N * S], sent_held[N * S], gift_n[N * S];

/* Each entry as a home. */
byte seen[N], base[N], unknown[N], outstanding[N * N];
bool ready[N];

/* Scratch within one step; not part of the state. */
hidden byte running, limit, sum, n, k, s, q;

#define is_home(h) (!out_of_view[h] && home[folded[h]] == h)

/* count_free leaves total - outstanding - unknown in n, zero if below, and what is taken in sum. */
inline count_free(h) {
	sum = unknown[h] + held[h];
	k = 0;
	do
	:: k < N ->
		if
		:: k != h -> sum = sum + outstanding[px(h, k)]
		:: else
		fi;
		k++
	:: else -> break
	od;
	if
	:: total[folded[h]] >= sum ->
		n = total[folded[h]] - sum;
		over[h] = false
	:: else -> n = 0
	fi
}

/* check_start compares what runs with the highest total folded by an entry that may start. */
inline check_start() {
	running = 0;
	limit = 0;
	k = 0;
	do
	:: k < N ->
		running = running + runs[k];
		if
		:: !in(gone, k) && !out_of_view[k] && total[folded[k]] > limit -> limit = total[folded[k]]
		:: else
		fi;
		k++
	:: else -> break
	od;
	assert(running <= limit)
}

/* make_ready lets the home give; tokens that lost entries may hold are unknown. */
inline make_ready(h) {
	if
	:: MAY_GIVE(h) && !ready[h] ->
		ready[h] = true;
		unknown[h] = 0;
		if
		:: lost[folded[h]] != 0 && base[h] < TOTAL -> unknown[h] = TOTAL - base[h]
		:: else
		fi;
		base[h] = 0;
		held[h] = runs[h]
	:: else
	fi
}

/* close_pool ends the home's part; a former home holds what was free. */
inline close_pool(h) {
	if
	:: ready[h] ->
		count_free(h);
		held[h] = held[h] + n
	:: else
	fi;
	ready[h] = false;
	seen[h] = 0;
	base[h] = 0;
	unknown[h] = 0;
	k = 0;
	do
	:: k < N ->
		outstanding[px(h, k)] = 0;
		k++
	:: else -> break
	od
}

/* drop_gift removes a gift that has been taken, or can't be any more. */
inline drop_gift(w, q) {
	answered[ix(w, q)] = false;
	gift_n[ix(w, q)] = 0;
	settled[ix(w, q)] = false
}

inline drop_gifts(w) {
	drop_gift(w, 1);
	drop_gift(w, 2);
	drop_gift(w, 3)
}

inline drop_exchange(w, q) {
	sent[ix(w, q)] = false;
	sent_gen[ix(w, q)] = 0;
	sent_held[ix(w, q)] = 0;
	sent_want[ix(w, q)] = false
}

/* drop_inbox removes the exchanges of x's generation if x is their home: x will refuse them. */
inline drop_inbox(w) {
	k = 0;
	do
	:: k < N * S ->
		if
		:: sent[k] && sent_gen[k] == folded[w] && home[folded[w]] == w ->
			sent[k] = false;
			sent_gen[k] = 0;
			sent_held[k] = 0;
			sent_want[k] = false
		:: else
		fi;
		k++
	:: else -> break
	od
}

/* fold takes the next record at x. */
inline fold(x) {
	close_pool(x);
	drop_inbox(x);
	introduced[x] = false;
	drop_gifts(x);
	if
	:: total[folded[x] + 1] < total[folded[x]] ->
		held[x] = runs[x];
		over[x] = true
	:: else
	fi;
	folded[x]++;
	if
	:: !in(members[folded[x]], x) ->
		out_of_view[x] = true;
		over[x] = false;
		held[x] = runs[x]
	:: else ->
		if
		:: home[folded[x]] == x ->
			seen[x] = bit(x);
			base[x] = held[x];
			make_ready(x)
		:: else
		fi
	fi
}

/* exchange starts one at x, which returns its idle tokens or wants all there are. */
inline exchange(x) {
	seq[x]++;
	if
	:: seq[x] > 1 && !MAY_ACCEPT(x, seq[x] - 1) -> drop_gift(x, seq[x] - 1)
	:: else
	fi;
	sent[ix(x, seq[x])] = true;
	sent_gen[ix(x, seq[x])] = folded[x];
	if
	:: held[x] > runs[x] && introduced[x] ->
		sent_held[ix(x, seq[x])] = runs[x];
		held[x] = HELD_AFTER_RETURN(x)
	:: sent_held[ix(x, seq[x])] = held[x];
		sent_want[ix(x, seq[x])] = true
	fi;
	if
	:: folded[home[folded[x]]] > folded[x] || out_of_view[home[folded[x]]] -> drop_exchange(x, seq[x])
	:: else
	fi
}

/* answer books exchange q of m at the home h, and gives. */
inline answer(h, m, q) {
	if
	:: !in(seen[h], m) ->
		seen[h] = seen[h] | bit(m);
		base[h] = base[h] + sent_held[ix(m, q)]
	:: else
	fi;
	outstanding[px(h, m)] = sent_held[ix(m, q)];
	make_ready(h);
	n = 0;
	if
	:: ready[h] ->
		base[h] = 0;
		count_free(h);
		settled[ix(m, q)] = (sum <= total[folded[h]] && over[m]);
		if
		:: !sent_want[ix(m, q)] -> n = 0
		:: else
		fi
	:: else
	fi;
	outstanding[px(h, m)] = outstanding[px(h, m)] + n;
	if
	:: folded[m] == folded[h] && MAY_ACCEPT(m, q) ->
		answered[ix(m, q)] = true;
		gift_n[ix(m, q)] = n
	:: else -> settled[ix(m, q)] = false
	fi;
	drop_exchange(m, q);
	q = 1;
	do
	:: q <= S ->
		if
		:: sent[ix(m, q)] && sent_gen[ix(m, q)] == folded[h] && IS_VOID(q, s) -> drop_exchange(m, q)
		:: else
		fi;
		q++
	:: else -> break
	od
}

/* accept takes gift s at x. */
inline accept(x, s) {
	introduced[x] = true;
	held[x] = HELD_ON_ANSWER(x, s) + gift_n[ix(x, s)];
	if
	:: settled[ix(x, s)] -> over[x] = false
	:: else
	fi;
	drop_gift(x, s)
}

/* release ends one unit of work at x. */
inline release(x) {
	runs[x]--;
	if
	:: !MAY_KEEP_RELEASED(x) || out_of_view[x] || ready[x] -> held[x]--
	:: else
	fi
}

#define can_book(h, m, s) (is_home(h) && m != h && in(members[folded[h]], m) && sent[ix(m, s)] && sent_gen[ix(m, s)] == folded[h])
#define can_accept(x, s) (!out_of_view[x] && answered[ix(x, s)] && MAY_ACCEPT(x, s))

proctype entry(byte x; byte y; byte z) {
end:	do
	:: atomic { folded[x] < R && !out_of_view[x] -> fold(x) }
	:: atomic { !out_of_view[x] && !in(gone, x) && held[x] > runs[x] ->
		runs[x]++;
		check_start() }
	:: atomic { ready[x] && !in(gone, x) ->
		count_free(x);
		if
		:: n > 0 ->
			held[x]++;
			runs[x]++;
			check_start()
		:: else
		fi }
	:: atomic { runs[x] > 0 -> release(x) }
	:: atomic { !out_of_view[x] && home[folded[x]] != x && seq[x] < S && seq[0] + seq[1] + seq[2] < B -> exchange(x) }
	:: atomic { can_book(x, y, 1) -> s = 1; q = 1; answer(x, y, q); }
	:: atomic { can_book(x, y, 2) -> s = 2; q = 2; answer(x, y, q); }
	:: atomic { can_book(x, y, 3) -> s = 3; q = 3; answer(x, y, q); }
	:: atomic { can_book(x, z, 1) -> s = 1; q = 1; answer(x, z, q); }
	:: atomic { can_book(x, z, 2) -> s = 2; q = 2; answer(x, z, q); }
	:: atomic { can_book(x, z, 3) -> s = 3; q = 3; answer(x, z, q); }
	:: atomic { can_accept(x, 1) -> accept(x, 1) }
	:: atomic { can_accept(x, 2) -> accept(x, 2) }
	:: atomic { can_accept(x, 3) -> accept(x, 3) }
	:: atomic { ready[x] && unknown[x] > 0 && MAY_RECLAIM(x) -> unknown[x] = 0 }
	:: atomic { in(lost[R] & ~gone, x) ->
		/* The lease is over, and so are all runs. */
		gone = gone | bit(x);
		close_pool(x);
		drop_inbox(x);
		drop_gifts(x);
		out_of_view[x] = true;
		over[x] = false;
		introduced[x] = false;
		runs[x] = 0;
		held[x] = 0 }
	od
}

/* exclude writes record r, which excludes x; next is the home if x was. */
inline exclude(r, x, next) {
	members[r] = members[r - 1] & ~bit(x);
	lost[r] = lost[r - 1] | bit(x);
	if
	:: home[r - 1] == x -> home[r] = next
	:: else
	fi
}

#define member(r, x) in(members[r], x)

/* write_log draws the records. Entries fold them when they like, so they may stand from the start. */
inline write_log() {
	k = 1;
	do
	:: k <= R ->
		members[k] = members[k - 1];
		home[k] = home[k - 1];
		total[k] = total[k - 1];
		lost[k] = lost[k - 1];
		if
		:: total[k - 1] > LOWERED -> total[k] = LOWERED
		:: member(k - 1, 0) && member(k - 1, 1) -> exclude(k, 0, 1)
		:: member(k - 1, 0) && member(k - 1, 2) && k > 1 -> exclude(k, 0, 2)
		:: member(k - 1, 1) && member(k - 1, 0) -> exclude(k, 1, 0)
		:: member(k - 1, 1) && member(k - 1, 2) && k > 1 -> exclude(k, 1, 2)
		:: member(k - 1, 2) && member(k - 1, 0) && k > 1 -> exclude(k, 2, 0)
		:: member(k - 1, 2) && member(k - 1, 1) && k > 1 -> exclude(k, 2, 1)
		:: member(k - 1, 0) && home[k - 1] != 0 -> home[k] = 0
		:: member(k - 1, 1) && home[k - 1] != 1 -> home[k] = 1
		:: member(k - 1, 2) && home[k - 1] != 2 && k > 1 -> home[k] = 2
		fi;
		k++
	:: else -> break
	od
}

init {
	atomic {
		members[0] = bit(0) | bit(1) | bit(2);
		home[0] = 0;
		total[0] = TOTAL;
		seen[0] = members[0];
		ready[0] = true;
		write_log();
		run entry(0, 1, 2);
		run entry(1, 0, 2);
		run entry(2, 0, 1)
	}
}
