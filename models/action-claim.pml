/* fault: FAULT_NO_CLAIM */
/* fault: FAULT_NO_INCARNATION */
/* fault: FAULT_REFUSAL_PROVES */
/* fault: FAULT_BLIND_RELEASE */
/* fault: FAULT_FORGET_REFUSAL */
/* fault: FAULT_UNCHECKED_LATE_CLAIM */
/* fault: FAULT_NO_NUMBER */
/* fault: FAULT_NO_CONNECTION */
/* code: packages/store/src/claim-writer.ts */
/* code: packages/agent/src/refusals.ts */
/* code: packages/agent/src/action-messages.ts */
/*
 * The claim of one action. A caller sends the same action through several entries. Each entry may crash at any step, a
 * reply from the table may be lost, and a message to the agent may be delayed and arrive twice. The agent may restart, and
 * the connection that carries the messages may be replaced. The agent stores nothing about the actions themselves, only
 * the highest message number that it received on the connection.
 *
 * Properties: the action runs at most once, and a request that was reported as "not run" has not run and never runs later.
 *
 * Bounds: three requests that claim once each, one restart of the agent and one replaced connection. The requests share
 * the connection; with a connection for each request, a message would be compared with fewer others. Two requests
 * conflict over the row, and a third one claims it after a release; the version of the row rises at most three times per
 * request. A second restart would only add refusals. A dispatch to a second agent is not modelled: it happens only after a
 * refusal which proves that the first agent did not run the action, and this is the same as a release and a new claim.
 */
#define REQUESTS 3
#define NO_OWNER 255

#define ABSENT 0
#define CLAIMED 1
#define RELEASED 2
#define DONE 3

byte rowState = ABSENT;
byte rowOwner = NO_OWNER;
byte rowVersion;

byte runCount;
bool ran[REQUESTS];
bool reportedNotRun[REQUESTS];

byte incarnation;
byte restartCount;
/* The connection, which each incarnation of the agent numbers from 0, and the message numbers at its two ends. */
byte connection;
byte replacementCount;
byte lastSentNumber;
byte highestReceivedNumber;

/* The message of each request. It can be delivered up to twice, and may never be delivered. */
byte deliveriesLeft[REQUESTS];
byte sentIncarnation[REQUESTS];
byte sentConnection[REQUESTS];
byte messageNumber[REQUESTS];

#define NO_REPLY 0
#define REFUSED 1
#define ANSWERED 2
#define OTHER_INCARNATION 3
byte reply[REQUESTS];

inline reportNotRun(i) {
	atomic {
		reportedNotRun[i] = true;
		assert(!ran[i])
	}
}

inline releaseClaim(i) {
	atomic {
		if
#ifdef FAULT_BLIND_RELEASE
		:: true -> rowState = RELEASED; rowVersion++
#else
		:: rowOwner == i && rowState == CLAIMED -> rowState = RELEASED; rowVersion++
		:: else -> skip
#endif
		fi
	}
}

/* Writes a claim, which the caller allows only if the row still has the version that was read. */
inline writeClaim(i, expectedVersion) {
	rowState = CLAIMED;
	rowOwner = i;
	rowVersion++
}

/* A claim that takes effect after its request has given up waiting for the reply. */
proctype LateClaim(byte i; byte expectedVersion) {
#ifdef FAULT_UNCHECKED_LATE_CLAIM
	atomic { rowVersion >= expectedVersion -> writeClaim(i, expectedVersion) }
#else
	atomic { rowVersion == expectedVersion -> writeClaim(i, expectedVersion) }
#endif
}

/* Rule `late-claim`: the release checks the same version as the claim, so the claim cannot take effect after it. */
inline releaseUncertainClaim(i, expectedVersion) {
	atomic {
		if
		:: rowVersion == expectedVersion -> rowState = RELEASED; rowOwner = i; rowVersion++
		:: rowVersion != expectedVersion && rowOwner == i && rowState == CLAIMED -> rowState = RELEASED; rowVersion++
		:: else -> skip
		fi
	}
}

