/*
 * Order protocol of a placement shard (docs/design.md, 5.1).
 *
 * Two owners share one record by conditional updates. There is no clock: an owner may be paused at any point and a
 * take-over may happen at any time, so that safety cannot rest on the lease. Endpoint 0 checks fencing numbers,
 * endpoint 1 ignores them. Each endpoint has memory for one model and each model may have one replica.
 *
 * A version is a bit here: an owner's copy is stale once the other one has written. What an owner that does not hold
 * the shard knows of the record is left out, since a take-over is a write of what was just read.
 *
 * Assumptions: the platform's list says that a VM is gone only when none of its messages can arrive any more, and an
 * endpoint that checks fencing keeps the number when it restarts.
 *
 * Each guard sits under #ifndef NO_<GUARD>. check-order.sh shows that every mutant without one fails.
 */

#define ORDERS 3
#ifndef FENCES
#define FENCES 2
#endif
#define MODELS 2

#define LOAD   0
#define UNLOAD 1

/* States of a sent order as its sender knows it. */
#define UNSENT   0
#define SENT     1
#define ANSWERED 2
#define LOST     3

typedef Order { bit ep; bit model; bit verb; bit sender; byte fence }

typedef Record {
	bit holder;
	byte fence;
	byte n;             /* number of orders */
	byte held[2];       /* by endpoint: 0 is free, otherwise model + 1 */
	Order order[ORDERS]
}

typedef Message { bit busy; bit ep; bit model; bit verb; byte fence }

typedef Owner {
	Record copy;        /* the record as last read or committed, while known */
	bit known;          /* this owner believes that it holds the shard and knows the record */
	bit stale;          /* the other owner has written since */
	byte fate[ORDERS];
	byte tenure;        /* the fence to which the bits below belong */
	bit absent[2];      /* the held model was observed absent */
	bit acked[2];       /* the endpoint has answered an order of this tenure */
	bit floor;          /* this owner has promised to send nothing */
	bit released;       /* the other owner has promised so, or is gone */
	byte doubt          /* orders of unknown fate that the other owner named */
}

Record store;
Owner own[2];
Message net[6];         /* by sender * ORDERS + order, each order is sent at most once */
bit gone;               /* owner 0 has died and left the platform's list */

bit has[4];             /* endpoint * MODELS + model */
byte seenfence;         /* the highest fence that endpoint 0 has accepted */

#define SELF own[i].copy

inline copyrecord(to, from) {
	to.holder = from.holder; to.fence = from.fence; to.n = from.n;
	to.held[0] = from.held[0]; to.held[1] = from.held[1];
	c = 0;
	do
	:: c < ORDERS ->
		to.order[c].ep = from.order[c].ep; to.order[c].model = from.order[c].model;
		to.order[c].verb = from.order[c].verb; to.order[c].sender = from.order[c].sender;
		to.order[c].fence = from.order[c].fence; c++
	:: else -> break
	od;
	c = 0
}

inline clearrecord(r) {
	r.holder = 0; r.fence = 0; r.n = 0; r.held[0] = 0; r.held[1] = 0;
	c = 0;
	do
	:: c < ORDERS ->
		r.order[c].ep = 0; r.order[c].model = 0; r.order[c].verb = 0; r.order[c].sender = 0; r.order[c].fence = 0; c++
	:: else -> break
	od;
	c = 0
}

