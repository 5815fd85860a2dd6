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
 * Orders to an engine that does not check order numbers itself. There are two planners, each of which may be a former
 * holder of the lease that has not noticed that it lost it, and several agent processes on one host. Each agent process may
 * be paused at any step and may end right before or after it sends an order. A write whose reply is lost is repeated until a
 * read shows its write id, so it is one step here. A write whose planner no longer waits for the reply may take effect at
 * any later time.
 *
 * The first planner also sends outage orders: orders sent during a table outage, which leave no row. The outage itself is
 * not modelled: any agent may execute such an order at any time, also one that arrives late or again, which allows more
 * than an outage does. The witnesses ensure that nobody takes the lease over while the authority of the planner lasts; here
 * a takeover ends every confirmation.
 *
 * Properties: orders do not overlap at the engine, their numbers never decrease, and no order takes effect that was written
 * or confirmed without the lease or that a planner has superseded.
 *
 * Bounds: one row and two outage orders of the first planner, one row of the second, two epochs and three agent processes.
 * Every rule compares only neighbouring numbers, epochs or versions.
 */
#define NO_AGENT 255
/* Order numbers reserved for one epoch, enough for the orders of the first planner. */
#define NUMBERS_PER_EPOCH 8
#define MAX_OUTAGE_ORDERS 2

#define SETTLED 0
#define WRITTEN 1
#define STARTED 2

#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* The epoch in the lease row. A takeover may happen at any time, so no rule here depends on clocks. */
byte leaseEpoch = 1;

/* The row engine-order/<endpoint>. */
byte rowNumber;
byte rowEpoch;
byte rowState = SETTLED;
byte rowVersion;

/* The exclusive loopback port on the host: a paused process keeps it, and the end of the process frees it. */
byte slotHolder = NO_AGENT;

/* The engine, which reports the number of the last order that it finished. */
bool isEngineBusy;
byte engineStartedNumber;
byte engineStartedEpoch;
byte engineFinishedNumber;

/* Outage orders. Messages are never lost; the planner confirms its newest number once, for one agent. */
byte outageOrderCount;
byte outageOrderNumber[MAX_OUTAGE_ORDERS];
byte confirmableNumber;
byte confirmedNumber;
byte confirmedAgent = NO_AGENT;

/* A write that takes effect late, or never. */
proctype RowWrite(byte number; byte epoch; byte version) {
	/* Rule `order-write`: one transaction checks the lease row and that no order has started without being settled. */
	atomic {
		if
#ifdef FAULT_NO_LEASE_CHECK
		:: rowVersion == version && rowState != STARTED ->
#else
		:: leaseEpoch == epoch && rowVersion == version && rowState != STARTED ->
#endif
			rowNumber = number;
			rowEpoch = epoch;
			rowState = WRITTEN;
			rowVersion++
		:: true -> skip
		fi
	}
}

proctype Planner(byte ownEpoch; byte maxRowOrders; byte maxOutageOrders) {
	byte rowOrders = 0;
	byte outageOrders = 0;
	byte lastNumber = 0;
	do
	:: rowOrders < maxRowOrders ->
		atomic {
			rowOrders++;
			/* Rule `epoch-numbers`: the number is above all earlier ones and those of earlier epochs. */
			lastNumber = MAX(MAX(lastNumber, rowNumber) + 1, ownEpoch * NUMBERS_PER_EPOCH);
			run RowWrite(lastNumber, ownEpoch, rowVersion)
		}
	:: outageOrders < maxOutageOrders ->
		/* Rule `one-unconfirmed`: a new outage order withdraws the previous one if that was not confirmed. */
		atomic {
			outageOrders++;
			lastNumber = MAX(MAX(lastNumber, rowNumber) + 1, ownEpoch * NUMBERS_PER_EPOCH);
			outageOrderNumber[outageOrderCount] = lastNumber;
			outageOrderCount++;
			confirmableNumber = lastNumber
		}
	:: else -> break
	:: true -> break
	od
}

/* The second planner takes the lease over at any time. The confirmations of the first have expired by then. */
proctype LeaseTakeover() {
	atomic {
		leaseEpoch = 2;
		confirmableNumber = 0;
		confirmedNumber = 0;
		run Planner(2, 1, 0)
	}
}

inline startAtEngine(startedNumber, startedEpoch) {
	assert(!isEngineBusy);
	assert(startedNumber > engineStartedNumber);
	assert(startedEpoch >= engineStartedEpoch);
	isEngineBusy = true;
	engineStartedNumber = startedNumber;
	engineStartedEpoch = startedEpoch
}