proctype Request(byte self) {
	byte expectedVersion;
	/* Rule `claim`: a durable row is written, if it still has the version read, before the first byte is sent. */
readRow:
	atomic {
		if
		:: rowState == ABSENT || rowState == RELEASED -> expectedVersion = rowVersion
		:: else ->
#ifndef FAULT_NO_CLAIM
			goto finished /* The action is in doubt or already done, so nothing is reported about it. */
#endif
		fi
	};
	if
	:: atomic {
#ifdef FAULT_NO_CLAIM
			true ->
#else
			rowVersion == expectedVersion ->
#endif
			writeClaim(self, expectedVersion)
		}
	:: rowVersion != expectedVersion -> goto readRow
	:: run LateClaim(self, expectedVersion);
		reportNotRun(self);
		if
		:: releaseUncertainClaim(self, expectedVersion)
		:: skip /* The entry crashes. */
		fi;
		goto finished
	fi;
	if
	:: goto finished /* The entry crashes before the dispatch. */
	:: atomic {
			sentIncarnation[self] = incarnation;
			sentConnection[self] = connection;
			lastSentNumber++;
			messageNumber[self] = lastSentNumber;
			deliveriesLeft[self] = 2
		}
	fi;
	if
	:: goto finished /* The entry crashes, or the connection is lost: the outcome is unknown. */
	:: reply[self] == ANSWERED -> atomic { if :: rowOwner == self && rowState == CLAIMED -> rowState = DONE; rowVersion++ :: else -> skip fi }
	:: reply[self] == REFUSED ->
		/* Rule `release`: only the owner of the row releases it, and only after a proof that nothing ran. */
		releaseClaim(self);
		if
		:: releaseClaim(self) /* The reply from the table was lost, so the write is sent again. */
		:: skip
		fi;
		reportNotRun(self)
	:: reply[self] == OTHER_INCARNATION ->
		/* Rule `other-incarnation`: an earlier incarnation of the agent may have run the action. */
#ifdef FAULT_REFUSAL_PROVES
		releaseClaim(self);
		reportNotRun(self)
#else
		skip
#endif
	fi;
finished:
	skip
}

#ifdef FAULT_NO_INCARNATION
#define MATCHES_INCARNATION(i) true
#else
#define MATCHES_INCARNATION(i) (sentIncarnation[i] == incarnation)
#endif
#ifdef FAULT_NO_CONNECTION
#define MATCHES_CONNECTION(i) true
#else
#define MATCHES_CONNECTION(i) (sentConnection[i] == connection)
#endif
#ifdef FAULT_NO_NUMBER
#define IS_ABOVE_RECEIVED(i) true
#else
#define IS_ABOVE_RECEIVED(i) (messageNumber[i] > highestReceivedNumber)
#endif

active proctype Agent() {
	byte i;
end:
	do
	:: atomic {
		i = 0;
		do
		:: i < REQUESTS && deliveriesLeft[i] > 0 -> break
		:: i < REQUESTS -> i++
		:: i >= REQUESTS -> break
		od;
		i < REQUESTS;
		deliveriesLeft[i]--;
		if
#ifndef FAULT_NO_INCARNATION
		:: sentIncarnation[i] != incarnation -> if :: reply[i] == NO_REPLY -> reply[i] = OTHER_INCARNATION :: else -> skip fi
#endif
		/* Rule `message-number`: a message runs only on the connection it was sent on and above all numbers received there. */
		:: MATCHES_INCARNATION(i) && MATCHES_CONNECTION(i) && IS_ABOVE_RECEIVED(i) ->
			/* The number is recorded as received before any check can refuse the message. */
			highestReceivedNumber = messageNumber[i];
			if
			:: runCount++;
				ran[i] = true;
				assert(runCount <= 1);
				assert(!reportedNotRun[i]);
				/* The reply may be lost. */
				if :: reply[i] = ANSWERED :: skip fi
			:: reply[i] = REFUSED;
#ifdef FAULT_FORGET_REFUSAL
				highestReceivedNumber = messageNumber[i] - 1
#endif
			fi
		:: else -> skip /* The action does not run; the refusal reports the outcome as "unknown". */
		fi
	}
	:: atomic {
		restartCount < 1;
		restartCount++;
		incarnation++;
		connection = 0;
		lastSentNumber = 0;
		highestReceivedNumber = 0
	}
	:: atomic {
		replacementCount < 1;
		replacementCount++;
		connection++;
		lastSentNumber = 0;
		highestReceivedNumber = 0
	}
	od
}

init {
	atomic {
		run Request(0);
		run Request(1);
		run Request(2)
	}
}
