/* fault: FAULT_NO_FREEZE */
/* fault: FAULT_BLIND_FREEZE */
/* fault: FAULT_NO_READ_BACK */
/* fault: FAULT_OVERWRITE */
/* code: packages/entry/src/duties/usage-reporter.ts */
/* code: packages/core/src/usage.ts */
/*
 * Freezing and reporting one usage window. Of the two reporters, one may be a former holder of the lease that has not
 * noticed that it lost it. Usage parts arrive late, and replies from the table may be lost.
 *
 * Properties: all reports of the window have the same figure, and a read after the last confirmed flush of an entry
 * returns that flush, even if an older write takes effect after it. The model lease.pml shows that the two reporters
 * never both count themselves as holder of the lease.
 *
 * Bounds: each reporter makes two attempts, and two parts arrive late. The frozen row never changes again, so a third
 * attempt would only add one more report of the same row.
 */
#define NOT_FROZEN 255
#define NO_REPORT 255

byte partCount = 1;
byte frozenFigure = NOT_FROZEN;
byte firstReportedFigure = NO_REPORT;

inline reportFigure(figure) {
	atomic {
		if
		:: firstReportedFigure == NO_REPORT -> firstReportedFigure = figure
		:: else -> assert(figure == firstReportedFigure)
		fi
	}
}

proctype Reporter() {
	byte sum;
	byte figure;
	bool hasFrozenRow;
	byte attempts = 0;
	do
	:: attempts < 2 ->
		attempts++;
		sum = partCount;
#ifdef FAULT_NO_FREEZE
		reportFigure(sum);
#else
		/* Rule `freeze`: the row is written only while it is absent. */
		atomic {
			if
#ifdef FAULT_BLIND_FREEZE
			:: true -> frozenFigure = sum; hasFrozenRow = true
#else
			:: frozenFigure == NOT_FROZEN -> frozenFigure = sum; hasFrozenRow = true
			:: else -> hasFrozenRow = false
#endif
			fi
		};
		if
		:: true -> /* The reply arrives, is lost, or says that the row exists: the row is read back. */
#ifdef FAULT_NO_READ_BACK
			figure = sum;
#else
			figure = frozenFigure;
#endif
			reportFigure(figure)
		:: true -> skip /* The reporter is killed here. */
		fi
#endif
	:: else -> break
	od
}

active proctype LateParts() {
	do
	:: partCount < 3 -> partCount++
	:: else -> break
	od
}

/* Three successive flushes of one part. Only the last one must be confirmed before the entry ends. */
byte visibleState;
bool isLastConfirmed;

proctype FlushWrite(byte state) {
	atomic {
		/* Rule `state-object`: each state is written to its own object, and the highest state counts. */
		if
#ifdef FAULT_OVERWRITE
		:: true -> visibleState = state
#else
		:: state > visibleState -> visibleState = state
		:: else -> skip
#endif
		fi;
		if
		:: state == 3 -> isLastConfirmed = true
		:: else -> skip
		fi
	}
}

proctype FinalRead() {
	atomic { isLastConfirmed -> assert(visibleState == 3) }
}

init {
	atomic {
		run FlushWrite(1);
		run FlushWrite(2);
		run FlushWrite(3);
		run FinalRead();
		run Reporter();
		run Reporter()
	}
}
