/* The ownership protocol of docs/design.md, section 5: one group, its owner A, a member B that may
 * take over, and A's three witnesses (B is witness 0). work.pml models what follows the takeover.
 * README.md lists what is not modelled.
 *
 * Time is logical: `tick` counts every timer down by one. A delayed message stays in
 * flight; a lost message never arrives. Each mutation below removes one rule
 * and must lead to a failed assertion.
 */

#ifdef MUTATE_NEW_MEMBER_WAITS_ONE_LEASE
#define FENCED (seenFor >= LEASE)
#else
#define FENCED ((seenFor >= LEASE && votes >= 2) || seenFor >= ABSENCE)
#endif

#define LEASE 2    /* memberLease */
#define PROMISE 2  /* promiseLease */
#define ABSENCE 3  /* maxStoreAbsence */
#define WITNESSES 3

#ifndef RENEWALS
#define RENEWALS 1
#endif

/* A's lease. tick counts the timers down. */
byte valid = LEASE;     /* remaining validity of A; 0 is final */
byte absence = ABSENCE; /* time left in which promises count, from the last renewal's send time */
byte known = 1;         /* last revision that A knows to be committed */
byte pending = 0;       /* 0 none, 1 sent, 2 committed with the response in flight */
byte pendingValid = 0;  /* validity that the pending renewal would still give */
byte pendingAbsence = 0;

/* The store. */
byte row = 1;           /* revision of A's row; 0 once deleted */
bool taken = false;     /* B has claimed the group */

/* Witnesses. */
byte asked[WITNESSES];      /* remaining validity of the promise in flight */
bool answered[WITNESSES];   /* the witness has granted it */
byte granted[WITNESSES];    /* promises that A holds, counted from their send time */
byte promised[WITNESSES];   /* unexpired promises, counted from their receipt */
byte promisedAt[WITNESSES]; /* revision of that promise */
byte voted[WITNESSES];      /* highest revision voted on */
bool restarted[WITNESSES];

/* B's takeover. */
byte seen = 0;          /* revision of A's row as read */
byte seenFor = 0;
bool gotVote[WITNESSES];
byte votes = 0;

byte i;
byte second;

#define MIN(a, b) (a < b -> a : b)
#define MAX(a, b) (a > b -> a : b)
#define DOWN(timer) timer = (timer > 0 -> timer - 1 : 0)

inline tick() {
    DOWN(valid); DOWN(absence); DOWN(pendingValid); DOWN(pendingAbsence);
    i = 0;
    do
    :: i < WITNESSES -> DOWN(granted[i]); DOWN(promised[i]); DOWN(asked[i]);
       if
       :: asked[i] == 0 -> answered[i] = false
       :: else
       fi;
       if
       :: promised[i] == 0 -> promisedAt[i] = 0
       :: else
       fi;
       i++
    :: else -> break
    od;
    if
    :: seen > 0 && !taken && seenFor < ABSENCE -> seenFor++
    :: else
    fi;
    i = 0
}

/* Extends A's validity by a majority of two promises. The earlier of the two latest decides. */
inline extend() {
    second = MAX(MIN(granted[0], granted[1]), MIN(MAX(granted[0], granted[1]), granted[2]));
    second = MIN(second, absence);
    valid = MAX(valid, second);
    second = 0
}

inline restart(w) {
    restarted[w] = true; promised[w] = 0; promisedAt[w] = 0; voted[w] = 0
}

#ifdef MUTATE_RESTARTED_WITNESS_COUNTS
#define ANSWERS(w) true
#else
#define ANSWERS(w) (!restarted[w])
#endif

inline ownerSteps(w) {
    if
    /* Request a promise, deliver the request, deliver the response. */
    :: valid > 0 && asked[w] == 0 -> asked[w] = PROMISE
    :: asked[w] > 0 && !answered[w] && ANSWERS(w) && voted[w] < known ->
       promisedAt[w] = (promised[w] > 0 -> MIN(promisedAt[w], known) : known);
       promised[w] = PROMISE; answered[w] = true
    :: answered[w] && valid > 0 -> granted[w] = asked[w]; answered[w] = false; asked[w] = 0;
       extend()
    :: else
    fi
}

inline takeoverSteps(w) {
    if
    :: seenFor >= LEASE && !gotVote[w] && ANSWERS(w) &&
           !(promised[w] > 0 && promisedAt[w] <= seen) ->
       voted[w] = MAX(voted[w], seen); gotVote[w] = true; votes++
    :: else
    fi
}

active proctype system()
{
    do
    :: d_step { tick() }

    /* A renews its row. Request and response may be delayed, directly or through a peer. */
    :: atomic { valid > 0 && pending == 0 && known <= RENEWALS ->
           pending = 1; pendingValid = LEASE; pendingAbsence = ABSENCE }
    :: atomic { pending == 1 && row == known && !taken -> row++; pending = 2 }
    :: atomic { pending == 2 && valid > 0 -> known = row; pending = 0;
           valid = MAX(valid, pendingValid); absence = MAX(absence, pendingAbsence);
           pendingValid = 0; pendingAbsence = 0 }

    :: atomic { !taken -> ownerSteps(0) }
    :: atomic { !taken -> ownerSteps(1) }
    :: atomic { !taken -> ownerSteps(2) }

    /* Witness 1 may restart as another member. */
    :: atomic { !taken && !restarted[1] -> restart(1) }

    /* B reads the row, collects votes, deletes the row and claims the group. */
    :: atomic { !taken && seen != row -> seen = row; seenFor = 0; votes = 0;
           gotVote[0] = false; gotVote[1] = false; gotVote[2] = false }
    :: atomic { !taken -> takeoverSteps(0) }
    :: atomic { !taken -> takeoverSteps(1) }
    :: atomic { !taken -> takeoverSteps(2) }
    :: atomic { !taken && seen == row && FENCED -> row = 0; taken = true;
           assert(valid == 0) /* no two valid owners act on one group */ }

    /* A's validity has ended permanently, so no further step affects it. */
    :: taken -> break
    od
}
