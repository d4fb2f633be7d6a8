/* The cap of one customer across a takeover (docs/design/customers-and-limits.md, section 2; mirrors
 * src/jobs/customers.cpp, customeraccounts.cpp and runs.cpp): owner A starts tasks up to the cap, B
 * takes over at any step and restores the jobs from the store, and A goes on until its leases have
 * ended. B hears from the workers one by one. Every task is a job of its own and needs one unit of
 * the cap; each worker holds one task. Tasks are numbered from 1 in the order in which they are
 * stored; 0 is none. Leases and fencing are taken as cell.pml shows them. The search takes
 * seconds; with three tasks that may all be cancelled, and lost responses, it took over 40 s. */

#define WORKERS 3
#define TASKS 3
#define CAP 2

/* The rules that keep the cap, each with the mutation that removes it. */

#ifdef MUTATE_IGNORES_UNREAD_WORKERS
#define MAY_BE_USED 0
#else
#define MAY_BE_USED SMALLER(UNREAD, UNSEEN)
#endif

/* A run counts from its order until a report, sent after the end was certain, does not list it. */
#ifdef MUTATE_FORGETS_STOPPING_RUNS
#define KEEPS_STOPPING_RUN false
#else
#define KEEPS_STOPPING_RUN true
#endif

#ifdef MUTATE_FINAL_JOBS_COUNT_NOTHING
#define COUNTS(t) (t > 0 && !cancelled[t])
#else
#define COUNTS(t) (t > 0)
#endif

/* A run of a cancelled task may not have been stopped yet. */
#ifdef MUTATE_UNREAD_FINAL_JOBS_COUNT_NOTHING
#define CANCELLED_MAY_RUN false
#else
#define CANCELLED_MAY_RUN true
#endif

/* A starts a task only if a write showed, after A learned of the task, that A was the owner. */
#ifdef MUTATE_STARTS_UNCONFIRMED_JOBS
#define A_KNOWN stored
#else
#define A_KNOWN aConfirmed
#endif

#define ORDERED 1
#define RUNNING 2
#define STOPPING 3

byte stored = 2;         /* tasks in the store; the last one is stored at any step */
bool done[TASKS + 1];    /* stored as done */
bool cancelled[TASKS + 1]; /* only the first one may be */
bool tookOver = false;   /* the store names B as the owner */
bool lapsed = false;     /* the leases that A gave have ended */
byte runs[WORKERS];      /* what the worker runs */

byte aConfirmed = 2;     /* tasks stored before A's last write */
byte aRun[WORKERS];      /* in A's account: what runs on the worker */
byte aOrder[WORKERS];    /* start of A in flight */

byte restored = 0;       /* tasks that A may have started: stored before the takeover */
bool bRead[WORKERS];     /* B has read the worker, and thus fenced it */
byte bRun[WORKERS];      /* in B's account: what runs on the worker */
byte bPhase[WORKERS];
byte bOrder[WORKERS];    /* start of B in flight */
bool bStop[WORKERS];     /* stop of B in flight */
bool bStopped[WORKERS];  /* B's stop was acknowledged */

#define SMALLER(a, b) (a < b -> a : b)
#define HOLDS(list, t) (list[0] == t || list[1] == t || list[2] == t)
#define BUSY(list) ((list[0] > 0) + (list[1] > 0) + (list[2] > 0))

#define B_USED (COUNTS(bRun[0]) + COUNTS(bRun[1]) + COUNTS(bRun[2]))
#define UNSETTLED(w) (!bRead[w] && !lapsed)
#define UNREAD (UNSETTLED(0) + UNSETTLED(1) + UNSETTLED(2))
#define MAY_RUN_UNSEEN(t) \
    (t <= restored && !done[t] && (cancelled[t] -> CANCELLED_MAY_RUN : !HOLDS(bRun, t)))
#define UNSEEN (MAY_RUN_UNSEEN(1) + MAY_RUN_UNSEEN(2) + MAY_RUN_UNSEEN(3))

#define A_MAY_START(t) (t <= A_KNOWN && !done[t] && !HOLDS(aRun, t))
#define B_WAITS(t) (t <= stored && !done[t] && !cancelled[t] && !HOLDS(bRun, t))
#define B_MAY_START(t) (B_WAITS(t) && (t > restored || UNREAD == 0) && B_USED + MAY_BE_USED < CAP)

inline check() { assert(BUSY(runs) <= CAP) }

inline chooseWorker(w) {
    if :: w = 0 :: w = 1 :: w = 2 fi
}

inline chooseTask(t) {
    if :: t = 1 :: t = 2 :: t = 3 fi
}

/* A worker refuses a start if another task holds it. */
inline begin(w, t) {
    if
    :: runs[w] == 0 -> runs[w] = t; check()
    :: else
    fi
}

