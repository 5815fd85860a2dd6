/* fault: FAULT_NO_LEASE_CHECK */
/* fault: FAULT_NO_SLOT */
/* fault: FAULT_NO_SETTLE */
/* fault: FAULT_NO_MARK */
/* fault: FAULT_NO_CONFIRM */
/* fault: FAULT_ROW_NOT_READ */
/* fault: FAULT_NO_ENGINE_NUMBER */
/* code: packages/core/src/engine-orders.ts */
/* code: packages/agent/src/slot.ts */
/* code: packages/agent/src/order-executor.ts */
/* code: packages/agent/src/order-row.ts */
/* code: packages/entry/src/duties/order-rows.ts */
/* code: packages/entry/src/duties/outage-orders.ts */
/*
 * Orders to an engine that ignores order numbers. Two planners, each of which may
 * be a former holder of the lease that has not noticed; lives of the agent on one host, each of which may be paused at any
 * step and end right before or after it sent an order. A write with a lost answer is repeated until a read shows its write id, so it is one step here; the
 * write of a planner that no longer waits for its answer may take effect at any later time.
 *
 * The first planner also sends orders of a table outage, which leave no row. The table is not modelled as down: any agent
 * may take such an order at any time, also one that arrives late or again, which allows more than an outage does. That
 * nobody takes the lease over while the planner's authority lasts is the work of the witnesses; here a takeover ends
 * every confirmation.
 *
 * Properties: orders do not overlap at the engine, their numbers never fall, no order takes effect that was written or
 * confirmed without the lease, and none that a planner has superseded.
 *
 * Bounds: one row and two orders of an outage of the first planner, one row of the second, two epochs and three lives of
 * the agent. Every rule compares neighbouring numbers, epochs or versions only.
 */
#define NO_AGENT 255
/* Numbers of one epoch; the orders of the first planner fit. */
#define EPOCH_NUMBERS 8
#define MAX_SENT 2

#define SETTLED 0
#define WRITTEN 1
#define STARTED 2

#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* The lease row; take-over may come at any time, so nothing here rests on clocks. */
byte leaseEpoch = 1;

/* The row engine-order/<endpoint>. */
byte orderNumber;
byte orderEpoch;
byte orderState = SETTLED;
byte orderVersion;

/* The exclusive loopback port on the host: kept by a paused process, freed by the end of the process. */
byte slot = NO_AGENT;

/* The engine; it tells the number of the last order that it finished. */
bool engineBusy;
byte engineLast;
byte engineEpoch;
byte engineFinished;

/* Orders of an outage: messages stay, the planner confirms its newest number once, and one agent may use that. */
byte sentCount;
byte sentNumber[MAX_SENT];
byte unconfirmed;
byte confirmedNumber;
byte confirmedAgent = NO_AGENT;

/* A write that takes effect late, or never. */
proctype Write(byte number; byte epoch; byte version) {
	/* Rule `order-write`: one transaction checks the lease row and that no order is under way. */
	atomic {
		if
#ifdef FAULT_NO_LEASE_CHECK
		:: orderVersion == version && orderState != STARTED ->
#else
		:: leaseEpoch == epoch && orderVersion == version && orderState != STARTED ->
#endif
			orderNumber = number;
			orderEpoch = epoch;
			orderState = WRITTEN;
			orderVersion++
		:: true -> skip
		fi
	}
}

proctype Planner(byte myEpoch; byte maxRows; byte maxSent) {
	byte rows = 0;
	byte sent = 0;
	byte last = 0;
	do
	:: rows < maxRows ->
		atomic {
			rows++;
			/* Rule `epoch-numbers`: above all earlier numbers and those of earlier epochs. */
			last = MAX(MAX(last, orderNumber) + 1, myEpoch * EPOCH_NUMBERS);
			run Write(last, myEpoch, orderVersion)
		}
	:: sent < maxSent ->
		/* Rule `one-unconfirmed`: a further order withdraws the one that was not confirmed. */
		atomic {
			sent++;
			last = MAX(MAX(last, orderNumber) + 1, myEpoch * EPOCH_NUMBERS);
			sentNumber[sentCount] = last;
			sentCount++;
			unconfirmed = last
		}
	:: else -> break
	:: true -> break
	od
}

/* A second planner takes the lease over at any time; confirmations of the first have run out by then. */
proctype Taker() {
	atomic {
		leaseEpoch = 2;
		unconfirmed = 0;
		confirmedNumber = 0;
		run Planner(2, 1, 0)
	}
}

inline receiveAtEngine(itsNumber, itsEpoch) {
	assert(!engineBusy);
	assert(itsNumber > engineLast);
	assert(itsEpoch >= engineEpoch);
	engineBusy = true;
	engineLast = itsNumber;
	engineEpoch = itsEpoch
}

