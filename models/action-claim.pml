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
 * The claim of one action. A caller sends the same action through several entries; each
 * entry may crash at any step; the answer of the table may be lost; messages to the agent may be delayed and come twice;
 * the agent may restart, and the connection over which the messages come may be replaced. The agent keeps nothing of the
 * actions themselves: only the highest number that it received on the connection.
 *
 * Properties: the action runs at most once, and a caller that was told "not run" is told the truth for its request,
 * also later.
 *
 * Bounds: three requests, of which each claims once, one restart of the agent and one replaced connection, which the
 * requests share; with a connection each, a message is compared with fewer others. Two requests conflict over the row and
 * a third one claims it after a release; the row's version rises at most three times per request. A second restart
 * only refuses more. A dispatch to a second agent is not modelled: it follows only after a refusal that proves that the
 * first one did not run it, which is the same as a release and a new claim.
 */
#define REQUESTS 3
#define NOBODY 255

#define ABSENT 0
#define CLAIMED 1
#define RELEASED 2
#define DONE 3

byte rowState = ABSENT;
byte rowOwner = NOBODY;
byte rowVersion;

byte runs;
bool ran[REQUESTS];
bool toldNotRun[REQUESTS];

byte incarnation;
byte restarts;
/* The connection, named anew by each incarnation of the agent, and what both ends count on it. */
byte connection;
byte replacements;
byte lastSent;
byte highestReceived;

/* What is on its way: a message stays until it is taken twice, or for ever. */
byte copies[REQUESTS];
byte addressed[REQUESTS];
byte sentOver[REQUESTS];
byte number[REQUESTS];

#define NONE 0
#define REFUSED 1
#define ANSWERED 2
#define OTHER_INCARNATION 3
byte reply[REQUESTS];

inline tellNotRun(i) {
	atomic {
		toldNotRun[i] = true;
		assert(!ran[i])
	}
}

inline release(i) {
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

/* Writes a claim on the version that was read. */
inline writeClaim(i, expected) {
	rowState = CLAIMED;
	rowOwner = i;
	rowVersion++
}

/* A claim that takes effect after its request was given up. */
proctype LateClaim(byte i; byte expected) {
#ifdef FAULT_UNCHECKED_LATE_CLAIM
	atomic { rowVersion >= expected -> writeClaim(i, expected) }
#else
	atomic { rowVersion == expected -> writeClaim(i, expected) }
#endif
}

/* Rule `late-claim`: the release checks the same version as the claim, so that the claim cannot come after it. */
inline releaseUnsettled(i, expected) {
	atomic {
		if
		:: rowVersion == expected -> rowState = RELEASED; rowOwner = i; rowVersion++
		:: rowVersion != expected && rowOwner == i && rowState == CLAIMED -> rowState = RELEASED; rowVersion++
		:: else -> skip
		fi
	}
}

proctype Request(byte self) {
	byte expected;
	/* Rule `claim`: a durable row, on the version read, before the first byte. */
judge:
	atomic {
		if
		:: rowState == ABSENT || rowState == RELEASED -> expected = rowVersion
		:: else ->
#ifndef FAULT_NO_CLAIM
			goto finished /* In doubt or already done: no promise is made. */
#endif
		fi
	};
	if
	:: atomic {
#ifdef FAULT_NO_CLAIM
			true ->
#else
			rowVersion == expected ->
#endif
			writeClaim(self, expected)
		}
	:: rowVersion != expected -> goto judge
	:: run LateClaim(self, expected);
		tellNotRun(self);
		if
		:: releaseUnsettled(self, expected)
		:: skip /* The entry crashes. */
		fi;
		goto finished
	fi;
	if
	:: goto finished /* The entry crashes before the dispatch. */
	:: atomic {
			addressed[self] = incarnation;
			sentOver[self] = connection;
			lastSent++;
			number[self] = lastSent;
			copies[self] = 2
		}
	fi;
	if
	:: goto finished /* The entry crashes, or the connection is lost: unknown. */
	:: reply[self] == ANSWERED -> atomic { if :: rowOwner == self && rowState == CLAIMED -> rowState = DONE; rowVersion++ :: else -> skip fi }
	:: reply[self] == REFUSED ->
		/* Rule `release`: only the owner of the row, and only after a proof that nothing ran. */
		release(self);
		if
		:: release(self) /* The answer was lost; the write is sent again. */
		:: skip
		fi;
		tellNotRun(self)
	:: reply[self] == OTHER_INCARNATION ->
		/* Rule `other-incarnation`: an earlier life may have run it. */
#ifdef FAULT_REFUSAL_PROVES
		release(self);
		tellNotRun(self)
#else
		skip
#endif
	fi;
finished:
	skip
}

#ifdef FAULT_NO_INCARNATION
#define IS_ADDRESSED(i) true
#else
#define IS_ADDRESSED(i) (addressed[i] == incarnation)
#endif
#ifdef FAULT_NO_CONNECTION
#define IS_OF_CONNECTION(i) true
#else
#define IS_OF_CONNECTION(i) (sentOver[i] == connection)
#endif
#ifdef FAULT_NO_NUMBER
#define IS_NEW(i) true
#else
#define IS_NEW(i) (number[i] > highestReceived)
#endif

active proctype Agent() {
	byte i;
end:
	do
	:: atomic {
		i = 0;
		do
		:: i < REQUESTS && copies[i] > 0 -> break
		:: i < REQUESTS -> i++
		:: i >= REQUESTS -> break
		od;
		i < REQUESTS;
		copies[i]--;
		if
#ifndef FAULT_NO_INCARNATION
		:: addressed[i] != incarnation -> if :: reply[i] == NONE -> reply[i] = OTHER_INCARNATION :: else -> skip fi
#endif
		/* Rule `message-number`: over the connection on which it was sent, and above all numbers received there. */
		:: IS_ADDRESSED(i) && IS_OF_CONNECTION(i) && IS_NEW(i) ->
			/* The number counts as received before anything can refuse the message. */
			highestReceived = number[i];
			if
			:: runs++;
				ran[i] = true;
				assert(runs <= 1);
				assert(!toldNotRun[i]);
				/* The answer may get lost on the way. */
				if :: reply[i] = ANSWERED :: skip fi
			:: reply[i] = REFUSED;
#ifdef FAULT_FORGET_REFUSAL
				highestReceived = number[i] - 1
#endif
			fi
		:: else -> skip /* It gets no run; the refusal says "unknown". */
		fi
	}
	:: atomic {
		restarts < 1;
		restarts++;
		incarnation++;
		connection = 0;
		lastSent = 0;
		highestReceived = 0
	}
	:: atomic {
		replacements < 1;
		replacements++;
		connection++;
		lastSent = 0;
		highestReceived = 0
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