active proctype ownerA()
{
    byte w; byte t;
end:
    do
    :: atomic { !tookOver && aConfirmed < stored -> aConfirmed = stored } /* a write takes effect */
    :: atomic { !lapsed && BUSY(aRun) < CAP -> /* starts a task */
       chooseWorker(w); chooseTask(t);
       if
       :: A_MAY_START(t) && aRun[w] == 0 -> aRun[w] = t; aOrder[w] = t
       :: else
       fi;
       w = 0; t = 0 }
    :: atomic { !lapsed && BUSY(aRun) > 0 -> /* a worker that is not fenced reports an end */
       chooseWorker(w);
       if
       :: aRun[w] > 0 && aOrder[w] == 0 && runs[w] == 0 && !bRead[w] ->
          if
          :: !tookOver && !cancelled[aRun[w]] -> done[aRun[w]] = true
          :: true /* it ended early, or the write takes no effect */
          fi;
          aRun[w] = 0
       :: else
       fi;
       w = 0 }
    od
}

/* Forgets or keeps the run on the worker when B begins to stop it. */
inline beginStop(w) {
    bStop[w] = true;
    if
    :: KEEPS_STOPPING_RUN -> bPhase[w] = STOPPING
    :: else -> bRun[w] = 0; bPhase[w] = 0
    fi
}

/* B takes what the worker reports: a run of A is adopted, or stopped if its task is not to run; a
 * run that certainly began or was stopped, and is not listed, has ended. */
inline report(w) {
    bRead[w] = true;
    if
    :: runs[w] > 0 && bRun[w] == 0 && !bStop[w] ->
       bPhase[w] = (cancelled[runs[w]] || done[runs[w]] || HOLDS(bRun, runs[w]) -> STOPPING : RUNNING);
       bRun[w] = runs[w]
    :: runs[w] == 0 && (bPhase[w] == RUNNING || (bPhase[w] == STOPPING && bStopped[w])) ->
       if
       :: !cancelled[bRun[w]] -> done[bRun[w]] = true
       :: true
       fi;
       bRun[w] = 0; bPhase[w] = 0; bStopped[w] = false
    :: else
    fi
}

active proctype ownerB()
{
    byte w; byte t;
    atomic { tookOver = true; restored = stored };
end:
    do
    :: atomic { chooseWorker(w); /* first in the order 0, 1, 2: the workers are alike */
       if
       :: w == 0 || bRead[w - 1] -> report(w)
       :: else
       fi;
       w = 0 }
    :: atomic { B_USED + MAY_BE_USED < CAP -> /* starts a task on a worker that it has read */
       chooseWorker(w); chooseTask(t);
       if
       :: B_MAY_START(t) && bRead[w] && bRun[w] == 0 ->
          bRun[w] = t; bPhase[w] = ORDERED; bOrder[w] = t
       :: else
       fi;
       w = 0; t = 0 }
    :: atomic { BUSY(bRun) > 0 -> /* begins a stop, for whatever reason */
       chooseWorker(w);
       if
       :: bRun[w] > 0 && !bStop[w] && !bStopped[w] -> beginStop(w)
       :: else
       fi;
       w = 0 }
    od
}

/* Orders arrive, possibly late. */
inline deliver(w) {
    if
    :: aOrder[w] > 0 ->
       if
       :: !bRead[w] -> begin(w, aOrder[w])
       :: else /* fenced */
       fi;
       aOrder[w] = 0
    :: bOrder[w] > 0 ->
       begin(w, bOrder[w]);
       bOrder[w] = 0;
       bPhase[w] = (bPhase[w] == ORDERED -> RUNNING : bPhase[w])
    :: bStop[w] -> /* ends the run, or makes the worker refuse its start */
       runs[w] = 0; bOrder[w] = 0; bStop[w] = false;
       bStopped[w] = (bPhase[w] == STOPPING)
    :: runs[w] > 0 -> runs[w] = 0 /* the run ends by itself */
    fi
}

active proctype workers()
{
end:
    do
    :: atomic { aOrder[0] > 0 || bOrder[0] > 0 || bStop[0] || runs[0] > 0 -> deliver(0) }
    :: atomic { aOrder[1] > 0 || bOrder[1] > 0 || bStop[1] || runs[1] > 0 -> deliver(1) }
    :: atomic { aOrder[2] > 0 || bOrder[2] > 0 || bStop[2] || runs[2] > 0 -> deliver(2) }
    od
}

inline lapse(w) {
    aOrder[w] = 0; aRun[w] = 0;
    if
    :: !bRead[w] -> runs[w] = 0
    :: else
    fi
}

active proctype world()
{
end:
    do
    :: atomic { stored < TASKS -> stored++ }
    :: atomic { !done[1] && !cancelled[1] -> cancelled[1] = true } /* by its caller */
    :: atomic { tookOver && !lapsed -> lapsed = true; lapse(0); lapse(1); lapse(2) }
    od
}
