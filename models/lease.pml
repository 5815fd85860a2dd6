/* fault: FAULT_COUNT_FROM_ANSWER */
/* fault: FAULT_NO_WAIT */
/* fault: FAULT_BLIND_TAKE */
/* fault: FAULT_NO_EPOCH_CHECK */
/* fault: FAULT_SPLIT_TAKEOVER */
/* fault: FAULT_EARLY_RELEASE */
/* code: packages/core/src/lease.ts */
/* code: packages/store/src/lease-runner.ts */
/*
 * Duty leases with time. Two processes compete for one lease. Requests and replies may be slow or lost, a request whose
 * sender no longer waits for it may still take effect, and each process may be paused at any moment, because its steps
 * interleave freely with `Time`.
 *
 * Properties: (1) two processes never count themselves as holder of the lease at the same time; (2) no transaction of a
 * duty that checks the row lease-epoch/<duty> takes effect after another process has taken the lease.
 *
 * Bounds: no counter grows without limit, so ticks, renewals and takeovers are unlimited. Versions are compared only for
 * equality, so each is one bit per process that has read it. Ages stop counting at the ttl, because no rule distinguishes
 * higher ones. Two processes are enough, because both properties concern a pair and a third process would only change the
 * row more often. A ttl of three ticks leaves a holder two, enough for a step at the start of its lease, one in between
 * and one at the end.
 */
#define TTL_TICKS 3
#define MARGIN_TICKS 1
#define PROCESSES 2
#define NO_HOLDER 2

#define NO_WRITE 0
#define RENEWAL 1
#define TAKEOVER 2
/* A takeover that is not the last attempt of its process. */
#define EARLIER_TAKEOVER 3

/* The holder in the row lease/<duty>. */
byte rowHolder = NO_HOLDER;
/* The process that wrote the row lease-epoch/<duty> last. */
byte epochHolder = NO_HOLDER;
/* Whether the lease row still has the version that the process read or wrote last. */
bool isVersionCurrent[PROCESSES];
/* Whether the epoch row still has the version that the process checks. */
bool isEpochCurrent[PROCESSES];
/* A request whose sender no longer waits for it, and whose version check still matches the lease row. */
byte pendingWrite[PROCESSES];
/* Whether the lease row contains the write id of the last takeover of the process. */
bool isOwnWrite[PROCESSES];

/* Ticks until the authority of the process ends by its own clock; 0 means that it does not hold the lease. */
byte authorityTicksLeft[PROCESSES];
/* Ticks since the request was sent, and since the process first read the current version of the row. */
byte requestAge[PROCESSES] = TTL_TICKS;
byte observedAge[PROCESSES] = TTL_TICKS;

#define HAS_EXPIRED(p) (observedAge[p] >= TTL_TICKS)

inline writeEpochRow(p) {
	epochHolder = p;
	isEpochCurrent[0] = false;
	isEpochCurrent[1] = false
}

/* Changes the lease row, so that no process has its version and no pending request passes its check. */
inline writeLeaseRow(holder) {
	rowHolder = holder;
	isVersionCurrent[0] = false;
	isVersionCurrent[1] = false;
	pendingWrite[0] = NO_WRITE;
	pendingWrite[1] = NO_WRITE;
	isOwnWrite[0] = false;
	isOwnWrite[1] = false
}

/* Rule `takeover`: one transaction checks the version of the lease row and writes both rows. */
inline applyTakeover(p) {
	writeLeaseRow(p);
#ifndef FAULT_SPLIT_TAKEOVER
	writeEpochRow(p)
#endif
}

/* Rule `expiry`: the authority counts from before the request was sent. */
inline extendAuthority(p) {
#ifdef FAULT_COUNT_FROM_ANSWER
	authorityTicksLeft[p] = TTL_TICKS - MARGIN_TICKS;
#else
	if
	:: requestAge[p] < TTL_TICKS - MARGIN_TICKS && authorityTicksLeft[p] < TTL_TICKS - MARGIN_TICKS - requestAge[p] ->
		authorityTicksLeft[p] = TTL_TICKS - MARGIN_TICKS - requestAge[p]
	:: else -> skip
	fi;
#endif
	requestAge[p] = TTL_TICKS;
	assert(authorityTicksLeft[0] == 0 || authorityTicksLeft[1] == 0)
}

