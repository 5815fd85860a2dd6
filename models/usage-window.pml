/* fault: FAULT_NO_FREEZE */
/* fault: FAULT_BLIND_FREEZE */
/* fault: FAULT_NO_READ_BACK */
/* fault: FAULT_OVERWRITE */
/* code: packages/entry/src/duties/usage-reporter.ts */
/* code: packages/core/src/usage.ts */
/*
 * Freezing and reporting one usage window. Two reporters, of which one may be a former
 * holder of the lease that has not noticed; parts arrive late; answers of the table may be lost.
 *
 * Properties: all reports of the window carry the same figure, and a look after the last confirmed flush of an entry sees
 * that flush, although an older write takes effect after it. That two reporters do not both believe that they are in
 * charge is shown by lease.pml.
 *
 * Bounds: each reporter tries twice and two parts arrive late. The frozen row never changes again, so a third try adds
 * only one more report of the same row.
 */
#define NOT_FROZEN 255
#define NO_REPORT 255

byte parts = 1;
byte frozen = NOT_FROZEN;
byte firstReport = NO_REPORT;

inline report(figure) {
	atomic {
		if
		:: firstReport == NO_REPORT -> firstReport = figure
		:: else -> assert(figure == firstReport)
		fi
	}
}

proctype Reporter() {
	byte sum;
	byte figure;
	bool applied;
	byte tries = 0;
	do
	:: tries < 2 ->
		tries++;
		sum = parts;
#ifdef FAULT_NO_FREEZE
		report(sum);
#else
		/* Rule `freeze`: the row is written only while it is absent. */
		atomic {
			if
#ifdef FAULT_BLIND_FREEZE
			:: true -> frozen = sum; applied = true
#else
			:: frozen == NOT_FROZEN -> frozen = sum; applied = true
			:: else -> applied = false
#endif
			fi
		};
		if
		:: true -> /* The answer arrives, or is lost, or says that the row exists: read back. */
#ifdef FAULT_NO_READ_BACK
			figure = sum;
#else
			figure = frozen;
#endif
			report(figure)
		:: true -> skip /* The reporter is killed here. */
		fi
#endif
	:: else -> break
	od
}

active proctype LateParts() {
	do
	:: parts < 3 -> parts++
	:: else -> break
	od
}

/* Three flushes of one part in order; only the last one has to be confirmed before the entry ends. */
byte newestState;
bool isLastConfirmed;

proctype Write(byte state) {
	atomic {
		/* Rule `state-object`: each state has an object of its own, and the highest one counts. */
		if
#ifdef FAULT_OVERWRITE
		:: true -> newestState = state
#else
		:: state > newestState -> newestState = state
		:: else -> skip
#endif
		fi;
		if
		:: state == 3 -> isLastConfirmed = true
		:: else -> skip
		fi
	}
}

proctype LastLook() {
	atomic { isLastConfirmed -> assert(newestState == 3) }
}

init {
	atomic {
		run Write(1);
		run Write(2);
		run Write(3);
		run LastLook();
		run Reporter();
		run Reporter()
	}
}
