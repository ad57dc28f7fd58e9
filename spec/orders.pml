/*
 * Orders to instances from one holder, over changes of leader.
 *
 * Members are elected in turn at any time. A leader that lost its quorum may go
 * on giving orders for CONTACT steps, if it gave them before. The log holds the
 * recorded holder. A new leader that is recorded gives orders at once; another
 * waits LEASE + CONTACT steps after its election and records itself first; when
 * nobody is recorded it records itself at once.
 *
 * Checked: between the orders of two members lie at least LEASE steps, and no
 * two members give orders in the same step.
 *
 * Mutants (each must fail):
 *   -DNO_MARGIN     a new leader waits LEASE only
 *   -DNO_RECORD     a leader goes by what it remembers, not by the log
 *   -DNOT_CAUGHT_UP a new leader reads the log as it was when it led last
 */

#define MEMBERS 3
#define LEASE 3
#define CONTACT 1
#define LENGTH 12
#define NOBODY 255

#ifdef NO_MARGIN
#define WAIT LEASE
#else
#define WAIT (LEASE + CONTACT)
#endif

byte now;
byte leader = NOBODY;
byte elected_at;
byte holder = NOBODY;          /* as committed */
bool waited;                   /* the present leader was recorded by itself */

bool gave[MEMBERS];            /* gave orders in its last leadership */
byte may_until[MEMBERS];       /* a deposed leader's last step with orders */
byte remembered[MEMBERS];      /* the holder when it led last */

byte last_by = NOBODY;
byte last_at;

inline give(m) {
    assert(last_by == NOBODY || last_by == m || now - last_at >= LEASE);
    last_by = m;
    last_at = now;
    gave[m] = true;
}

#ifdef NO_RECORD
#define IS_HOLDER(m) (gave[m] || waited)
#else
#ifdef NOT_CAUGHT_UP
#define IS_HOLDER(m) (remembered[m] == m || waited)
#else
#define IS_HOLDER(m) (holder == m)
#endif
#endif

inline depose() {
    if
    :: leader != NOBODY ->
        remembered[leader] = holder;
        if
        :: gave[leader] -> may_until[leader] = now + CONTACT
        :: else -> skip
        fi
    :: else -> skip
    fi
}

active proctype World() {
    byte m;
    remembered[0] = NOBODY;
    remembered[1] = NOBODY;
    remembered[2] = NOBODY;
    do
    :: now < LENGTH -> now++
    :: now >= LENGTH -> break
    :: now < LENGTH -> /* an election */
        atomic {
            select(m : 0 .. 2);
            if
            :: m != leader ->
                depose();
                leader = m;
                elected_at = now;
                waited = false;
                may_until[m] = 0;
#ifndef NO_RECORD
                gave[m] = false;
#endif
            :: else -> skip
            fi
        }
    :: leader != NOBODY && !IS_HOLDER(leader) &&
       (holder == NOBODY || now - elected_at >= WAIT) ->
        atomic { holder = leader; waited = true }
    :: leader != NOBODY && IS_HOLDER(leader) ->
        atomic { give(leader) }
    :: now > 0 -> /* a deposed leader that does not know it yet */
        atomic {
            select(m : 0 .. 2);
            if
            :: m != leader && gave[m] && now <= may_until[m] -> give(m)
            :: else -> skip
            fi
        }
    od
}
