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
 * Authority of a duty during a table outage, in time. The holder of an epoch, a taker of the next one and a group of three
 * witnesses. Every message to a witness or to the table may fail for each sender separately, which covers an outage for
 * all, for some and partitions of every shape; answers may be lost or late. Each process may be paused at any moment, which
 * is the free interleaving of its steps with `Time`. Witnesses restart at any moment and forget what they noted. The taker
 * may be killed and start again after any step, also after the announcement and after the write, which may still arrive.
 *
 * Property: the holder never has authority once the takeover has taken effect in the table, however long the taker takes
 * to learn of it.
 *
 * Bounds: renewals, rounds of questions, announcements and restarts are unlimited. One pair of successive epochs
 * suffices: an earlier holder has no authority when the later one takes over and, by rule `continuity`, gets none again.
 * Several takers of one epoch only add refusals, because the table lets one of them win. Whether a witness reaches the
 * table is not asked here: that rule only makes a holder that is cut off alone give way. Changing lists of witnesses are
 * not modelled; core's random schedules have them.
 *
 * Reductions: the witnesses are asked in any order by the holder and in a fixed one by the taker, as they are alike. A
 * restart is an announcement that the witness notes by itself (rule `settle`). The date of a round of questions is that of its
 * first positive answer, the latest possible. Margins for the drift of clocks are left out.
 */
#define W 3
#define NOBODY 3
#define TTL 2
/* Validity of an attestation. */
#define ATTESTATION 2
/* Longest time from the first announcement to the answers of a majority. */
#define WINDOW 1

#ifdef FAULT_MINORITY
#define NEEDED 1
#else
#define NEEDED 2
#endif
/* Rule `refusal`: how long a witness attests no lower epoch after an announcement. */
#ifdef FAULT_SHORT_REFUSAL
#define REFUSAL ATTESTATION
#else
#define REFUSAL (ATTESTATION + WINDOW)
#endif
#define MAX_AGE 3

/* The table: the takeover has been written; the row still has the version that the taker saw. */
bool taken;
bool sameVersion;
/* A takeover that was given up and may still arrive. */
bool lateTakeover;

/* The holder: ticks left of the lease and of the last attestation, by its own clock. */
byte leaseLeft = TTL;
byte outageLeft;
/* Ticks since the renewal and the round of questions left; a renewal that has reached the table awaits its answer. */
byte renewAge;
bool renewed;
byte askAge;
byte first = NOBODY;
bool attested;

/* Ticks since the present step of the taker began. */
byte takerAge;
/* Ticks for which each witness attests nothing to the holder. */
byte refuses[W];

#define HAS_AUTHORITY (leaseLeft > 0 || outageLeft > 0)

#ifdef FAULT_NO_REFUSAL
#define ATTESTS(w) true
#else
#define ATTESTS(w) (refuses[w] == 0)
#endif
#ifdef FAULT_REVIVE
#define MAY_EXTEND true
#else
#define MAY_EXTEND HAS_AUTHORITY
#endif

inline check() {
	assert(!taken || !HAS_AUTHORITY)
}

inline takeOver() {
	taken = true;
	lateTakeover = false;
	check()
}

inline endRound() {
	first = NOBODY;
	attested = false;
	askAge = 0
}

