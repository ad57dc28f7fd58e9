/*
 * Once-only claims and fences over a change of leader.
 *
 * Two leaders exist: that of term 1, which is cut off in silence at any moment
 * and goes on believing that it leads, and that of term 2. Two routers want to
 * run the same once-only request; answers get lost and are asked for again; a
 * router may die at any step. A runner gets orders late and out of order.
 *
 * Mutants (each must fail):
 *   -DSTALE_LEADER  a leader answers a claim from its own state, uncommitted
 *   -DNO_FENCE      a runner obeys an order whatever its fence
 */

#define NOBODY 0

mtype = { GRANTED, TAKEN, NOT_LEADER };

byte term = 1;          /* term in which entries can be committed */
byte owner = NOBODY;    /* committed owner of the claim */
byte stale_owner = NOBODY; /* what the cut-off leader believes */
byte executions = 0;

/* State::apply of OpenClaim: the first wins; a resend gets its first answer. */
inline apply_claim(held, router, answer) {
    if
    :: held == NOBODY -> held = router; answer = GRANTED
    :: held == router -> answer = GRANTED
    :: else -> answer = TAKEN
    fi
}

/* Core::on_propose and advance_commit: only the leader of the highest term
 * reaches a quorum. */
inline propose(leader_term, router, answer) {
    atomic {
        if
        :: leader_term == term ->
            apply_claim(owner, router, answer);
            if
            :: term == 1 -> stale_owner = owner
            :: else -> skip
            fi
        :: else ->
#ifdef STALE_LEADER
            apply_claim(stale_owner, router, answer)
#else
            answer = NOT_LEADER
#endif
        fi
    }
}

proctype Router(byte id) {
    mtype answer;
    byte leader;
    byte tries = 0;
    bool sent = false;

    do
    :: tries == 3 || sent -> break
    :: else ->
        tries++;
        if
        :: leader = 1
        :: leader = 2
        fi;
        if
        :: leader > term -> answer = NOT_LEADER
        :: else -> propose(leader, id, answer)
        fi;
        if
        :: skip                 /* the answer is lost: ask again */
        :: break                /* the router dies */
        :: answer == GRANTED ->
            sent = true;        /* sent to the runner once, never again */
            executions++;
            assert(executions <= 1)
        :: answer == TAKEN -> break
        :: answer == NOT_LEADER -> skip
        fi
    od
}

/* ---- fences -------------------------------------------------------- */

bool loaded = false;
byte highest = 0;
bool released = false;
bool load_under_way = true;     /* order of the decision under fence 1 */
bool unload_under_way = false;  /* order of the decision under fence 2 */

active proctype Runner() {
    do
    :: atomic { load_under_way ->
        if
#ifdef NO_FENCE
        :: true -> loaded = true; load_under_way = false
#else
        :: highest <= 1 -> highest = 1; loaded = true; load_under_way = false
        :: highest > 1 -> load_under_way = false
#endif
        fi;
        assert(!(released && loaded)) }
    :: atomic { unload_under_way -> highest = 2; loaded = false; unload_under_way = false }
    :: atomic { released && !load_under_way -> break }
    od
}

/* The leader of term 2 withdraws the replica, orders the unload, and records
 * the memory as free only once the runner has obeyed that fence. */
active proctype NextLeader() {
    term = 2;
    unload_under_way = true;
    (!unload_under_way);
    atomic { !loaded -> released = true }
}

init {
    run Router(1);
    run Router(2)
}
