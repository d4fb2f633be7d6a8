/* Ownership of a cell through one row of the platform's store (docs/decisions/0008-proofs-of-ownership.md):
 * owner A may be cut off from the store or from workers, or stop, at any step; B takes over at any
 * step. One task, three workers, which also witness the ownership: A needs responses of more than
 * half of them, B fences at least half of them. Orders may be executed late; a restarted worker no
 * longer has the epoch that it has seen. Time is in ticks; only the order of the durations matters. */

#define WORKERS 3
#define LEASE 2   /* of a run on a worker, from the last proof of A's ownership */
#define RIGHT 1   /* for which A sends orders after its last proof */
#define ABSENCE 4 /* for which A continues without the store */
#define LAST 8    /* tick at which the model ends */

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

#ifdef MUTATE_LEASE_OUTLASTS_PROOF
#define LEASE_END (now + LEASE)
#else
#define LEASE_END (aProof + LEASE)
#endif

#define A_MAY_ACT (now < aProof + RIGHT)

/* Without the end of its term, A goes on for as long as the workers respond. */
#ifdef MUTATE_OWNER_WITHOUT_END
#define A_HAS_TERM true
#else
#define A_HAS_TERM (now <= aCommit + ABSENCE)
#endif

#ifdef MUTATE_LEASE_EXPIRES_BY_TIME
#define A_KNOWS_EXPIRY (now >= aBound)
#else
#define A_KNOWS_EXPIRY (aCommit >= aBound)
#endif

#ifdef MUTATE_MINORITY_PROVES
#define PROVES(count) (count >= 1)
#else
#define PROVES(count) (2 * count > WORKERS)
#endif

#ifdef MUTATE_SILENT_WORKER_IS_IDLE
#define SETTLED(w) true
#else
#define SETTLED(w) (bRead[w] || (bFence > 0 && now >= bFence + LEASE) || now >= bTook + ABSENCE + LEASE)
#endif

#ifdef MUTATE_RESTARTED_WORKER_IS_TRUSTED
#define A_TRUSTS(w) true
#else
#define A_TRUSTS(w) (aLife[w] == life[w])
#endif

byte now = 1;
byte row = 1;      /* epoch in the store */
byte aCommit = 1;  /* time of A's last write to the store */
byte aProof = 1;   /* time of the last proof that A owns the cell */
byte aBound = 0;   /* time by which the run that A started has ended; 0: none */
byte aAt = 0;      /* the worker that A started it on */
byte bTook = 0;    /* time of B's takeover */
byte bFence = 0;   /* time at which B had fenced half of the workers; 0: not yet */
byte bAt = 0;      /* the worker on which B continues or has started the task */
byte token[WORKERS]; /* highest epoch that the worker has seen since its start */
byte lease[WORKERS]; /* end of the worker's lease */
bit runs[WORKERS];   /* 1 while the worker runs the task */
bit life[WORKERS];   /* restarts of the worker */
bit aLife[WORKERS];  /* `life` of the worker as A saw it before its last write to the store */
bool bRead[WORKERS];  /* B has read and fenced the worker */
bool bDone = false;   /* B has started the task, or found it running */

/* Order of A in flight: its deadline, 0 for none. */
byte order[WORKERS];

inline check() { assert(runs[0] + runs[1] + runs[2] <= 1) }

inline choose(w) {
    if :: w = 0 :: w = 1 :: w = 2 fi
}

/* The worker's lease expires; a longer one follows only from an order that is not late. */
inline expire(w) {
    if
    :: now >= lease[w] -> runs[w] = 0; lease[w] = 0
    :: else
    fi
}

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

inline grant(w) {
    aBound = (LEASE_END > aBound -> LEASE_END : aBound);
    aAt = w
}

/* 1 if the worker responds to A's poll, in a process that A knew before its last write. */
#define WITNESS(w) (ADMITS(w, 1) && A_TRUSTS(w) -> 1 : 0)

#define A_HEARS_OF_END (aBound > 0 && !runs[aAt] && order[aAt] == 0 && WITNESS(aAt))
#define B_MAY_START ((bRead[0] || bRead[1] || bRead[2]) && SETTLED(0) && SETTLED(1) && SETTLED(2))

active proctype ownerA()
{
    byte w;
end:
    do
    :: atomic { row == 1 && now < LAST -> /* a write to the store takes effect */
       aCommit = now; aProof = now;
       aLife[0] = life[0]; aLife[1] = life[1]; aLife[2] = life[2];
       w = 0 }
    :: atomic { now < LAST && now > aProof && A_HAS_TERM && PROVES((WITNESS(0) + WITNESS(1) + WITNESS(2))) ->
       aProof = now }
    :: atomic { A_MAY_ACT && (aBound == 0 || A_KNOWS_EXPIRY) && now < LAST -> /* starts the task */
       choose(w);
       if
       :: A_TRUSTS(w) && order[w] == 0 -> order[w] = LEASE_END; aBound = 0; grant(w)
       :: else
       fi;
       w = 0 }
    :: atomic { aBound > 0 && now < LAST && runs[aAt] && ADMITS(aAt, 1) -> /* renews the lease */
       lease[aAt] = (LEASE_END > lease[aAt] -> LEASE_END : lease[aAt]);
       token[aAt] = (token[aAt] < 1 -> 1 : token[aAt]);
       grant(aAt) }
    :: atomic { A_HEARS_OF_END && now < LAST -> /* the worker reports that the run is over */
       aBound = 0; aAt = 0 }
    od
}

active proctype network()
{
end:
    do
    :: atomic { order[0] > 0 -> arrive(0) }
    :: atomic { order[1] > 0 -> arrive(1) }
    :: atomic { order[2] > 0 -> arrive(2) }
    od
}

active proctype ownerB()
{
    byte w;
    atomic { row = 2; bTook = now };
end:
    do
    :: atomic { !bDone && now < LAST -> /* reads and fences a reachable worker */
       choose(w);
       token[w] = 2; bRead[w] = true;
       if
       :: bFence == 0 && 2 * (bRead[0] + bRead[1] + bRead[2]) >= WORKERS -> bFence = now
       :: else
       fi;
       if
       :: runs[w] -> bDone = true; bAt = w; lease[w] = now + LEASE /* continues that run */
       :: else
       fi;
       w = 0 }
    :: atomic { bDone && now < LAST && runs[bAt] && lease[bAt] < now + LEASE ->
       token[bAt] = 2; lease[bAt] = now + LEASE } /* renews the lease */
    :: atomic { B_MAY_START && !bDone && now < LAST ->
       if
       :: bRead[0] -> w = 0
       :: bRead[1] -> w = 1
       :: bRead[2] -> w = 2
       fi;
       token[w] = 2; lease[w] = now + LEASE; runs[w] = 1; bDone = true; bAt = w;
       check(); w = 0 }
    od
}

active proctype world()
{
    bit restarts = 0;
end:
    do
    :: atomic { now < LAST -> now++;
       expire(0); expire(1); expire(2) }
    :: atomic { restarts < 1 -> restarts++; /* a restart breaks the connection */
       runs[0] = 0; lease[0] = 0; token[0] = 0; order[0] = 0; life[0]++ }
    od
}