proctype Agent(byte self) {
	byte highest = 0;
	byte number;
	byte epoch;
	byte state;
	byte version;
	byte finished;
	bool isLearnt = false;
	/* Rule `slot`: bound before anything is sent. */
#ifndef FAULT_NO_SLOT
	atomic { slot == NO_AGENT -> slot = self };
#endif
	/* Rule `settle`: nothing is settled or ordered before the engine changes nothing, whatever the row says. */
#ifndef FAULT_NO_SETTLE
	!engineBusy;
#endif
	/* Rule `engine-number`: an order of an outage shows only at the engine. */
#ifndef FAULT_NO_ENGINE_NUMBER
	finished = engineFinished;
#endif
#ifdef FAULT_ROW_NOT_READ
	goto ready;
#endif
	/* Rule `highest`: learnt from the table before the first order. */
learn:
	atomic { number = orderNumber; state = orderState; version = orderVersion };
	highest = MAX(number, finished);
	isLearnt = true;
	if
	:: state != SETTLED ->
		atomic {
			if
			:: orderVersion == version -> orderState = SETTLED; orderVersion++
			:: else -> goto learn
			fi
		}
	:: else -> skip
	fi;
	number = 0; state = 0; version = 0; finished = 0;
ready:
	do
	:: isLearnt ->
		atomic { number = orderNumber; epoch = orderEpoch; state = orderState; version = orderVersion };
		if
		:: number > highest && state == WRITTEN ->
			/* Rule `row`: only a new and unstarted row is executed, whatever the message said. */
			/* Rule `mark`: started in the table before the engine gets the order. */
#ifndef FAULT_NO_MARK
			atomic {
				if
				:: orderVersion == version -> orderState = STARTED; orderVersion++; version = orderVersion
				:: else -> number = 0
				fi
			};
#endif
			if
			:: number == 0 -> skip
			/* Killed before the engine gets the order. */
			:: number != 0 -> goto dead
			:: number != 0 ->
				highest = number;
				/* The engine takes the order. */
				atomic {
					assert(number == orderNumber);
					receiveAtEngine(number, epoch)
				};
				if
				/* Killed: the engine goes on alone. */
				:: true -> goto dead
				:: true ->
					!engineBusy;
					atomic {
						if
						:: orderVersion == version -> orderState = SETTLED; orderVersion++
						:: else -> skip
						fi
					}
				fi
			fi
		:: else -> skip
		fi;
		number = 0; epoch = 0; state = 0; version = 0
	:: !isLearnt -> goto learn
	:: sentCount > 0 ->
		/* Any message, late or again. */
		if
		:: number = sentNumber[0]
		:: sentCount > 1 -> number = sentNumber[1]
		fi;
		if
		:: number > highest ->
			/* Rule `confirm`: the planner confirms a number once, and the engine gets it before that runs out. */
#ifdef FAULT_NO_CONFIRM
			atomic { highest = number; receiveAtEngine(number, 1) };
			!engineBusy
#else
			atomic {
				if
				:: unconfirmed == number && leaseEpoch == 1 -> unconfirmed = 0; confirmedNumber = number; confirmedAgent = self
				:: else -> skip
				fi
			};
			atomic {
				if
				:: confirmedNumber == number && confirmedAgent == self ->
					confirmedNumber = 0;
					highest = number;
					assert(leaseEpoch == 1);
					receiveAtEngine(number, 1)
				:: else -> number = 0
				fi
			};
			if
			:: number == 0 -> skip
			/* Killed: the engine goes on alone, and no row shows it. */
			:: number != 0 -> goto dead
			:: number != 0 ->
				!engineBusy;
				/* Rule `record`: the row gets the last order of the outage, if it still has a lower number. */
				atomic {
					if
					:: orderNumber < number -> orderNumber = number; orderEpoch = 1; orderState = SETTLED; orderVersion++
					:: else -> skip
					fi
				}
			fi
#endif
		:: else -> skip
		fi;
		number = 0
	:: break
	od;
dead:
	/* The process ends, at any point of its loop; the kernel frees the port. */
	atomic { highest = 0; number = 0; epoch = 0; state = 0; version = 0; finished = 0; isLearnt = false };
#ifndef FAULT_NO_SLOT
	slot = NO_AGENT
#endif
}

active proctype Engine() {
end:
	do
	:: atomic { engineBusy -> engineBusy = false; engineFinished = engineLast }
	od
}

init {
	atomic {
		run Planner(1, 1, MAX_SENT);
		run Taker();
		run Agent(1);
		run Agent(2);
		run Agent(3)
	}
}
