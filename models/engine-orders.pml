/* fault: FAULT_NO_LEASE_CHECK */
/* fault: FAULT_NO_SLOT */
/* fault: FAULT_NO_SETTLE */
/* fault: FAULT_NO_MARK */
/* code: packages/core/src/engine-orders.ts */
/* code: packages/agent/src/slot.ts */
/* code: packages/entry/src/duties/role-planner.ts */
/*
 * Orders to an engine that ignores order numbers. Two planners, each of which may
 * be a former holder of the lease that has not noticed; two lives of the agent on one host, of which the older may be
 * paused at any step. A write with a lost answer is repeated until a read shows its write id, so it is one step here.
 *
 * Properties: orders do not overlap at the engine, their numbers never fall, no order takes effect that was written
 * without the lease, and none that a planner has superseded.
 *
 * Bounds: three orders, two epochs and three lives of the agent; versions rise by at most three with each order. Every
 * rule compares neighbouring numbers, epochs or versions only, and a third order comes after one that was superseded and
 * one that was executed.
 */
#define MAX_ORDERS 3
#define NO_AGENT 255

#define SETTLED 0
#define WRITTEN 1
#define STARTED 2

/* The lease row; take-over may come at any time, so nothing here rests on clocks. */
byte leaseEpoch = 1;

/* The row engine-order/<endpoint>. */
byte orderNumber;
byte orderEpoch;
byte orderState = SETTLED;
byte orderVersion;

/* The exclusive loopback port on the host: kept by a paused process, freed by the end of the process. */
byte slot = NO_AGENT;

/* The engine. */
bool engineBusy;
byte engineLast;
byte engineEpoch;

proctype Planner(byte myEpoch) {
	byte i = 0;
	do
	:: i < 2 ->
		i++;
		/* Rule `order-write`: one transaction checks the lease row and that no order is under way. */
		atomic {
			if
#ifdef FAULT_NO_LEASE_CHECK
			:: orderState != STARTED && orderNumber < MAX_ORDERS ->
#else
			:: leaseEpoch == myEpoch && orderState != STARTED && orderNumber < MAX_ORDERS ->
#endif
				orderNumber++;
				orderEpoch = myEpoch;
				orderState = WRITTEN;
				orderVersion++
			:: else -> skip
			fi
		}
	:: else -> break
	od
}

/* A second planner takes the lease over at any time. */
proctype Taker() {
	atomic {
		leaseEpoch = 2;
		run Planner(2)
	}
}

proctype Agent(byte self) {
	byte highest = 0;
	byte number;
	byte epoch;
	byte state;
	byte version;
	/* Rule `slot`: bound before anything is sent. */
#ifndef FAULT_NO_SLOT
	atomic { slot == NO_AGENT -> slot = self };
#endif
	/* Rule `highest`: learnt from the table before the first order. */
learn:
	atomic { number = orderNumber; state = orderState; version = orderVersion };
	highest = number;
	if
	:: state != SETTLED ->
		/* Rule `settle`: an order that is not settled, started or not, is settled once the engine changes nothing. */
#ifndef FAULT_NO_SETTLE
		!engineBusy;
#endif
		atomic {
			if
			:: orderVersion == version -> orderState = SETTLED; orderVersion++
			:: else -> goto learn
			fi
		}
	:: else -> skip
	fi;
	do
	:: atomic { number = orderNumber; epoch = orderEpoch; state = orderState; version = orderVersion };
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
			:: else ->
				highest = number;
				/* The engine takes the order. */
				atomic {
					assert(!engineBusy);
					assert(number > engineLast);
					assert(number == orderNumber);
					assert(epoch >= engineEpoch);
					engineBusy = true;
					engineLast = number;
					engineEpoch = epoch
				};
				!engineBusy;
				atomic {
					if
					:: orderVersion == version -> orderState = SETTLED; orderVersion++
					:: else -> skip
					fi
				}
			fi
		:: else -> break
		fi
	:: break
	od;
	/* The process ends, at any point of its loop; the kernel frees the port. */
#ifndef FAULT_NO_SLOT
	slot = NO_AGENT
#endif
}

/* An agent that is killed right after it sent an order: the engine goes on alone. */
proctype KilledAgent(byte self) {
	byte number;
	byte epoch;
#ifndef FAULT_NO_SLOT
	atomic { slot == NO_AGENT -> slot = self };
#endif
	if
	:: atomic {
			orderState == WRITTEN ->
#ifndef FAULT_NO_MARK
			orderState = STARTED;
			orderVersion++;
#endif
			number = orderNumber;
			epoch = orderEpoch
		};
		if
		:: atomic {
				assert(!engineBusy);
				assert(number > engineLast);
				assert(number == orderNumber);
				assert(epoch >= engineEpoch);
				engineBusy = true;
				engineLast = number;
				engineEpoch = epoch
			}
		:: skip
		fi
	:: skip
	fi;
#ifndef FAULT_NO_SLOT
	slot = NO_AGENT
#endif
}

active proctype Engine() {
end:
	do
	:: engineBusy -> engineBusy = false
	od
}

init {
	atomic {
		run Planner(1);
		run Taker();
		run KilledAgent(1);
		run Agent(2);
		run Agent(3)
	}
}
