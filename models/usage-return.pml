/* fault: FAULT_TAKE_MISSING_ROW */
/* fault: FAULT_NO_SKIP */
/* fault: FAULT_ALWAYS_CONTINUE */
/* fault: FAULT_CONTINUE_UNREAD */
/* code: packages/store/src/lease-runner.ts */
/* code: packages/forward/src/usage/usage-duty.ts */
/*
 * Usage reports under a lease, over one return of the store from a copy. Two processes compete for the lease; what was written since
 * the copy is lost at the return. Each generation has a lease row of its own. Processes may be killed, learn of the return late,
 * and send a recorded report late.
 *
 * Properties: (1) two processes never count themselves as holder at the same time; (2) the platform never gets two figures for
 * one window.
 *
 * Bounds: two windows and one return. A sum is one of two figures, because each sum may differ from the one before. Requests to the
 * store are carried out at once; models/lease.pml has the late ones, and here a late one of the older generation changes no row
 * that is read. What no later step can read is set to 0, which leaves fewer states.
 */
#define TTL_TICKS 3
#define MARGIN_TICKS 1
#define WINDOWS 2
#define MISSING 2
#define RELEASED 3

byte generation;
/* The lease row of each generation. */
byte holder[2] = MISSING;
/* The recorded report: windows below it are recorded. Its figure, and the generation of its lease. */
byte recorded;
byte recordedFigure;
byte recordedGeneration;
/* The copy. */
byte copyRecorded;
byte copyFigure;
/* Windows below it are due. */
byte due;
/* Figures that the platform has accepted; 0 is none. */
byte accepted[WINDOWS];

/* Ticks until the authority of a process ends, and until another may take its lease. */
byte authority[2];
byte exclusive[2];
/* Ticks since the process first saw the present row of the generation. A holder begins to count when its tenure has ended. */
byte observed[2];

inline sendReport(window, figure) {
	assert(accepted[window] == 0 || accepted[window] == figure);
	accepted[window] = figure
}

inline takeLease(p) {
	holder[generation] = p;
	observed[0] = 0;
	observed[1] = 0;
	authority[p] = TTL_TICKS - MARGIN_TICKS;
	exclusive[p] = (generation == 0 -> TTL_TICKS : 0);
	assert(authority[0] == 0 || authority[1] == 0)
}

proctype Process(byte self) {
	byte seen;
	/* Windows below it are reported, as the process knows. */
	byte next;
	/* A recorded report that is not sent, as figure; 0 is none. */
	byte pending;
	/* Whether the last tenure had read the recorded report, and whether the next first takeover continues it. */
	bool isKnown;
	bool isContinued;
	/* Whether the tenure has read the recorded report. */
	bool isRead;
idle:
	do
	:: atomic { seen != generation ->
			seen = generation;
			observed[self] = 0;
#ifdef FAULT_ALWAYS_CONTINUE
			isContinued = true
#else
			isContinued = exclusive[self] > 0
#endif
			;
			exclusive[self] = 0
		}
	:: atomic { seen == generation && holder[seen] != self && (
				holder[seen] == RELEASED
				|| observed[self] >= TTL_TICKS
				|| (holder[seen] == MISSING && isContinued)
#ifdef FAULT_TAKE_MISSING_ROW
				|| holder[seen] == MISSING
#else
				|| (holder[seen] == MISSING && seen == 0)
#endif
			) ->
			/* Rule `continue`: only a first takeover in the generation continues a tenure of the older one, if nobody else can have held it since. */
			isContinued = isContinued && holder[seen] == MISSING;
#ifndef FAULT_CONTINUE_UNREAD
			isContinued = isContinued && isKnown;
#endif
			takeLease(self);
			isRead = false
		};
		goto hold
	:: atomic { holder[seen] == self && authority[self] == 0 && observed[self] >= TTL_TICKS && seen == generation ->
			isContinued = false;
			takeLease(self);
			isRead = false
		};
		goto hold
	:: atomic { isKnown -> /* Killed and started again: the process forgets what it knew. */
			isKnown = false; isContinued = false; exclusive[self] = 0; next = 0; pending = 0
		}
	od;
hold:
	do
	:: atomic { !isRead && seen == generation && authority[self] > 0 ->
			if
			:: recordedGeneration == seen ->
				next = (recorded > 0 -> recorded - 1 : 0);
				pending = recordedFigure
			:: recordedGeneration != seen && isContinued -> skip
			:: recordedGeneration != seen && !isContinued ->
				/* Rule `skip`: another holder may have reported the windows that are due. */
#ifdef FAULT_NO_SKIP
				next = recorded;
#else
				next = due;
#endif
				pending = 0
			fi;
			isRead = true;
			isKnown = true
		}
	/* The record is a transaction that checks the epoch row of the generation. */
	:: atomic { isRead && pending == 0 && next < due && seen == generation && holder[seen] == self && authority[self] > 0 ->
			if
			:: pending = 1
			:: pending = 2
			fi;
			recorded = next + 1;
			recordedFigure = pending;
			recordedGeneration = seen
		}
	:: atomic { isRead && pending != 0 && authority[self] > 0 ->
			sendReport(next, pending);
			next++;
			pending = 0
		}
	:: atomic { seen == generation && holder[seen] == self && authority[self] > 0 ->
			authority[self] = TTL_TICKS - MARGIN_TICKS;
			exclusive[self] = (generation == 0 -> TTL_TICKS : 0);
			observed[1 - self] = 0
		}
	:: atomic { seen == generation && holder[seen] == self && authority[self] > 0 ->
			holder[seen] = RELEASED;
			authority[self] = 0;
			exclusive[self] = 0
		};
		break
	:: atomic { seen != generation || authority[self] == 0 -> authority[self] = 0 };
		break
	:: atomic { isKnown = false; isContinued = false; authority[self] = 0; exclusive[self] = 0; next = 0; pending = 0 };
		break
	od;
	atomic {
		/* A tenure that has not read the recorded report knows nothing of what was reported before. */
		isKnown = isKnown && isRead;
		isContinued = false
	};
	goto idle
}

proctype Store() {
end:
	do
	:: atomic { generation == 0 -> copyRecorded = recorded; copyFigure = recordedFigure }
	:: atomic { generation == 0 ->
			recorded = copyRecorded;
			recordedFigure = copyFigure;
			generation = 1;
			copyRecorded = 0;
			copyFigure = 0
		}
	:: atomic { due < WINDOWS -> due++ }
	od
}

proctype Time() {
	byte p;
end:
	do
	:: d_step {
			for (p : 0 .. 1) {
				if
				:: authority[p] > 0 -> authority[p]--
				:: else -> skip
				fi;
				if
				:: exclusive[p] > 0 -> exclusive[p]--
				:: else -> skip
				fi;
				if
				:: authority[p] == 0 && observed[p] < TTL_TICKS -> observed[p]++
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
		run Store();
		run Time()
	}
}
