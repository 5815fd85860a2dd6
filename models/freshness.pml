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
 * Freshness of the configuration during an outage of the store or a partition. There is one witness group of three, one
 * writer and one requester of attestations. Every message may fail, also to the store, which covers partitions of every
 * shape. The writer may die after any step, because nothing forces it to take the next one. It publishes version 1, a
 * withdrawal, for example of a key that version 0 accepts.
 *
 * Properties: (1) no attestation without version 1 whose first request was sent after the withdrawal was accepted;
 * (2) none whose first request was sent after version 1 was written, as long as no witness has lost its announcement.
 *
 * Bounds: only the majority of the writer is counted, so restarts, forgotten announcements and attest rounds are
 * unlimited. One withdrawal is enough, because a witness compares versions only with its own. Other groups can only
 * prevent an attestation. Changes of the list of witnesses are not modelled; the random schedules in the tests of
 * packages/core cover them.
 *
 * Reductions: a reply counts only if its witness does not have version 1, because a reply with that version makes the
 * requester wait for it, which is as good as a read. A round is dated from its first reply, which is the latest possible
 * date. The oldest read that may serve a restarted witness as freshness proof is the first that `settle-time` allows after
 * the restart. It returns version 0 exactly if the head was not written at that time (`mayReadOldHead`). A read that a peer
 * relays is dated from that read and is therefore included.
 */
#define WITNESSES 3
#ifdef FAULT_MINORITY
#define REQUIRED_WITNESSES 1
#else
#define REQUIRED_WITNESSES 2
#endif
#define NO_WITNESS 3

bool isHeadWritten;
bool isAccepted;
/* True from before the announcement until the acceptance, at most for the time in which a writer may confirm. */
bool mayWriterConfirm;
/* A witness that had recorded the announcement has restarted or has dropped it because of its time limit. */
bool isAnnouncementLost;

bool hasAnnouncement[WITNESSES];
/* The writer has reported to the witness that the announced version was written. */
bool isWriteReported[WITNESSES];
bool hasVersion[WITNESSES];
bool hasValidProof[WITNESSES] = true;
bool mayReadOldHead[WITNESSES] = true;
/* The witness restarted while the writer might still confirm. */
bool hasRestartedDuringWrite[WITNESSES];

#ifdef FAULT_LATE_CONFIRM
#define IS_IN_TIME true
#else
#define IS_IN_TIME mayWriterConfirm
#endif
/* Rule `settle-time`: a proof counts only if it is dated after the end of all writers that were running at the restart. */
#define MAY_USE_NEW_PROOF(w) (!hasRestartedDuringWrite[w] || !mayWriterConfirm)

/* Rules `pending` and `settled`: no attestation during an announcement, nor after a restart without a freshness proof. */
#define MAY_ATTEST_OLD(w) (hasValidProof[w] && !hasAnnouncement[w] && !hasVersion[w])

inline recordAnnouncement(w) {
	hasAnnouncement[w] = !hasVersion[w]
}

inline endWriter() {
	mayWriterConfirm = false;
	hasRestartedDuringWrite[0] = false;
	hasRestartedDuringWrite[1] = false;
	hasRestartedDuringWrite[2] = false
}

proctype Writer() {
	byte w;
	byte acknowledgementCount;
	mayWriterConfirm = true;
	/* Rule `announce`: a majority records the version before it is written. */
#ifndef FAULT_NO_ANNOUNCE
	do
	:: w < WITNESSES ->
		atomic {
			if
			:: recordAnnouncement(w); acknowledgementCount++
			:: recordAnnouncement(w) /* The reply is lost. */
			:: skip
			fi;
			w++
		}
	:: else -> break
	od;
	acknowledgementCount >= REQUIRED_WITNESSES;
	atomic { w = 0; acknowledgementCount = 0 };
#endif
	isHeadWritten = true;
	/* Rule `confirm`: accepted once a majority has acknowledged the outcome, which also records the version. */
#ifndef FAULT_NO_CONFIRM
	do
	:: w < WITNESSES ->
		atomic {
			if
			:: recordAnnouncement(w); isWriteReported[w] = hasAnnouncement[w]; acknowledgementCount++
			:: recordAnnouncement(w); isWriteReported[w] = hasAnnouncement[w]
			:: skip
			fi;
			w++
		}
	:: else -> break
	od;
	acknowledgementCount >= REQUIRED_WITNESSES;
#endif
	/* Rule `in-time`: a writer that exceeds its time limit counts as not confirmed. */
	atomic { IS_IN_TIME -> isAccepted = true; endWriter(); w = 0; acknowledgementCount = 0 }
}