/* findlive tells whether a load for the endpoint may still arrive, as far as owner i knows. */
inline findlive(i, e) {
	d_step {
		live = 0; k = 0;
		do
		:: k < SELF.n ->
			if
			:: SELF.order[k].ep != e || SELF.order[k].verb == UNLOAD -> skip
			:: SELF.order[k].ep == e && SELF.order[k].verb == LOAD && SELF.order[k].sender == i ->
				if
				:: own[i].fate[k] == UNSENT -> live = live | (SELF.order[k].fence == SELF.fence)
				:: own[i].fate[k] == SENT -> live = 1
				:: own[i].fate[k] == LOST ->
#ifndef NO_LOST
					live = live | (e == 1 || !own[i].acked[0] || SELF.order[k].fence == SELF.fence)
#else
					skip
#endif
				:: own[i].fate[k] == ANSWERED -> skip
				fi
			:: SELF.order[k].ep == e && SELF.order[k].verb == LOAD && SELF.order[k].sender != i ->
#ifndef NO_EXPOSED
				if
#ifndef NO_ACK
				:: e == 0 && own[i].acked[0] -> skip
#else
				:: e == 0 -> skip
#endif
				:: own[i].released && !(own[i].doubt & (1 << k)) -> skip
				:: else -> live = 1
				fi
#else
				skip
#endif
			fi;
			k++
		:: else -> break
		od;
		k = 0
	}
}

inline unseen(i) { own[i].absent[0] = 0; own[i].absent[1] = 0 }

inline newtenure(i) {
	unseen(i); own[i].acked[0] = 0; own[i].acked[1] = 0; own[i].released = 0; own[i].doubt = 0;
	own[i].tenure = store.fence
}

/* forget drops a copy that must be read back. */
inline forget(i) { d_step { own[i].known = 0; own[i].stale = 0; clearrecord(SELF) } }

inline record(i, v, e, m) {
	own[i].copy.order[own[i].copy.n].ep = e;
	own[i].copy.order[own[i].copy.n].model = m;
	own[i].copy.order[own[i].copy.n].verb = v;
	own[i].copy.order[own[i].copy.n].sender = i;
	own[i].copy.order[own[i].copy.n].fence = own[i].copy.fence;
	own[i].fate[own[i].copy.n] = UNSENT;
	own[i].copy.n++
}

/*
 * commit writes owner i's changed copy. The answer may be lost whether or not the write took effect. Before it
 * relies on the record again the owner reads back.
 */
inline commit(i) {
	if
#ifndef NO_CONDITION
	:: !own[i].stale ->
#else
	:: true ->
#endif
		d_step {
			copyrecord(store, SELF); own[1 - i].stale = own[1 - i].known;
			if
			:: own[i].tenure != store.fence -> newtenure(i)
			:: else -> skip
			fi
		}
		if
		:: skip
		:: forget(i)
		fi
#ifndef NO_CONDITION
#ifndef NO_READBACK
	:: own[i].stale -> forget(i)
#else
	:: own[i].stale -> skip
#endif
#endif
	fi
}

#define HOLDS (own[i].known && !(i == 0 && gone))

#ifndef NO_MEMORY
#define ROOM (SELF.held[e] == 0 && !live)
#else
#define ROOM (SELF.held[e] != m + 1)
#endif
#ifndef NO_COUNT
#define BELOW (SELF.held[1 - e] != m + 1)
#else
#define BELOW true
#endif
#ifndef NO_OBSERVE
#define SEEN (own[i].absent[e])
#else
#define SEEN true
#endif
#ifndef NO_FLOOR
#define FREE (!own[i].floor)
#else
#define FREE true
#endif

#define READY(x) (x < SELF.n && own[i].fate[x] == UNSENT && SELF.order[x].sender == i && SELF.order[x].fence == SELF.fence)

inline post(i, x) {
	own[i].fate[x] = SENT;
	net[i * ORDERS + x].busy = 1; net[i * ORDERS + x].ep = SELF.order[x].ep; net[i * ORDERS + x].model = SELF.order[x].model;
	net[i * ORDERS + x].verb = SELF.order[x].verb; net[i * ORDERS + x].fence = SELF.order[x].fence
}

