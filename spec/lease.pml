/*
 * The placement lease while the platform's store goes back (docs/decisions/platform.md).
 *
 * Owners share one record by conditional updates. The store may come back with an earlier state of the record: its revision
 * falls and is given out again, and its era rises. The owner that holds the lease sends orders to an endpoint that does not
 * check their fences.
 *
 * There is no clock. The right to use the lease begins with an acknowledged write and may end at any time. That an owner
 * waits for the time of a lease after its write is modelled as waiting for the rights that exist at that moment. An order
 * arrives while the right of its sender lasts.
 *
 * Assumption: all answers of the store carry the era, so that an owner knows the era of what it reads, and that a write
 * with a copy of an older era may have taken effect.
 *
 * Each guard sits under #ifndef NO_<GUARD>. check-lease.sh shows that every mutant without one fails.
 */

#ifndef OWNERS
#define OWNERS 3
#endif
#ifndef ERAS
#define ERAS 2
#endif
#ifndef WRITES
#define WRITES 4
#endif

/*
 * A fence is a pair (era, counter), ordered by era first. The counter is the revision of the record that the take replaces: a
 * write with a copy of an older era may replace a record of the new era, so that a counter in the record could be given out
 * twice.
 */
#define BASE 8
#define FENCES (BASE * (ERAS + 1))
#define ERA(f) (f / BASE)

typedef Record {
	byte holder;
	byte fence;
	bit settled         /* the holder had begun to use the lease when it wrote the record */
}

typedef Owner {
	byte holder;        /* the fields up to era are a copy of the record, which may be old */
	byte fence;
	bit settled;
	byte revision;
	byte era;           /* the era in which the copy was read or acknowledged */
	bit may;            /* this owner has the right to use the lease */
	byte used;          /* the fence with which it uses the lease */
	bit begun;          /* it need not wait any more */
	byte wait           /* the owners whose rights must end before, as bits */
}

Record past[WRITES + 1]; /* by revision */
byte revision, era = 1;
Owner own[OWNERS];

byte last;              /* the fence of the latest order */
byte user[FENCES];      /* owner + 1 that used a fence */

#define SELF own[i]

inline copyrecord(i) {
	SELF.holder = past[revision].holder; SELF.fence = past[revision].fence; SELF.settled = past[revision].settled;
	SELF.revision = revision; SELF.era = era
}

/* endright ends the right of an owner with the fence in use. Nobody waits for it any more. */
inline endright(i) {
	SELF.may = 0; SELF.begun = 0; SELF.wait = 0; SELF.used = 0;
	k = 0;
	do
	:: k < OWNERS -> own[k].wait = own[k].wait & ~(1 << i); k++
	:: else -> break
	od;
	k = 0
}

#ifndef NO_WAIT
#define WAITS (all || k == h)
#else
#define WAITS false
#endif

/* beginright gives the right with a fence, to be used once the other rights have ended: all, or that of owner h. */
inline beginright(i, f) {
	endright(i);
	SELF.may = 1; SELF.used = f;
	do
	:: k < OWNERS ->
		if
		:: k != i && own[k].may && WAITS -> SELF.wait = SELF.wait | (1 << k)
		:: else -> skip
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

#ifndef NO_ERA
#define OLDER(r) (ERA(r.fence) < r.era)
#ifndef NO_REVISION
#define NEXT (SELF.era * BASE + SELF.revision + 1)
#else
#define NEXT (SELF.era * BASE + SELF.fence % BASE + 1)
#endif
#else
#define OLDER(r) false
#define NEXT (SELF.fence + 1)
#endif
#ifndef NO_RETAKE
#define RETAKE OLDER(SELF)
#else
#define RETAKE false
#endif
#ifndef NO_OLDERA
#define WAITOLD OLDER(SELF)
#else
#define WAITOLD false
#endif
#ifndef NO_SETTLED
#define WAITNEW (!SELF.settled)
#else
#define WAITNEW false
#endif
#ifndef NO_CONDITION
#define CURRENT (SELF.revision == revision)
#else
#define CURRENT true
#endif
#ifndef NO_ANSWER
#define CONFIRMED (SELF.era == era)
#else
#define CONFIRMED true
#endif

/* write stores a record if the revision is that of the copy. The store does not know of which era the copy is. */
inline write(i, f, s) {
	revision++;
	past[revision].holder = i; past[revision].fence = f; past[revision].settled = s
}

proctype owner(byte i) {
	byte k, f, h; bit all;
end:	do
	/* Reads. An owner whose write fails or whose answer is lost reads back at once, since its copy may become old all the same. */
	:: d_step { SELF.revision != revision || SELF.era != era -> copyrecord(i) }

	/* Takes the lease from another owner, or anew in a new era. */
	:: atomic { revision < WRITES && (SELF.holder != i || RETAKE) ->
		if
		:: !CURRENT -> copyrecord(i)
		:: CURRENT ->
			d_step {
				f = NEXT; all = WAITOLD || WAITNEW; h = SELF.holder;
				write(i, f, 0)
			}
			if
			:: CONFIRMED -> d_step { copyrecord(i); beginright(i, f) }
			:: copyrecord(i)
			fi
		fi;
		f = 0; h = 0; all = 0 }

	/* Renews. After a take whose answer was lost, the first renewal gives the right. */
	:: atomic { revision < WRITES && SELF.holder == i && !RETAKE ->
		if
		:: !CURRENT -> copyrecord(i)
		:: CURRENT ->
			d_step { f = SELF.fence; write(i, f, (SELF.begun && SELF.used == f)) }
			if
			:: CONFIRMED ->
				d_step {
					copyrecord(i);
					if
					:: SELF.used != f -> all = 1; beginright(i, f); all = 0
					:: else -> skip
					fi
				}
			:: copyrecord(i)
			fi
		fi;
		f = 0 }

	/* The time of the lease ends. */
	:: d_step { SELF.may -> endright(i) }

	:: d_step { SELF.may && !SELF.begun && SELF.wait == 0 -> SELF.begun = 1 }

	/* Sends an order. */
	:: d_step { SELF.may && SELF.begun && last != SELF.used ->
		assert(user[SELF.used] == 0 || user[SELF.used] == i + 1);       /* one holder */
		assert(SELF.used >= last);                                      /* never falls */
		user[SELF.used] = i + 1; last = SELF.used }
	od
}

/* The store comes back with an earlier state. */
proctype store() {
	byte j;
end:	do
	:: atomic { era < ERAS && revision > 0 ->
		select(j : 0 .. WRITES - 1);
		if
		:: j <= revision ->
			d_step {
				do
				:: revision > j -> past[revision].holder = 0; past[revision].fence = 0; past[revision].settled = 0; revision--
				:: else -> break
				od;
				era++
			}
		:: else -> skip
		fi;
		j = 0 }
	od
}

init {
	atomic {
		byte n;
		past[0].fence = BASE; past[0].settled = 1;
		do
		:: n < OWNERS -> own[n].fence = BASE; own[n].settled = 1; own[n].era = 1; run owner(n); n++
		:: else -> break
		od;
		n = 0;
		run store()
	}
}
