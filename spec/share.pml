/*
 * Transfer of base shares and loans of one customer's limit.
 *
 * VM 0 holds W units of the limit, lends them to VM 1 and releases them in the share record. VM 1 only borrows. VM 2
 * takes what is free in the record, and reissues the share of VM 0 after its death. Messages may be lost, duplicated,
 * late and crossed, and so may platform writes and their answers. A VM that is paused is one that takes no step.
 *
 * Time passes in ticks. A borrower with a slow clock holds a loan for at most TERM ticks from its request; a lender
 * with a fast clock that adds its margin waits for at least TERM ticks from its grant.
 *
 * Safety: the units in use never exceed W.
 */
#define W 2
#define IDS 2
#define TERM 3
#ifndef NO_MARGIN
#define LENDER TERM
#else
#define LENDER (TERM - 1)
#endif

/* A dead VM's share is reissued only on the platform's word, and after its loans have ended. */
#ifndef NO_PROOF
#define PROVEN sawgone
#else
#define PROVEN true
#endif
#ifndef NO_WAIT
#define WAITED (waitleft == 0)
#else
#define WAITED true
#endif

/* Units on loan are not released. */
#ifndef NO_LENT
#define KEPT lentsum
#else
#define KEPT 0
#endif

#define IDLE 0
#define OPEN 1
#define HELD 2
#define CLOSED 3

/* Lender. */
bool dead;
byte base0 = W;
bool lent[IDS];
byte lentleft[IDS];

/* Borrower. left counts from the request. */
byte state[IDS];
byte credit[IDS];
byte left[IDS];
byte renewleft;

/* Messages in flight: they may be delivered never, once or often. */
bool borrow[IDS];
bool grant[IDS];
bool giveback[IDS];
bool renew;
bool extended;

/* The share record, and one write in flight of each VM. */
byte rec0 = W;
byte rec2;
byte version;
bool write0;
byte write0base;
byte write0parts;
bool awaits0;
byte doubt0;
bool write2;
byte write2base;
byte write2rec0;
byte write2rec2;
bool awaits2;

/* VM 2. */
byte base2;
bool sawgone;
byte waitleft;

#define VERSIONS 4
#define lentsum (lent[0] + lent[1])
#define use0 (base0 > lentsum -> base0 - lentsum : 0)
#define use1 (credit[0] + credit[1])

/* Lender takes a borrow request. */
inline lend(i) {
	if
	:: lent[i] -> grant[i] = true /* A duplicate gets the same answer. */
	:: !lent[i] && base0 > lentsum ->
#ifndef NO_DEBIT
		lent[i] = true;
		lentleft[i] = LENDER;
#endif
		grant[i] = true
	:: else
	fi
}

/* Borrower takes a grant. */
inline accept(i) {
	if
#ifndef NO_ONCE
	:: state[i] == OPEN && left[i] > 0 -> state[i] = HELD; credit[i] = 1
#else
	:: (state[i] == OPEN || state[i] == HELD) && left[i] > 0 && credit[i] < 2 -> state[i] = HELD; credit[i]++
#endif
	:: else
	fi
}

inline dropLoan(i) {
	state[i] = CLOSED;
	credit[i] = 0;
	left[i] = 0;
	grant[i] = false /* A later grant has no effect. */
}

inline tickLoan(i) {
	if
	:: left[i] > 0 ->
		left[i]--;
		if
		:: left[i] == 0 && state[i] != CLOSED -> dropLoan(i)
		:: else
		fi
	:: else
	fi;
	if
	:: lentleft[i] > 0 ->
		lentleft[i]--;
		if
		:: lentleft[i] == 0 -> lent[i] = false
		:: else
		fi
	:: else
	fi
}

inline stepLoan(i) {
	if
	:: state[i] == IDLE -> state[i] = OPEN; left[i] = TERM; borrow[i] = true
	:: borrow[i] -> lend(i)
	:: borrow[i] -> borrow[i] = false
	:: grant[i] -> accept(i)
	:: grant[i] -> grant[i] = false
	:: state[i] == HELD ->
#ifndef NO_GIVEFIRST
		dropLoan(i);
#endif
		giveback[i] = true
	:: state[i] == OPEN -> dropLoan(i); giveback[i] = true /* The borrower gives up waiting. */
	:: giveback[i] && lent[i] -> lent[i] = false; lentleft[i] = 0
	:: giveback[i] -> giveback[i] = false
	fi
}