proctype owner(bit i) {
	byte k, c; bit live, e, m;
end:	do
	/* Reads the record back. */
	:: d_step { !own[i].known && store.holder == i && !(i == 0 && gone) ->
		if
		:: own[i].tenure != store.fence -> newtenure(i)
		:: else -> skip
		fi;
		copyrecord(SELF, store); own[i].known = 1; own[i].stale = 0 }

	/* Takes the shard over. If the answer is lost, it is read back above. */
	:: d_step { !own[i].known && store.holder != i && store.fence < FENCES && !(i == 0 && gone) ->
		store.holder = i;
#ifndef NO_FENCE
		store.fence++;
#endif
		newtenure(i); own[1 - i].stale = own[1 - i].known }

	/* A holder that is awake finds out that it lost the shard. */
	:: atomic { HOLDS && own[i].stale -> forget(i) }

	/* Places a model on an endpoint: the order is recorded with the assignment. The models are alike, so the first is 0. */
	:: atomic { HOLDS && SELF.n < ORDERS ->
		if
		:: e = 0
		:: e = 1
		fi;
		if
		:: m = 0
		:: SELF.n > 0 -> m = 1
		fi;
		findlive(i, e);
		if
		:: ROOM && BELOW ->
			SELF.held[e] = m + 1; own[i].absent[e] = 0;
			record(i, LOAD, e, m);
#ifdef NO_WRITEAHEAD
			post(i, SELF.n - 1);
#endif
			commit(i)
		:: else -> skip
		fi;
		e = 0; m = 0; live = 0 }

	/* Unloads the model of an endpoint, or repeats the load under the own fence. */
	:: atomic { HOLDS && SELF.n < ORDERS && (SELF.held[0] != 0 || SELF.held[1] != 0) ->
		if
		:: SELF.held[0] != 0 -> e = 0
		:: SELF.held[1] != 0 -> e = 1
		fi;
		if
		:: record(i, UNLOAD, e, SELF.held[e] - 1)
		:: record(i, LOAD, e, SELF.held[e] - 1)
		fi;
		commit(i); e = 0 }

	/* Raises the own fence, so that an endpoint that checks it refuses a lost order. */
	:: atomic { HOLDS && SELF.fence < FENCES && own[i].fate[0] == LOST ->
		SELF.fence++; commit(i) }

	/* Observes that the held model is absent. */
	:: atomic { HOLDS && SELF.held[0] != 0 && !own[i].absent[0] && !has[SELF.held[0] - 1] -> own[i].absent[0] = 1 }
	:: atomic { HOLDS && SELF.held[1] != 0 && !own[i].absent[1] && !has[MODELS + SELF.held[1] - 1] -> own[i].absent[1] = 1 }

	/* Ends a charge. */
	:: atomic { HOLDS && (SELF.held[0] != 0 || SELF.held[1] != 0) ->
		if
		:: SELF.held[0] != 0 -> e = 0
		:: SELF.held[1] != 0 -> e = 1
		fi;
		findlive(i, e);
		if
		:: SEEN && !live -> SELF.held[e] = 0; own[i].absent[e] = 0; commit(i)
		:: else -> skip
		fi;
		e = 0; live = 0 }

	/* Sends a committed order, once. A paused owner does so at any later time. */
	:: d_step { HOLDS && FREE && READY(0) -> post(i, 0) }
	:: d_step { HOLDS && FREE && READY(1) -> post(i, 1) }
	:: d_step { HOLDS && FREE && READY(2) -> post(i, 2) }

	/* Gives up waiting for an answer. The order may arrive later. */
	:: d_step { own[i].fate[0] == SENT -> own[i].fate[0] = LOST; unseen(i) }
	:: d_step { own[i].fate[1] == SENT -> own[i].fate[1] = LOST; unseen(i) }
	:: d_step { own[i].fate[2] == SENT -> own[i].fate[2] = LOST; unseen(i) }

	/* The other owner, whose copy is older, states that it sends nothing any more. What was observed before counts no longer. */
	:: d_step { HOLDS && i == 1 && !gone && !own[1].released && !own[0].floor && SELF.fence > 1 ->
		own[0].floor = 1; own[1].released = 1; own[1].doubt = 0;
#ifndef NO_BARRIER
		unseen(1);
#endif
#ifndef NO_DOUBT
		k = 0;
		do
		:: k < ORDERS ->
			if
			:: own[0].fate[k] == SENT || own[0].fate[k] == LOST -> own[1].doubt = own[1].doubt | (1 << k)
			:: else -> skip
			fi; k++
		:: else -> break
		od;
		k = 0
#else
		skip
#endif
	}

	/* The other owner has died, its connections have ended and the platform's list says so. */
	:: d_step { HOLDS && i == 1 && !gone && !own[1].stale ->
		gone = 1; own[1].released = 1; own[1].doubt = 0;
#ifndef NO_BARRIER
		unseen(1);
#endif
		own[0].known = 0; own[0].stale = 0; own[0].floor = 0; own[0].tenure = 0; own[0].released = 0; own[0].doubt = 0;
		own[0].absent[0] = 0; own[0].absent[1] = 0; own[0].acked[0] = 0; own[0].acked[1] = 0;
		clearrecord(own[0].copy);
		k = 0;
		do
		:: k < ORDERS ->
			net[k].busy = 0; net[k].ep = 0; net[k].model = 0; net[k].verb = 0; net[k].fence = 0; own[0].fate[k] = 0; k++
		:: else -> break
		od;
		k = 0 }
	od
}