proctype Agent(byte self) {
	byte highestNumber = 0;
	byte number;
	byte epoch;
	byte state;
	byte version;
	byte finishedNumber;
	bool isStateRestored = false;
	/* Rule `slot`: the agent binds the port before it sends anything to the engine. */
#ifndef FAULT_NO_SLOT
	atomic { slotHolder == NO_AGENT -> slotHolder = self };
#endif
	/* Rule `settle`: no order is resolved or sent while the engine executes one, whatever the row says. */
#ifndef FAULT_NO_SETTLE
	!isEngineBusy;
#endif
	/* Rule `engine-number`: only the engine shows that an outage order was executed. */
#ifndef FAULT_NO_ENGINE_NUMBER
	finishedNumber = engineFinishedNumber;
#endif
#ifdef FAULT_ROW_NOT_READ
	goto ready;
#endif
	/* Rule `highest`: the highest number is read from the table before the first order is executed. */
restoreState:
	atomic { number = rowNumber; state = rowState; version = rowVersion };
	highestNumber = MAX(number, finishedNumber);
	isStateRestored = true;
	if
	:: state != SETTLED ->
		atomic {
			if
			:: rowVersion == version -> rowState = SETTLED; rowVersion++
			:: else -> goto restoreState
			fi
		}
	:: else -> skip
	fi;
	number = 0; state = 0; version = 0; finishedNumber = 0;
ready:
	do
	:: isStateRestored ->
		atomic { number = rowNumber; epoch = rowEpoch; state = rowState; version = rowVersion };
		if
		:: number > highestNumber && state == WRITTEN ->
			/* Rule `row`: only a row that is new and not started is executed, whatever the message says. */
			/* Rule `mark`: the row is marked as started before the order is sent to the engine. */
#ifndef FAULT_NO_MARK
			atomic {
				if
				:: rowVersion == version -> rowState = STARTED; rowVersion++; version = rowVersion
				:: else -> number = 0
				fi
			};
#endif
			if
			:: number == 0 -> skip
			/* The agent is killed before the engine receives the order. */
			:: number != 0 -> goto stopped
			:: number != 0 ->
				highestNumber = number;
				/* The engine receives the order. */
				atomic {
					assert(number == rowNumber);
					startAtEngine(number, epoch)
				};
				if
				/* The agent is killed; the engine continues with the order. */
				:: true -> goto stopped
				:: true ->
					!isEngineBusy;
					atomic {
						if
						:: rowVersion == version -> rowState = SETTLED; rowVersion++
						:: else -> skip
						fi
					}
				fi
			fi
		:: else -> skip
		fi;
		number = 0; epoch = 0; state = 0; version = 0
	:: !isStateRestored -> goto restoreState
	:: outageOrderCount > 0 ->
		/* Any of the messages, possibly late or repeated. */
		if
		:: number = outageOrderNumber[0]
		:: outageOrderCount > 1 -> number = outageOrderNumber[1]
		fi;
		if
		:: number > highestNumber ->
			/* Rule `confirm`: the planner confirms a number once, and the engine receives it before the confirmation expires. */
#ifdef FAULT_NO_CONFIRM
			atomic { highestNumber = number; startAtEngine(number, 1) };
			!isEngineBusy
#else
			atomic {
				if
				:: confirmableNumber == number && leaseEpoch == 1 -> confirmableNumber = 0; confirmedNumber = number; confirmedAgent = self
				:: else -> skip
				fi
			};
			atomic {
				if
				:: confirmedNumber == number && confirmedAgent == self ->
					confirmedNumber = 0;
					highestNumber = number;
					assert(leaseEpoch == 1);
					startAtEngine(number, 1)
				:: else -> number = 0
				fi
			};
			if
			:: number == 0 -> skip
			/* The agent is killed; the engine continues with the order, and no row shows it. */
			:: number != 0 -> goto stopped
			:: number != 0 ->
				!isEngineBusy;
				/* Rule `record`: the last outage order is written to the row if the number there is lower. */
				atomic {
					if
					:: rowNumber < number -> rowNumber = number; rowEpoch = 1; rowState = SETTLED; rowVersion++
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
stopped:
	/* The process ends, at any point of its loop, and the kernel frees the port. */
	atomic { highestNumber = 0; number = 0; epoch = 0; state = 0; version = 0; finishedNumber = 0; isStateRestored = false };
#ifndef FAULT_NO_SLOT
	slotHolder = NO_AGENT
#endif
}

active proctype Engine() {
end:
	do
	:: atomic { isEngineBusy -> isEngineBusy = false; engineFinishedNumber = engineStartedNumber }
	od
}

init {
	atomic {
		run Planner(1, 1, MAX_OUTAGE_ORDERS);
		run LeaseTakeover();
		run Agent(1);
		run Agent(2);
		run Agent(3)
	}
}
