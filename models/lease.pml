/* fault: FAULT_COUNT_FROM_ANSWER */
/* fault: FAULT_NO_WAIT */
/* fault: FAULT_BLIND_TAKE */
/* fault: FAULT_NO_EPOCH_CHECK */
/* fault: FAULT_SPLIT_TAKEOVER */
/* fault: FAULT_EARLY_RELEASE */
/* code: packages/core/src/lease.ts */
/* code: packages/store/src/lease-runner.ts */
/*
 * Duty leases in time. Two processes; requests and answers may be slow or lost, a request that was given up may still
 * take effect, and each process may be paused at any moment, which is the free interleaving of its steps with `Time`.
 *
 * Properties: (1) two processes never believe at the same time that they hold the lease; (2) no transaction of a duty
 * that checks the row lease-epoch/<duty> takes effect after another process has taken the lease.
 *
 * Bounds: nothing is counted for ever, so ticks, renewals and takeovers are unlimited. Versions are compared only for
 * equality and so are one bit per process that knows one; ages stop counting at the ttl, beyond which no rule tells
 * them apart. Two processes suffice, because both properties are about a pair and a third one only changes the row more
 * often. A ttl of three ticks leaves a held lease two, enough for a step at its start, in between and at its end.
 */
#define TTL 3
#define MARGIN 1
#define N 2
#define NOBODY 2

#define NO_WRITE 0
#define RENEWAL 1
#define TAKEOVER 2
/* A takeover that is not the last attempt of its process. */
#define OLD_TAKEOVER 3

/* The holder in the row lease/<duty>. */
byte rowHolder = NOBODY;
/* Who wrote the row lease-epoch/<duty> last. */
byte epochHolder = NOBODY;
/* The lease row still has the version that the process read or wrote last. */
bool sameVersion[N];
/* The epoch row still has the version that the process checks. */
bool sameEpoch[N];
/* A request that was given up and still checks the present version of the lease row. */
byte lateWrite[N];
/* The row shows the write id of the process's last takeover. */
bool ownWrite[N];

/* Ticks until the process stops by its own clock; 0 means that it does not hold the lease. */
byte left[N];
/* Ticks since the request left, and since the row was first seen as it is. */
byte sentAge[N] = TTL;
byte seenAge[N] = TTL;

#define SEEN_LONG_ENOUGH(p) (seenAge[p] >= TTL)

inline writeEpoch(p) {
	epochHolder = p;
	sameEpoch[0] = false;
	sameEpoch[1] = false
}

/* Changes the lease row, so that nobody knows its version and no other request passes its check. */
inline writeRow(holder) {
	rowHolder = holder;
	sameVersion[0] = false;
	sameVersion[1] = false;
	lateWrite[0] = NO_WRITE;
	lateWrite[1] = NO_WRITE;
	ownWrite[0] = false;
	ownWrite[1] = false
}

/* Rule `takeover`: one transaction checks the version of the lease row and writes both rows. */
inline applyTakeover(p) {
	writeRow(p);
#ifndef FAULT_SPLIT_TAKEOVER
	writeEpoch(p)
#endif
}

/* Rule `expiry`: counted from before the request left. */
inline believe(p) {
#ifdef FAULT_COUNT_FROM_ANSWER
	left[p] = TTL - MARGIN;
#else
	if
	:: sentAge[p] < TTL - MARGIN && left[p] < TTL - MARGIN - sentAge[p] -> left[p] = TTL - MARGIN - sentAge[p]
	:: else -> skip
	fi;
#endif
	sentAge[p] = TTL;
	assert(left[0] == 0 || left[1] == 0)
}