/* The network delivers orders late and in any order, and loses answers. */
inline deliver(i, x) {
	d_step {
		e = net[i * ORDERS + x].ep; m = net[i * ORDERS + x].model; v = net[i * ORDERS + x].verb; f = net[i * ORDERS + x].fence;
		net[i * ORDERS + x].busy = 0; net[i * ORDERS + x].ep = 0; net[i * ORDERS + x].model = 0;
		net[i * ORDERS + x].verb = 0; net[i * ORDERS + x].fence = 0;
		accept = 1;
		if
#ifndef NO_CHECK
		:: e == 0 && f < seenfence -> accept = 0
#endif
		:: else -> skip
		fi;
		if
		:: accept && e == 0 && f > seenfence -> seenfence = f
		:: else -> skip
		fi;
		if
		:: accept -> has[e * MODELS + m] = (v == LOAD)
		:: else -> skip
		fi;
		assert(has[e * MODELS] + has[e * MODELS + 1] <= 1);     /* memory */
		assert(has[m] + has[MODELS + m] <= 1);                  /* replicas */
		assert(!has[e * MODELS + m] || store.held[e] == m + 1)  /* decided */
	}
	if
	:: own[i].fate[x] == SENT ->
		d_step {
			own[i].fate[x] = ANSWERED;
#ifndef NO_FRESH
			own[i].absent[e] = 0;
#endif
			if
			:: accept && own[i].tenure == f -> own[i].acked[e] = 1
			:: else -> skip
			fi
		}
	:: own[i].fate[x] == SENT -> own[i].fate[x] = LOST; own[i].absent[e] = 0
	:: own[i].fate[x] != SENT -> skip
	fi;
	e = 0; m = 0; v = 0; f = 0; accept = 0
}

proctype endpoints() {
	byte f; bit e, m, v, accept;
end:	do
	:: atomic { net[0].busy -> deliver(0, 0) }
	:: atomic { net[1].busy -> deliver(0, 1) }
	:: atomic { net[2].busy -> deliver(0, 2) }
	:: atomic { net[3].busy -> deliver(1, 0) }
	:: atomic { net[4].busy -> deliver(1, 1) }
	:: atomic { net[5].busy -> deliver(1, 2) }

	/* An endpoint dies in the middle of a load and comes back empty. */
	:: atomic { has[0] || has[1] -> has[0] = 0; has[1] = 0 }
	:: atomic { has[2] || has[3] -> has[2] = 0; has[3] = 0 }
	od
}

init {
	atomic {
		store.holder = 0; store.fence = 1;
		run owner(0); run owner(1); run endpoints()
	}
}
