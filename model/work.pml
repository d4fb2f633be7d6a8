/* Starting work on workers, docs/design.md, section 5.4: the owner A, then B after a takeover. That
 * A's validity has ended permanently at the takeover is shown by ownership.pml and assumed here.
 *
 * Time is logical: `tick` counts every timer down by one. A message that is delayed stays in
 * flight; a lost message never arrives. Each mutation below removes one rule
 * and must lead to a failed assertion.
 */

#ifdef MUTATE_NO_WAIT_AFTER_TAKEOVER
#define MAY_START_ON_WORKER true
#define MAY_RESTART true
#else
/* No task is started on a worker that has not reported to the new owner. */
#define MAY_START_ON_WORKER (reported && !reportedRunning)
/* A task of the earlier epoch is not restarted while it might run. */
#define MAY_RESTART ((reported && (!reportedRunning || reportedLease == 0)) || sinceTakeover == TASK)
#endif

#ifdef MUTATE_FIRST_LEASE_OUTLIVES_VALIDITY
#define FIRST_LEASE TASK
#else
#define FIRST_LEASE valid
#endif

/* A renewal that the earlier owner sent may still arrive after the worker's report. */
#ifdef MUTATE_REPORTED_LEASE_IS_FINAL
#define REMAINING_LEASE lease
#else
#define REMAINING_LEASE (TASK - sinceTakeover)
#endif

#define LEASE 2 /* longest validity of A */
#define TASK 4  /* taskLease */

byte valid = LEASE;     /* until A's validity ends; 0 is final */
bool taken = false;     /* B has claimed the group */
byte sinceTakeover = 0;

/* Each of the workers 0 and 1 has capacity for one task. Task 1 was accepted in A's epoch. */
byte start = 0;         /* A's start of task 1 on worker 0: 0 not sent, 1 in flight, 2 done, 3 void */
byte startLease = 0;
bool running = false;   /* task 1 on worker 0 */
byte lease = 0;
byte renewLease = 0;    /* A's renewal of task 1's lease, in flight if above 0 */
bool reported = false;  /* worker 0 has reported to B */
bool reportedRunning = false;
byte reportedLease = 0; /* until task 1 has certainly ended, as B knows it */
bool otherRunning = false; /* task 2 on worker 0, started by B */
bool secondRunning = false; /* task 1 on worker 1, started by B */

#define MAX(a, b) (a > b -> a : b)
#define DOWN(timer) timer = (timer > 0 -> timer - 1 : 0)

inline tick() {
    DOWN(valid); DOWN(startLease); DOWN(lease); DOWN(renewLease); DOWN(reportedLease);
    if
    :: lease == 0 -> running = false /* the worker ends a task whose lease has expired */
    :: else
    fi;
    if
    :: taken && sinceTakeover < TASK -> sinceTakeover++
    :: else
    fi
}

active proctype system()
{
    do
    :: d_step { tick() }

    /* A goes on while it is valid, by renewal or promises; then B takes over. */
    :: atomic { valid > 0 -> valid = LEASE }
    :: atomic { !taken && valid == 0 -> taken = true }

    /* A starts task 1 on worker 0; only after the acknowledgement it renews the task's lease. */
    :: atomic { valid > 0 && start == 0 -> start = 1; startLease = FIRST_LEASE }
    :: atomic { start == 1 ->
           if
           :: startLease > 0 -> start = 2; running = true; lease = startLease
           :: else -> start = 3
           fi;
           startLease = 0;
           assert(!(running && otherRunning));  /* worker 0 is not overloaded */
           assert(!(running && secondRunning)) /* task 1 does not run twice */ }
    :: atomic { valid > 0 && start == 2 && running && renewLease == 0 -> renewLease = TASK }
    :: atomic { renewLease > 0 && running -> lease = MAX(lease, renewLease); renewLease = 0 }

    /* B owns the group: worker 0 reports, then B starts task 2 there or task 1 again. */
    :: atomic { taken && !reported -> reported = true; reportedRunning = running;
           reportedLease = (running -> REMAINING_LEASE : 0) }
    :: atomic { taken && !otherRunning && MAY_START_ON_WORKER -> otherRunning = true;
           assert(!(running && otherRunning)) }
    :: atomic { taken && !secondRunning && MAY_RESTART -> secondRunning = true;
           assert(!(running && secondRunning)) }
    od
}