/* Renewal of loan 0. */
inline stepRenewal() {
	if
	:: state[0] == HELD && !renew && !extended -> renew = true; renewleft = TERM
	:: renew && lent[0] ->
#ifndef NO_EXTEND
		lentleft[0] = LENDER;
#endif
		extended = true
	:: renew -> renew = false
	:: extended && state[0] == HELD && renewleft > left[0] -> left[0] = renewleft
	:: extended -> extended = false
	:: renewleft > 0 && !renew && !extended -> renewleft = 0
	fi
}

/* VM 0 releases one unit that is not on loan. It stops using the unit before the write is sent. */
inline stepRelease() {
	if
	:: !dead && !write0 && !awaits0 && doubt0 == 0 && base0 == rec0 && base0 > KEPT && version < VERSIONS ->
		write0 = true;
		awaits0 = true;
		write0base = version;
		write0parts = base0 - 1;
#ifndef NO_RELEASE
		base0 = base0 - 1
#else
		skip
#endif
	:: write0 ->
		write0 = false;
#ifndef NO_CONDITION
		if
		:: version == write0base -> rec0 = write0parts; version++
		:: else
		fi;
#else
		rec0 = write0parts;
		version++;
#endif
		if
		:: !awaits0 -> write0base = 0
		:: else
		fi;
		write0parts = 0
	:: write0 && !awaits0 -> write0 = false; write0base = 0; write0parts = 0 /* The write never arrives. */
	:: awaits0 && !dead -> 
		awaits0 = false;
		doubt0 = write0base + 1;
		if
		:: !write0 -> write0base = 0
		:: else
		fi
	/* Reading back resolves the write once nothing on top of its base can take effect any more. */
#ifndef NO_READBACK
	:: doubt0 > 0 && !dead && version >= doubt0 -> doubt0 = 0; base0 = rec0
#else
	:: doubt0 > 0 && !dead -> doubt0 = 0; base0 = rec0
#endif
	fi
}

/* VM 2 takes a free unit, or the units of VM 0 after proof of its death. */
inline stepTake() {
	if
	:: dead && !sawgone -> sawgone = true; waitleft = TERM
	:: !write2 && !awaits2 && version < VERSIONS && rec0 + rec2 < W ->
		write2 = true;
		awaits2 = true;
		write2base = version;
		write2rec0 = rec0;
		write2rec2 = rec2 + 1
	:: !write2 && !awaits2 && version < VERSIONS && rec0 > 0 && PROVEN && WAITED ->
		write2 = true;
		awaits2 = true;
		write2base = version;
		write2rec0 = 0;
		write2rec2 = W
	:: write2 ->
		write2 = false;
#ifndef NO_CONDITION
		if
		:: version == write2base -> rec0 = write2rec0; rec2 = write2rec2; version++
		:: else
		fi;
#else
		rec0 = write2rec0;
		rec2 = write2rec2;
		version++;
#endif
		write2base = 0;
		write2rec0 = 0;
		write2rec2 = 0
	:: awaits2 && !write2 -> awaits2 = false
	:: base2 != rec2 -> base2 = rec2 /* A raise counts only once it is read. */
	fi
}

active proctype system() {
	do
	:: d_step {
		!dead ->
		dead = true;
		/* The values that no step reads any more are reset, here and below, to keep the state space small. */
		base0 = 0;
		lent[0] = false;
		lent[1] = false;
		lentleft[0] = 0;
		lentleft[1] = 0;
		borrow[0] = false;
		borrow[1] = false;
		giveback[0] = false;
		giveback[1] = false;
		renew = false;
		awaits0 = false;
		doubt0 = 0
	}
	:: atomic { stepLoan(0) }
	:: atomic { stepLoan(1) }
	:: atomic { stepRenewal() }
	:: atomic { stepRelease() }
	:: atomic { stepTake() }
	:: d_step {
		tickLoan(0);
		tickLoan(1);
		if
		:: renewleft > 0 -> renewleft--
		:: else
		fi;
		if
		:: waitleft > 0 -> waitleft--
		:: else
		fi
	}
	od
}

active proctype monitor() {
end:
	d_step { use0 + use1 + base2 > W -> assert(false) }
}