proctype Holder() {
	byte w;
end:
	do
	/* A renewal as in models/lease.pml. Only the table's part is a step, as one that does not arrive changes nothing. */
	:: atomic { leaseLeft > 0 && !renewed && !taken ->
			renewed = true;
			renewAge = 0;
			sameVersion = false;
			lateTakeover = false
		}
	/* A given-up renewal that arrives later. */
	:: atomic { !taken -> sameVersion = false; lateTakeover = false }
	:: atomic { renewed ->
			if
			:: leaseLeft > 0 && renewAge < TTL && TTL - renewAge > leaseLeft -> leaseLeft = TTL - renewAge
			:: true -> skip /* The answer is lost or too late. */
			fi;
			renewed = false;
			renewAge = 0;
			check()
		}
	/* Rule `attestation`: a majority of the witnesses answers one round of questions. */
	:: atomic { MAY_EXTEND && first == NOBODY ->
			select(w : 0 .. 2);
			if
			:: ATTESTS(w) -> first = w; askAge = 0; attested = (NEEDED == 1)
			:: else -> skip
			fi;
			w = 0
		}
	:: atomic { first != NOBODY && !attested ->
			select(w : 0 .. 2);
			if
			:: w != first && ATTESTS(w) -> attested = true
			:: else -> endRound()
			fi;
			w = 0
		}
	:: atomic { first != NOBODY && attested ->
			if
			/* Rule `continuity`: authority that has lapsed does not come back. */
			:: MAY_EXTEND ->
#ifdef FAULT_COUNT_FROM_ANSWER
				outageLeft = ATTESTATION;
#else
				/* Rule `dated`: counted from before the questions left. */
				if
				:: askAge < ATTESTATION && ATTESTATION - askAge > outageLeft -> outageLeft = ATTESTATION - askAge
				:: else -> skip
				fi;
#endif
				check()
			:: else -> skip
			fi;
			endRound()
		}
	od
}

proctype Taker() {
	byte w;
	byte count;
watch:
	atomic { w = 0; count = 0; takerAge = 0; sameVersion = true };
	/* Waits until the lease has lapsed, as in models/lease.pml. */
	if
	:: takerAge >= TTL -> skip
	:: goto watch
	fi;
	/* Rule `announce`: a majority notes the takeover before it is written. */
#ifndef FAULT_NO_ANNOUNCE
	takerAge = 0;
	do
	:: w < W ->
		atomic {
			if
			:: refuses[w] = REFUSAL; count++
			:: refuses[w] = REFUSAL /* The answer is lost. */
			:: skip
			fi;
			w++
		}
	:: else -> break
	od;
	/* Rule `window`: the refusals of the majority overlap for the validity of an attestation. */
	if
#ifdef FAULT_LATE_MAJORITY
	:: atomic { count >= NEEDED -> takerAge = 0 }
#else
	:: atomic { count >= NEEDED && takerAge <= WINDOW -> takerAge = 0 }
#endif
	:: goto watch
	fi;
	/* Rule `wait`: attestations from before the announcement run out. */
#ifndef FAULT_NO_WAIT
	if
	:: takerAge >= ATTESTATION -> skip
	:: goto watch
	fi;
#endif
#endif
	/* Rule `write`: the takeover checks the version that was seen before the announcement. */
	if
#ifdef FAULT_BLIND_TAKE
	:: atomic { !taken -> takeOver() }
#else
	:: atomic { !taken && sameVersion -> takeOver() }
#endif
	:: atomic { !taken && sameVersion -> lateTakeover = true }; goto watch
	:: goto watch
	fi
}

/* Takeovers that were given up, and restarts of witnesses. */
proctype Surroundings() {
	byte w;
end:
	do
	:: atomic { lateTakeover -> takeOver() }
	:: atomic {
			select(w : 0 .. 2);
			/* Rule `settle`: a witness that has started refuses as long as an announcement that it forgot may count. */
#ifdef FAULT_NO_SETTLE
			refuses[w] = 0;
#else
			refuses[w] = REFUSAL;
#endif
			w = 0
		}
	od
}

#define COUNT_DOWN(left) if :: left > 0 -> left-- :: else -> skip fi
#define COUNT_UP(age) if :: age < MAX_AGE -> age++ :: else -> skip fi

proctype Time() {
end:
	do
	:: d_step {
			COUNT_DOWN(leaseLeft);
			COUNT_DOWN(outageLeft);
			COUNT_DOWN(refuses[0]);
			COUNT_DOWN(refuses[1]);
			COUNT_DOWN(refuses[2]);
			COUNT_UP(takerAge);
			if
			:: renewed -> COUNT_UP(renewAge)
			:: else -> skip
			fi;
			if
			:: first != NOBODY -> COUNT_UP(askAge)
			:: else -> skip
			fi
		}
	od
}

init {
	atomic {
		run Holder();
		run Taker();
		run Surroundings();
		run Time()
	}
}