proctype Process(byte self) {
	bool isEpochOwn;
observeRow:
	do
	:: atomic { /* The process reads a version of the row for the first time. */
			isVersionCurrent[self] = true;
			observedAge[self] = 0
		};
		/* Rule `take`: a free row at once, a held one only after the same version was observed for the whole ttl. */
#ifndef FAULT_NO_WAIT
		if
		:: isVersionCurrent[self] && (rowHolder == NO_HOLDER || HAS_EXPIRED(self)) -> skip
		:: atomic { !isVersionCurrent[self] || isOwnWrite[self] -> observedAge[self] = TTL_TICKS; goto observeRow }
		fi;
#endif
		atomic {
			observedAge[self] = TTL_TICKS;
			requestAge[self] = 0;
			isOwnWrite[self] = false;
			if
			:: pendingWrite[self] == TAKEOVER -> pendingWrite[self] = EARLIER_TAKEOVER
			:: else -> skip
			fi
		};
		if
		:: atomic { /* The request takes effect. */
#ifdef FAULT_BLIND_TAKE
				true ->
#else
				isVersionCurrent[self] ->
#endif
				applyTakeover(self);
				isOwnWrite[self] = true
			}
		:: atomic { !isVersionCurrent[self] -> requestAge[self] = TTL_TICKS } /* The request is refused. */
		:: atomic { isVersionCurrent[self] -> pendingWrite[self] = TAKEOVER } /* The process stops waiting for the request. */
		fi
	/* The reply arrives, or a later read shows the write id of the process. */
	:: atomic { isOwnWrite[self] -> isOwnWrite[self] = false };
#ifdef FAULT_SPLIT_TAKEOVER
		atomic {
			if
			:: rowHolder == self -> writeEpochRow(self)
			:: else -> skip
			fi
		};
#endif
		/* Rule `own-epoch`: the epoch row is read after the takeover and must show the epoch of the process. */
		atomic {
			if
			:: epochHolder == self -> isEpochCurrent[self] = true; isEpochOwn = true
			:: else -> requestAge[self] = TTL_TICKS
			fi
		};
		if
		:: isEpochOwn -> /* The reply to that read, possibly late. */
			atomic {
				isEpochOwn = false;
				extendAuthority(self);
				if
				:: rowHolder == self && isEpochCurrent[self] -> isVersionCurrent[self] = true
				:: else -> skip
				fi
			};
			goto hold
		:: else -> skip
		fi
	od;
hold:
	do
	:: authorityTicksLeft[self] > 0 ->
		/* Rule `effect`: the process checks its clock and then, after a pause of any length, the epoch row. */
		atomic {
#ifndef FAULT_NO_EPOCH_CHECK
			isEpochCurrent[self] ->
#endif
			assert(rowHolder == self)
		}
	:: authorityTicksLeft[self] > 0 -> goto stopped /* The process was killed and started again, or the transaction above was refused. */
	:: atomic { authorityTicksLeft[self] > 0 -> requestAge[self] = 0 };
		/* Rule `renewal`: checks the version of the lease row and does not write the epoch row. */
		if
		:: atomic { isVersionCurrent[self] -> writeLeaseRow(self) };
			if
			:: atomic { /* The reply arrives. An expired lease is never extended. */
					if
					:: authorityTicksLeft[self] > 0 -> extendAuthority(self)
					:: else -> requestAge[self] = TTL_TICKS
					fi;
					if
					:: rowHolder == self && isEpochCurrent[self] -> isVersionCurrent[self] = true
					:: else -> skip
					fi
				}
			:: requestAge[self] = TTL_TICKS
			fi
		:: atomic { isVersionCurrent[self] -> pendingWrite[self] = RENEWAL; requestAge[self] = TTL_TICKS }
		:: atomic { !isVersionCurrent[self] -> requestAge[self] = TTL_TICKS };
			/* Rule `adopt`: after a renewal with a lost reply, the version is read again if the row still has the own epoch. */
			atomic {
				if
				:: rowHolder == self && isEpochCurrent[self] -> isVersionCurrent[self] = true
				:: else -> goto stopped
				fi
			}
		fi
	:: atomic { authorityTicksLeft[self] > 0 -> /* Rule `give-back`: the duty has stopped before the row is freed. */
#ifndef FAULT_EARLY_RELEASE
			authorityTicksLeft[self] = 0
#endif
		};
		atomic {
			if
			:: isVersionCurrent[self] -> writeLeaseRow(NO_HOLDER)
			:: else -> skip
			fi
		};
		goto stopped
	:: authorityTicksLeft[self] == 0 -> goto stopped
	od;
stopped:
	atomic {
#ifndef FAULT_EARLY_RELEASE
		authorityTicksLeft[self] = 0;
#endif
		isEpochCurrent[self] = false;
		isVersionCurrent[self] = false;
		isOwnWrite[self] = false
	};
	goto observeRow
}

/* Requests that take effect after their sender has stopped waiting for them. */
proctype DelayedRequests() {
	byte p;
end:
	do
	:: atomic {
			select(p : 0 .. 1);
			if
			:: pendingWrite[p] == RENEWAL -> writeLeaseRow(p)
			:: pendingWrite[p] == TAKEOVER -> applyTakeover(p); isOwnWrite[p] = true
			:: pendingWrite[p] == EARLIER_TAKEOVER -> applyTakeover(p)
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
				:: authorityTicksLeft[p] > 0 -> authorityTicksLeft[p]--
				:: else -> skip
				fi;
				if
				:: requestAge[p] < TTL_TICKS -> requestAge[p]++
				:: else -> skip
				fi;
				if
				:: observedAge[p] < TTL_TICKS -> observedAge[p]++
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
		run DelayedRequests();
		run Time()
	}
}
