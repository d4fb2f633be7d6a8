/* Ownership of a cell through one row of the platform's store (docs/decisions/0006-users-platform.md):
 * owner A may be cut off from the store or from workers, or stop, at any step; B takes over at any
 * step. One task, two workers. Orders may be executed late; a restarted worker no longer has the
 * epoch that it has seen. Time is in ticks; only the order of the durations matters. */

#define LEASE 2   /* of a run on a worker, from the time at which the order is sent */
#define ABSENCE 3 /* for which an owner continues without the store */
#define LAST 9    /* tick at which the model ends */

#ifdef MUTATE_TOKEN_IS_IGNORED
#define ADMITS(w, epoch) true
#else
#define ADMITS(w, epoch) (epoch >= token[w])
#endif

#ifdef MUTATE_LEASE_COUNTS_FROM_ARRIVAL
#define DEADLINE(sent) (now + LEASE)
#else
#define DEADLINE(sent) (sent)
#endif

#ifdef MUTATE_OWNER_WITHOUT_END
#define A_IS_VALID true
#else
#define A_IS_VALID (now < aCommit + ABSENCE)
#endif

#ifdef MUTATE_SILENT_WORKER_IS_IDLE
#define SETTLED(w) true
#else
#define SETTLED(w) (bRead[w] || now >= bTook + ABSENCE + LEASE)
#endif

#ifdef MUTATE_RESTARTED_WORKER_IS_TRUSTED
#define A_TRUSTS(w) true
#else
#define A_TRUSTS(w) (aLife[w] == life[w])
#endif

byte now = 0;
byte row = 1;      /* epoch in the store */
byte aCommit = 0;  /* time of A's last write to the store */
byte aBound = 0;   /* time by which the runs that A started have ended */
byte bTook = 0;    /* time of B's takeover */
byte token[2];     /* highest epoch that the worker has seen since its start */
byte lease[2];     /* end of the worker's lease */
byte runs[2];      /* 1 while the worker runs the task */
byte life[2];      /* restarts of the worker */
byte aLife[2];     /* `life` of the worker as A saw it before its last write to the store */
bool bRead[2];      /* B has read and fenced the worker */
bool bDone = false; /* B has started the task, or found it running */

/* Order of A in flight: its deadline, 0 for none. */
byte order[2];

inline check() { assert(runs[0] + runs[1] <= 1) }

/* A's order is executed, possibly late. */
inline arrive(w) {
    if
    :: ADMITS(w, 1) && DEADLINE(order[w]) > now ->
       token[w] = (token[w] < 1 -> 1 : token[w]);
       lease[w] = (DEADLINE(order[w]) > lease[w] -> DEADLINE(order[w]) : lease[w]);
       runs[w] = 1;
       check()
    :: else
    fi;
    order[w] = 0
}

active proctype ownerA()
{
    byte w;
end:
    do
    :: atomic { row == 1 && now < LAST -> /* a write to the store takes effect */
       aCommit = now; aLife[0] = life[0]; aLife[1] = life[1] }
    :: atomic { A_IS_VALID && now >= aBound && now < LAST -> /* starts the task */
       if :: w = 0 :: w = 1 fi;
       if
       :: A_TRUSTS(w) && order[w] == 0 -> order[w] = now + LEASE; aBound = now + LEASE
       :: else
       fi }
    :: atomic { A_IS_VALID && now < aBound && now < LAST -> /* renews the task's lease */
       if
       :: runs[0] && ADMITS(0, 1) -> lease[0] = now + LEASE; aBound = now + LEASE
       :: runs[1] && ADMITS(1, 1) -> lease[1] = now + LEASE; aBound = now + LEASE
       :: else
       fi }
    od
}

active proctype network()
{
end:
    do
    :: atomic { order[0] > 0 -> arrive(0) }
    :: atomic { order[1] > 0 -> arrive(1) }
    od
}

active proctype ownerB()
{
    byte w;
    atomic { row = 2; bTook = now };
end:
    do
    :: atomic { !bDone && now < LAST -> /* reads and fences a reachable worker */
       if :: w = 0 :: w = 1 fi;
       token[w] = 2; bRead[w] = true;
       if
       :: runs[w] -> bDone = true /* continues that run */
       :: else
       fi }
    :: atomic { !bDone && now < LAST && (bRead[0] || bRead[1]) && SETTLED(0) && SETTLED(1) ->
       if
       :: bRead[0] -> w = 0
       :: bRead[1] -> w = 1
       fi;
       token[w] = 2; lease[w] = LAST + 1; runs[w] = 1; bDone = true;
       check() }
    od
}

active proctype world()
{
    byte restarts = 0;
end:
    do
    :: atomic { now < LAST -> now++;
       if :: runs[0] && now >= lease[0] -> runs[0] = 0 :: else fi;
       if :: runs[1] && now >= lease[1] -> runs[1] = 0 :: else fi }
    :: atomic { restarts < 1 -> restarts++; /* a restart breaks the connection */
       runs[0] = 0; lease[0] = 0; token[0] = 0; order[0] = 0; life[0]++ }
    od
}