proctype Process(byte self) {
	bool mine;
watch:
	do
	:: atomic { /* The first sight of the row. */
			sameVersion[self] = true;
			seenAge[self] = 0
		};
		/* Rule `take`: a free row at once, another one after the same version was seen for the whole ttl. */
#ifndef FAULT_NO_WAIT
		if
		:: sameVersion[self] && (rowHolder == NOBODY || SEEN_LONG_ENOUGH(self)) -> skip
		:: atomic { !sameVersion[self] || ownWrite[self] -> seenAge[self] = TTL; goto watch }
		fi;
#endif
		atomic {
			seenAge[self] = TTL;
			sentAge[self] = 0;
			ownWrite[self] = false;
			if
			:: lateWrite[self] == TAKEOVER -> lateWrite[self] = OLD_TAKEOVER
			:: else -> skip
			fi
		};
		if
		:: atomic { /* The request arrives. */
#ifdef FAULT_BLIND_TAKE
				true ->
#else
				sameVersion[self] ->
#endif
				applyTakeover(self);
				ownWrite[self] = true
			}
		:: atomic { !sameVersion[self] -> sentAge[self] = TTL } /* It is refused. */
		:: atomic { sameVersion[self] -> lateWrite[self] = TAKEOVER } /* It is given up. */
		fi
	/* The answer arrives, or a later read shows the own write id. */
	:: atomic { ownWrite[self] -> ownWrite[self] = false };
#ifdef FAULT_SPLIT_TAKEOVER
		atomic {
			if
			:: rowHolder == self -> writeEpoch(self)
			:: else -> skip
			fi
		};
#endif
		/* Rule `own-epoch`: the epoch row is read after the takeover and must show the own epoch. */
		atomic {
			if
			:: epochHolder == self -> sameEpoch[self] = true; mine = true
			:: else -> sentAge[self] = TTL
			fi
		};
		if
		:: mine -> /* The answer to that read, possibly late. */
			atomic {
				mine = false;
				believe(self);
				if
				:: rowHolder == self && sameEpoch[self] -> sameVersion[self] = true
				:: else -> skip
				fi
			};
			goto hold
		:: else -> skip
		fi
	od;
hold:
	do
	:: left[self] > 0 ->
		/* Rule `effect`: the own clock first, then, after a pause of any length, the check of the epoch row. */
		atomic {
#ifndef FAULT_NO_EPOCH_CHECK
			sameEpoch[self] ->
#endif
			assert(rowHolder == self)
		}
	:: left[self] > 0 -> goto gone /* Killed and started again, or the effect above was refused. */
	:: atomic { left[self] > 0 -> sentAge[self] = 0 };
		/* Rule `renewal`: checks the version of the lease row and leaves the epoch row alone. */
		if
		:: atomic { sameVersion[self] -> writeRow(self) };
			if
			:: atomic { /* The answer arrives. A lapsed lease does not come back to life. */
					if
					:: left[self] > 0 -> believe(self)
					:: else -> sentAge[self] = TTL
					fi;
					if
					:: rowHolder == self && sameEpoch[self] -> sameVersion[self] = true
					:: else -> skip
					fi
				}
			:: sentAge[self] = TTL
			fi
		:: atomic { sameVersion[self] -> lateWrite[self] = RENEWAL; sentAge[self] = TTL }
		:: atomic { !sameVersion[self] -> sentAge[self] = TTL };
			/* Rule `adopt`: the version of a renewal with a lost answer is read, if the row is still of the own epoch. */
			atomic {
				if
				:: rowHolder == self && sameEpoch[self] -> sameVersion[self] = true
				:: else -> goto gone
				fi
			}
		fi
	:: atomic { left[self] > 0 -> /* Rule `give-back`: the duty has stopped before the row is freed. */
#ifndef FAULT_EARLY_RELEASE
			left[self] = 0
#endif
		};
		atomic {
			if
			:: sameVersion[self] -> writeRow(NOBODY)
			:: else -> skip
			fi
		};
		goto gone
	:: left[self] == 0 -> goto gone
	od;
gone:
	atomic {
#ifndef FAULT_EARLY_RELEASE
		left[self] = 0;
#endif
		sameEpoch[self] = false;
		sameVersion[self] = false;
		ownWrite[self] = false
	};
	goto watch
}

/* Requests that were given up and take effect after all. */
proctype Network() {
	byte p;
end:
	do
	:: atomic {
			select(p : 0 .. 1);
			if
			:: lateWrite[p] == RENEWAL -> writeRow(p)
			:: lateWrite[p] == TAKEOVER -> applyTakeover(p); ownWrite[p] = true
			:: lateWrite[p] == OLD_TAKEOVER -> applyTakeover(p)
			:: else -> skip
			fi;
			p = 0
		}
	od
}

proctype Time() {
	byte p;
end:
	do
	:: d_step {
			for (p : 0 .. 1) {
				if
				:: left[p] > 0 -> left[p]--
				:: else -> skip
				fi;
				if
				:: sentAge[p] < TTL -> sentAge[p]++
				:: else -> skip
				fi;
				if
				:: seenAge[p] < TTL -> seenAge[p]++
				:: else -> skip
				fi
			}
			p = 0
		}
	od
}

init {
	atomic {
		run Process(0);
		run Process(1);
		run Network();
		run Time()
	}
}
