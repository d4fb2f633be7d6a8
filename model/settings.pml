/* Versions of the cell settings (docs/design.md, section 8): two operators race, and a process
 * hears of versions by reads and by notices that may be late or out of order. */

#ifdef MUTATE_LATE_NOTICE_IS_TAKEN
#define IS_NEWER(v) true
#else
#define IS_NEWER(v) (v > current)
#endif

#define LAST 4

byte head = 1;    /* version in the store */
byte current = 1; /* version in force at the process */
byte newest = 1;  /* highest version that was ever in force there */
byte writer[LAST + 1]; /* operator whose change became that version */
chan notices = [3] of { byte };

/* The change is conditional on the version that the operator saw. */
proctype operator(byte name)
{
    byte seen;
    byte tries = 0;
    do
    :: tries < 2 -> tries++; seen = head;
       atomic {
           if
           :: head == seen && head < LAST -> head++;
              assert(writer[head] == 0); /* a version is written once */
              writer[head] = name;
              if
              :: nfull(notices) -> notices ! head
              :: true /* the notice is lost */
              fi
           :: else /* version conflict */
           fi
       }
    :: else -> break
    od
}

inline take() {
    if
    :: IS_NEWER(version) -> current = version
    :: else
    fi;
    assert(current >= newest); /* no version goes back */
    newest = current;
    version = 0
}

active proctype process()
{
    byte version;
end:
    do
    /* Any notice may arrive first. */
    :: atomic { notices ?? [eval(2)] -> notices ?? eval(2); version = 2; take() }
    :: atomic { notices ?? [eval(3)] -> notices ?? eval(3); version = 3; take() }
    :: atomic { notices ?? [eval(4)] -> notices ?? eval(4); version = 4; take() }
    :: atomic { current != head -> version = head; take() }
    od
}

init { atomic { run operator(1); run operator(2) } }
