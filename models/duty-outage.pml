/* fault: FAULT_NO_ANNOUNCE */
/* fault: FAULT_NO_WAIT */
/* fault: FAULT_LATE_MAJORITY */
/* fault: FAULT_NO_REFUSAL */
/* fault: FAULT_SHORT_REFUSAL */
/* fault: FAULT_NO_SETTLE */
/* fault: FAULT_MINORITY */
/* fault: FAULT_COUNT_FROM_ANSWER */
/* fault: FAULT_REVIVE */
/* fault: FAULT_BLIND_TAKE */
/* code: packages/core/src/duty-witness.ts */
/* code: packages/core/src/outage-authority.ts */
/* code: packages/store/src/lease-runner.ts */
/*
 * Authority over a duty during a table outage, with time. The processes are the holder of an epoch, the successor that
 * tries to take over the next epoch, and a group of three witnesses. Every message to a witness or to the table may fail
 * for each sender separately, which covers an outage for all, for some, and partitions of every shape; replies may be lost
 * or late. Each process may be paused at any moment, because its steps interleave freely with `Time`. A witness may restart
 * at any moment and then forgets the announcements that it recorded. The successor may be killed and started again after
 * any step, also after the announcement and after the write, which may still take effect.
 *
 * Property: the holder never has authority once the takeover has taken effect in the table, however long the successor
 * takes to learn of it.
 *
 * Bounds: renewals, attest rounds, announcements and restarts are unlimited. One pair of successive epochs is enough: an
 * earlier holder has no authority when the later one takes over and, by rule `continuity`, never regains it. Several
 * successors for one epoch only add refusals, because the table lets one of them win. Whether a witness reaches the table
 * is not modelled: that rule only makes a holder that alone is cut off lose its authority. Changes of the list of
 * witnesses are not modelled; the random schedules in the tests of packages/core cover them.
 *
 * Reductions: the holder sends requests to the witnesses in any order, the successor in a fixed order, because the
 * witnesses are alike. A restart is modelled as an announcement that the witness records by itself (rule `settle`). An
 * attest round is dated from its first positive reply, which is the latest possible date. Margins for clock drift are left
 * out.
 */
#define WITNESSES 3
#define NO_WITNESS 3
#define TTL_TICKS 2
/* How long an attestation is valid. */
#define ATTESTATION_TICKS 2
/* Longest time from the first announcement to the acknowledgements of a majority. */
#define ANNOUNCEMENT_TICKS 1

#ifdef FAULT_MINORITY
#define REQUIRED_WITNESSES 1
#else
#define REQUIRED_WITNESSES 2
#endif
/* Rule `refusal`: how long a witness attests no lower epoch after an announcement. */
#ifdef FAULT_SHORT_REFUSAL
#define REFUSAL_TICKS ATTESTATION_TICKS
#else
#define REFUSAL_TICKS (ATTESTATION_TICKS + ANNOUNCEMENT_TICKS)
#endif
#define MAX_AGE_TICKS 3

/* In the table: the takeover has been written, and the lease row still has the version that the successor read. */
bool isTakenOver;
bool isVersionCurrent;
/* A takeover whose reply the successor no longer waits for, and which may still take effect. */
bool isTakeoverPending;

/* The holder: ticks left of the lease and of the last attestation, by its own clock. */
byte leaseTicksLeft = TTL_TICKS;
byte attestedTicksLeft;
/* Ticks since the renewal or the attest round was sent. An unanswered renewal has taken effect in the table. */
byte renewalAge;
bool isRenewalUnanswered;
byte roundAge;
byte firstWitness = NO_WITNESS;
bool isRoundAttested;

/* Ticks since the current step of the successor began. */
byte successorStepAge;
/* Ticks for which each witness still refuses to attest the epoch of the holder. */
byte refusalTicksLeft[WITNESSES];

#define HAS_AUTHORITY (leaseTicksLeft > 0 || attestedTicksLeft > 0)

#ifdef FAULT_NO_REFUSAL
#define MAY_ATTEST(w) true
#else
#define MAY_ATTEST(w) (refusalTicksLeft[w] == 0)
#endif
#ifdef FAULT_REVIVE
#define MAY_EXTEND true
#else
#define MAY_EXTEND HAS_AUTHORITY
#endif

inline assertInvariant() {
	assert(!isTakenOver || !HAS_AUTHORITY)
}

inline applyTakeover() {
	isTakenOver = true;
	isTakeoverPending = false;
	assertInvariant()
}

inline endRound() {
	firstWitness = NO_WITNESS;
	isRoundAttested = false;
	roundAge = 0
}

