/* fault: FAULT_NO_ANNOUNCE */
/* fault: FAULT_NO_CONFIRM */
/* fault: FAULT_NO_SETTLE */
/* fault: FAULT_READ_CLEARS */
/* fault: FAULT_MINORITY */
/* fault: FAULT_STALE_EVIDENCE */
/* fault: FAULT_FORGET_ACCEPTED */
/* fault: FAULT_LATE_CONFIRM */
/* code: packages/core/src/freshness.ts */
/* code: packages/core/src/witness.ts */
/* code: packages/core/src/witness-groups.ts */
/* code: packages/entry/src/control/publisher.ts */
/*
 * Freshness under an outage of the store or a partition. One witness group of three, one writer, one asker. Every message
 * may fail, also to the store, which covers partitions of every shape. The writer may die after any step, because
 * nothing forces it to take the next one. A withdrawal is version 1.
 *
 * Properties: (1) no attestation without version 1 whose first question left after the withdrawal was accepted;
 * (2) none whose first question left after version 1 was written, as long as no witness has lost its note of it.
 *
 * Bounds: nothing is counted but the writer's majority, so restarts, forgotten announcements and rounds of evidence are
 * unlimited. One withdrawal suffices, because a witness compares versions only with its own. Other groups can only
 * prevent an attestation. Changing lists of witnesses are not modelled; core's random schedules have them.
 *
 * Reductions: an answer counts only if its witness does not hold version 1, since one with that version makes the asker
 * wait for it, which is as good as a read. The date of a round is that of its first answer, the latest possible. The
 * oldest read that may settle a witness is the first that `settle-time` allows after its restart: it shows version 0
 * exactly if the head was not written then (`oldRead`). A read that a peer relays is dated by that read and is thus included.
 */
#define W 3
#ifdef FAULT_MINORITY
#define NEEDED 1
#else
#define NEEDED 2
#endif
#define NOBODY 3

bool head;
bool accepted;
/* From before the announcement until the acceptance, at most for the time in which a writer may confirm. */
bool underWay;
/* A witness that had noted the version has restarted or taken the writer for dead. */
bool noteLost;

bool pending[W];
/* The witness knows from the writer that the pending version was written. */
bool told[W];
bool holds[W];
bool settled[W] = true;
bool oldRead[W] = true;
/* The witness restarted while the writer was under way. */
bool waits[W];

#ifdef FAULT_LATE_CONFIRM
#define IN_TIME true
#else
#define IN_TIME underWay
#endif
/* Rule `settle-time`: evidence counts only from a date at which the writers of the restart have ended. */
#define MAY_DATE(w) (!waits[w] || !underWay)

/* Rules `pending` and `settled`. */
#define ATTESTS_OLD(w) (settled[w] && !pending[w] && !holds[w])

inline note(w) {
	pending[w] = !holds[w]
}

inline writerEnds() {
	underWay = false;
	waits[0] = false;
	waits[1] = false;
	waits[2] = false
}

proctype Writer() {
	byte w;
	byte count;
	underWay = true;
	/* Rule `announce`: a majority notes the version before it is written. */
#ifndef FAULT_NO_ANNOUNCE
	do
	:: w < W ->
		atomic {
			if
			:: note(w); count++
			:: note(w) /* The answer is lost. */
			:: skip
			fi;
			w++
		}
	:: else -> break
	od;
	count >= NEEDED;
	atomic { w = 0; count = 0 };
#endif
	head = true;
	/* Rule `confirm`: accepted once a majority has acknowledged the outcome, and so notes the version in any case. */
#ifndef FAULT_NO_CONFIRM
	do
	:: w < W ->
		atomic {
			if
			:: note(w); told[w] = pending[w]; count++
			:: note(w); told[w] = pending[w]
			:: skip
			fi;
			w++
		}
	:: else -> break
	od;
	count >= NEEDED;
#endif
	/* Rule `in-time`: a writer that took too long counts as not confirmed. */
	atomic { IN_TIME -> accepted = true; writerEnds(); w = 0; count = 0 }
}

proctype Witness(byte self) {
	/* First answer to the own round of questions; the round ends with the restart. */
	byte first = NOBODY;
	byte w;
end:
	do
	:: atomic { /* Restart. */
			noteLost = noteLost || pending[self];
			pending[self] = false;
			told[self] = false;
			holds[self] = false;
			first = NOBODY;
			waits[self] = underWay;
#ifndef FAULT_NO_SETTLE
			settled[self] = false;
#endif
			/* Rule `dated`: older evidence settles nothing. */
#ifndef FAULT_STALE_EVIDENCE
			oldRead[self] = !head && !underWay
#endif
		}
	:: atomic { /* Rule `limit`: the writer is taken for dead, unless it has reported the write. */
#ifdef FAULT_FORGET_ACCEPTED
			pending[self] ->
#else
			pending[self] && !told[self] ->
#endif
			pending[self] = false;
			told[self] = false;
			noteLost = true
		}
	:: atomic { /* A read from before the write, possibly late. */
			oldRead[self] && (!settled[self] || pending[self]) ->
#ifdef FAULT_READ_CLEARS
			pending[self] = false;
#endif
			settled[self] = true;
			first = NOBODY
		}
	:: atomic { /* A read from after the write. */
			head && !holds[self] && MAY_DATE(self) ->
			holds[self] = true;
			pending[self] = false;
			told[self] = false;
			settled[self] = true;
			first = NOBODY
		}
	:: atomic { /* An attestation of the others, which cannot rest on this witness. */
			!settled[self] && !oldRead[self] && first == NOBODY && MAY_DATE(self) ->
			select(w : 0 .. 2);
			if
			:: w != self && ATTESTS_OLD(w) ->
				if
				:: NEEDED == 1 -> settled[self] = true
				:: else -> first = w
				fi
			:: else -> skip
			fi;
			w = 0
		}
	:: atomic {
			!settled[self] && first != NOBODY ->
			w = 3 - self - first;
			if
			:: ATTESTS_OLD(w) -> settled[self] = true
			:: true -> skip /* No answer. */
			fi;
			first = NOBODY;
			w = 0
		}
	od
}

/* The time in which the writer may confirm runs out. */
proctype Time() {
end:
	atomic {
		underWay ->
		oldRead[0] = oldRead[0] || (waits[0] && !head);
		oldRead[1] = oldRead[1] || (waits[1] && !head);
		oldRead[2] = oldRead[2] || (waits[2] && !head);
		writerEnds()
	}
}

/* Asks for one attestation after another. */
proctype Asker() {
	byte first = NOBODY;
	byte w;
	bool acceptedBefore;
	bool writtenBefore;
end:
	do
	:: atomic { /* Rule `freshness`: evidence is dated before the first question left. */
			first == NOBODY ->
			select(w : 0 .. 2);
			if
			:: ATTESTS_OLD(w) ->
				acceptedBefore = accepted;
				writtenBefore = head && !noteLost;
				first = w
			:: else -> skip
			fi;
			w = 0
		}
	:: atomic { /* Rule `attestation`: a majority of the group. */
			first != NOBODY ->
			select(w : 0 .. 2);
			if
			:: NEEDED == 1 || (w != first && ATTESTS_OLD(w)) ->
				assert(!acceptedBefore);
				assert(!writtenBefore || noteLost)
			:: else -> skip
			fi;
			first = NOBODY;
			acceptedBefore = false;
			writtenBefore = false;
			w = 0
		}
	od
}

init {
	atomic {
		run Writer();
		run Witness(0);
		run Witness(1);
		run Witness(2);
		run Time();
		run Asker()
	}
}