proctype Witness(byte self) {
	/* The first witness that replied in the attest round of this witness; a restart ends the round. */
	byte firstWitness = NO_WITNESS;
	byte w;
end:
	do
	:: atomic { /* Restart. */
			isAnnouncementLost = isAnnouncementLost || hasAnnouncement[self];
			hasAnnouncement[self] = false;
			isWriteReported[self] = false;
			hasVersion[self] = false;
			firstWitness = NO_WITNESS;
			hasRestartedDuringWrite[self] = mayWriterConfirm;
#ifndef FAULT_NO_SETTLE
			hasValidProof[self] = false;
#endif
			/* Rule `dated`: a proof from before the restart does not count. */
#ifndef FAULT_STALE_EVIDENCE
			mayReadOldHead[self] = !isHeadWritten && !mayWriterConfirm
#endif
		}
	:: atomic { /* Rule `limit`: the writer counts as dead after the limit, unless it has reported the write. */
#ifdef FAULT_FORGET_ACCEPTED
			hasAnnouncement[self] ->
#else
			hasAnnouncement[self] && !isWriteReported[self] ->
#endif
			hasAnnouncement[self] = false;
			isWriteReported[self] = false;
			isAnnouncementLost = true
		}
	:: atomic { /* A read from before the write, possibly late. */
			mayReadOldHead[self] && (!hasValidProof[self] || hasAnnouncement[self]) ->
#ifdef FAULT_READ_CLEARS
			hasAnnouncement[self] = false;
#endif
			hasValidProof[self] = true;
			firstWitness = NO_WITNESS
		}
	:: atomic { /* A read from after the write. */
			isHeadWritten && !hasVersion[self] && MAY_USE_NEW_PROOF(self) ->
			hasVersion[self] = true;
			hasAnnouncement[self] = false;
			isWriteReported[self] = false;
			hasValidProof[self] = true;
			firstWitness = NO_WITNESS
		}
	:: atomic { /* An attestation by the other witnesses, which cannot depend on this one. */
			!hasValidProof[self] && !mayReadOldHead[self] && firstWitness == NO_WITNESS && MAY_USE_NEW_PROOF(self) ->
			select(w : 0 .. 2);
			if
			:: w != self && MAY_ATTEST_OLD(w) ->
				if
				:: REQUIRED_WITNESSES == 1 -> hasValidProof[self] = true
				:: else -> firstWitness = w
				fi
			:: else -> skip
			fi;
			w = 0
		}
	:: atomic {
			!hasValidProof[self] && firstWitness != NO_WITNESS ->
			w = 3 - self - firstWitness;
			if
			:: MAY_ATTEST_OLD(w) -> hasValidProof[self] = true
			:: true -> skip /* No reply. */
			fi;
			firstWitness = NO_WITNESS;
			w = 0
		}
	od
}

/* The time in which the writer may confirm ends. */
proctype ConfirmTimeout() {
end:
	atomic {
		mayWriterConfirm ->
		mayReadOldHead[0] = mayReadOldHead[0] || (hasRestartedDuringWrite[0] && !isHeadWritten);
		mayReadOldHead[1] = mayReadOldHead[1] || (hasRestartedDuringWrite[1] && !isHeadWritten);
		mayReadOldHead[2] = mayReadOldHead[2] || (hasRestartedDuringWrite[2] && !isHeadWritten);
		endWriter()
	}
}

/* Requests one attestation after another. */
proctype Requester() {
	byte firstWitness = NO_WITNESS;
	byte w;
	bool wasAccepted;
	bool wasWritten;
end:
	do
	:: atomic { /* Rule `freshness`: a proof is dated from before the first request was sent. */
			firstWitness == NO_WITNESS ->
			select(w : 0 .. 2);
			if
			:: MAY_ATTEST_OLD(w) ->
				wasAccepted = isAccepted;
				wasWritten = isHeadWritten && !isAnnouncementLost;
				firstWitness = w
			:: else -> skip
			fi;
			w = 0
		}
	:: atomic { /* Rule `attestation`: a majority of the group must attest. */
			firstWitness != NO_WITNESS ->
			select(w : 0 .. 2);
			if
			:: REQUIRED_WITNESSES == 1 || (w != firstWitness && MAY_ATTEST_OLD(w)) ->
				assert(!wasAccepted);
				assert(!wasWritten || isAnnouncementLost)
			:: else -> skip
			fi;
			firstWitness = NO_WITNESS;
			wasAccepted = false;
			wasWritten = false;
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
		run ConfirmTimeout();
		run Requester()
	}
}