proctype Holder() {
	byte w;
end:
	do
	/* A renewal as in models/lease.pml. Its only step is the effect in the table: one that does not arrive changes nothing. */
	:: atomic { leaseTicksLeft > 0 && !isRenewalUnanswered && !isTakenOver ->
			isRenewalUnanswered = true;
			renewalAge = 0;
			isVersionCurrent = false;
			isTakeoverPending = false
		}
	/* A renewal that takes effect after the holder has stopped waiting for it. */
	:: atomic { !isTakenOver -> isVersionCurrent = false; isTakeoverPending = false }
	:: atomic { isRenewalUnanswered ->
			if
			:: leaseTicksLeft > 0 && renewalAge < TTL_TICKS && TTL_TICKS - renewalAge > leaseTicksLeft ->
				leaseTicksLeft = TTL_TICKS - renewalAge
			:: true -> skip /* The reply is lost or too late. */
			fi;
			isRenewalUnanswered = false;
			renewalAge = 0;
			assertInvariant()
		}
	/* Rule `attestation`: a majority of the witnesses must attest in one attest round. */
	:: atomic { MAY_EXTEND && firstWitness == NO_WITNESS ->
			select(w : 0 .. 2);
			if
			:: MAY_ATTEST(w) -> firstWitness = w; roundAge = 0; isRoundAttested = (REQUIRED_WITNESSES == 1)
			:: else -> skip
			fi;
			w = 0
		}
	:: atomic { firstWitness != NO_WITNESS && !isRoundAttested ->
			select(w : 0 .. 2);
			if
			:: w != firstWitness && MAY_ATTEST(w) -> isRoundAttested = true
			:: else -> endRound()
			fi;
			w = 0
		}
	:: atomic { firstWitness != NO_WITNESS && isRoundAttested ->
			if
			/* Rule `continuity`: authority that has expired is never extended. */
			:: MAY_EXTEND ->
#ifdef FAULT_COUNT_FROM_ANSWER
				attestedTicksLeft = ATTESTATION_TICKS;
#else
				/* Rule `dated`: the validity counts from before the requests were sent. */
				if
				:: roundAge < ATTESTATION_TICKS && ATTESTATION_TICKS - roundAge > attestedTicksLeft ->
					attestedTicksLeft = ATTESTATION_TICKS - roundAge
				:: else -> skip
				fi;
#endif
				assertInvariant()
			:: else -> skip
			fi;
			endRound()
		}
	od
}

proctype Successor() {
	byte w;
	byte acknowledgementCount;
observeRow:
	atomic { w = 0; acknowledgementCount = 0; successorStepAge = 0; isVersionCurrent = true };
	/* Waits until the lease has expired, as in models/lease.pml. */
	if
	:: successorStepAge >= TTL_TICKS -> skip
	:: goto observeRow
	fi;
	/* Rule `announce`: a majority records the takeover before it is written. */
#ifndef FAULT_NO_ANNOUNCE
	successorStepAge = 0;
	do
	:: w < WITNESSES ->
		atomic {
			if
			:: refusalTicksLeft[w] = REFUSAL_TICKS; acknowledgementCount++
			:: refusalTicksLeft[w] = REFUSAL_TICKS /* The reply is lost. */
			:: skip
			fi;
			w++
		}
	:: else -> break
	od;
	/* Rule `window`: the refusal periods of the majority overlap for as long as an attestation is valid. */
	if
#ifdef FAULT_LATE_MAJORITY
	:: atomic { acknowledgementCount >= REQUIRED_WITNESSES -> successorStepAge = 0 }
#else
	:: atomic { acknowledgementCount >= REQUIRED_WITNESSES && successorStepAge <= ANNOUNCEMENT_TICKS -> successorStepAge = 0 }
#endif
	:: goto observeRow
	fi;
	/* Rule `wait`: attestations from before the announcement expire first. */
#ifndef FAULT_NO_WAIT
	if
	:: successorStepAge >= ATTESTATION_TICKS -> skip
	:: goto observeRow
	fi;
#endif
#endif
	/* Rule `write`: the takeover checks the row version that was read before the announcement. */
	if
#ifdef FAULT_BLIND_TAKE
	:: atomic { !isTakenOver -> applyTakeover() }
#else
	:: atomic { !isTakenOver && isVersionCurrent -> applyTakeover() }
#endif
	:: atomic { !isTakenOver && isVersionCurrent -> isTakeoverPending = true }; goto observeRow
	:: goto observeRow
	fi
}

/* Takeovers that take effect late, and restarts of witnesses. */
proctype DelaysAndRestarts() {
	byte w;
end:
	do
	:: atomic { isTakeoverPending -> applyTakeover() }
	:: atomic {
			select(w : 0 .. 2);
			/* Rule `settle`: a restarted witness refuses for as long as an announcement that it forgot may still be in effect. */
#ifdef FAULT_NO_SETTLE
			refusalTicksLeft[w] = 0;
#else
			refusalTicksLeft[w] = REFUSAL_TICKS;
#endif
			w = 0
		}
	od
}

#define COUNT_DOWN(ticks) if :: ticks > 0 -> ticks-- :: else -> skip fi
#define COUNT_UP(age) if :: age < MAX_AGE_TICKS -> age++ :: else -> skip fi

proctype Time() {
end:
	do
	:: d_step {
			COUNT_DOWN(leaseTicksLeft);
			COUNT_DOWN(attestedTicksLeft);
			COUNT_DOWN(refusalTicksLeft[0]);
			COUNT_DOWN(refusalTicksLeft[1]);
			COUNT_DOWN(refusalTicksLeft[2]);
			COUNT_UP(successorStepAge);
			if
			:: isRenewalUnanswered -> COUNT_UP(renewalAge)
			:: else -> skip
			fi;
			if
			:: firstWitness != NO_WITNESS -> COUNT_UP(roundAge)
			:: else -> skip
			fi
		}
	od
}

init {
	atomic {
		run Holder();
		run Successor();
		run DelaysAndRestarts();
		run Time()
	}
}
