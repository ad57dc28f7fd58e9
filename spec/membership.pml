/*
 * Replacing a lost voter, with a second loss right after the repair.
 *
 * Members 0, 1, 2 vote; member 3 is the spare that takes the place of 2. Each
 * member holds a log of up to LENGTH entries: commands, the joint membership,
 * the new membership. Replication copies the leader's log to one member in one
 * step; an election takes the votes of any members that can hear the candidate.
 *
 * Checked: a committed entry stays what it is; every new leader holds all
 * committed entries; after the repair is committed and one more member is lost
 * for good, a member of the new group still holds every committed entry.
 *
 * Mutants (each must fail):
 *   -DNO_JOINT      the replacement is made in one step, though it changes two
 *   -DCOUNT_OLD     the new membership is committed by the old group's votes
 */

#define MEMBERS 4
#ifndef LENGTH
#define LENGTH 3
#endif
#ifndef TERMS
#define TERMS 2
#endif
#define AT(n, k) ((n) * LENGTH + (k))

#define COMMAND 1
#define JOINT 2
#define NEW 3

byte length[MEMBERS];
byte kind[12];
byte written[12];           /* term in which the entry was written */
byte term[MEMBERS];
bool leads[MEMBERS];
bool lost[MEMBERS];
byte membership[MEMBERS];   /* 0: old; else JOINT or NEW, as last appended */

byte known[MEMBERS];        /* length that a leader knows to be committed */

byte committed = 0;         /* length of the committed log */
byte committed_kind[LENGTH];
byte committed_term[LENGTH];
bool repaired = false;
byte losses = 0;

byte old_votes, new_votes;

/* Membership::is_quorum */
#ifdef COUNT_OLD
#define QUORUM(m) ((m) == NEW -> old_votes >= 2 : \
    ((m) == JOINT -> old_votes >= 2 : old_votes >= 2))
#else
#define QUORUM(m) ((m) == NEW -> new_votes >= 2 : \
    ((m) == JOINT -> (old_votes >= 2 && new_votes >= 2) : old_votes >= 2))
#endif

inline count_vote(voter) {
    if
    :: voter != 3 -> old_votes++
    :: else -> skip
    fi;
    if
    :: voter != 2 -> new_votes++
    :: else -> skip
    fi
}

inline follow_membership(holder) {
    membership[holder] = 0;
    k = 0;
    do
    :: k < length[holder] ->
        if
        :: kind[AT(holder, k)] != COMMAND -> membership[holder] = kind[AT(holder, k)]
        :: else -> skip
        fi;
        k++
    :: else -> break
    od
}

/* Core::append_own: commands, and the steps of the replacement. */
inline append(writer, what) {
    kind[AT(writer, length[writer])] = what;
    written[AT(writer, length[writer])] = term[writer];
    length[writer] = length[writer] + 1;
    follow_membership(writer)
}

/* Core::is_up_to_date */
#define LAST(n) (length[n] == 0 -> 0 : written[AT(n, length[n] - 1)])
#define UP_TO_DATE(c, n) (LAST(c) > LAST(n) || (LAST(c) == LAST(n) && length[c] >= length[n]))

inline elect(candidate) {
    d_step {
        old_votes = 0;
        new_votes = 0;
        t = term[candidate] + 1;
        k = 0;
        do
        :: k < MEMBERS ->
            if
            :: !lost[k] && hears[k] && term[k] < t && UP_TO_DATE(candidate, k) -> count_vote(k)
            :: else -> hears[k] = false
            fi;
            k++
        :: else -> break
        od;
        if
        :: hears[candidate] && QUORUM(membership[candidate]) ->
            k = 0;
            do
            :: k < MEMBERS ->
                if
                :: hears[k] -> term[k] = t; leads[k] = false; known[k] = 0
                :: else -> skip
                fi;
                k++
            :: else -> break
            od;
            leads[candidate] = true;
            known[candidate] = 0;
            /* Every new leader holds all committed entries. */
            assert(length[candidate] >= committed);
            k = 0;
            do
            :: k < committed ->
                assert(written[AT(candidate, k)] == committed_term[k]);
                assert(kind[AT(candidate, k)] == committed_kind[k]);
                k++
            :: else -> break
            od
        :: else -> skip
        fi;
        k = 0; t = 0;
        do
        :: k < MEMBERS -> hears[k] = false; k++
        :: else -> break
        od;
        k = 0; old_votes = 0; new_votes = 0
    }
}

/* Core::on_append: the follower's log becomes the leader's. */
inline replicate(source, target) {
    d_step {
        term[target] = term[source];
        leads[target] = false;
        known[target] = 0;
        k = 0;
        do
        :: k < LENGTH ->
            if
            :: k < length[source] ->
                kind[AT(target, k)] = kind[AT(source, k)];
                written[AT(target, k)] = written[AT(source, k)]
            :: else ->
                kind[AT(target, k)] = 0;
                written[AT(target, k)] = 0
            fi;
            k++
        :: else -> break
        od;
        length[target] = length[source];
        follow_membership(target);
        k = 0
    }
}

/* Core::advance_commit: a quorum holds the leader's last entry, of its term. */
inline commit(leader) {
    d_step {
        old_votes = 0;
        new_votes = 0;
        t = length[leader] - 1;
        k = 0;
        do
        :: k < MEMBERS ->
            if
            :: length[k] > t && written[AT(k, t)] == term[leader] && term[k] == term[leader] -> count_vote(k)
            :: else -> skip
            fi;
            k++
        :: else -> break
        od;
        if
        :: QUORUM(membership[leader]) ->
            k = 0;
            do
            :: k <= t ->
                /* A committed entry stays what it is. */
                assert(k >= committed || committed_term[k] == written[AT(leader, k)]);
                committed_term[k] = written[AT(leader, k)];
                committed_kind[k] = kind[AT(leader, k)];
                k++
            :: else -> break
            od;
            known[leader] = length[leader];
            if
            :: length[leader] > committed -> committed = length[leader]
            :: else -> skip
            fi;
            if
            :: kind[AT(leader, t)] == NEW -> repaired = true
            :: else -> skip
            fi
        :: else -> skip
        fi;
        k = 0; t = 0; old_votes = 0; new_votes = 0
    }
}

/* A member of the new group that is not lost holds every committed entry. */
inline check_holder() {
    d_step {
        t = 0;
        k = 0;
        do
        :: k < MEMBERS ->
            if
            :: k != 2 && !lost[k] && (committed == 0 ||
                (length[k] >= committed &&
                 written[AT(k, committed - 1)] == committed_term[committed - 1])) -> t = 1
            :: else -> skip
            fi;
            k++
        :: else -> break
        od;
        assert(t == 1);
        k = 0; t = 0
    }
}

/* Core::check_change: the last entry, one of its own term, is committed. */
#define CONFIRMED(n) (length[n] == 0 || known[n] == length[n])

active proctype Group() {
    byte n, m, k, t;
    bool hears[MEMBERS];

    do
    /* An election, heard by any members. */
    :: atomic {
        select(n : 0 .. 3);
        (!lost[n] && !leads[n] && term[n] < TERMS && (n != 3 || membership[3] != 0));
        hears[n] = true;
        m = 0;
        do
        :: m < MEMBERS ->
            if
            :: hears[m] = true
            :: skip
            fi;
            m++
        :: else -> break
        od;
        m = 0;
        elect(n); n = 0 }

    /* The leader appends a command, or goes on with the replacement. */
    :: atomic {
        select(n : 0 .. 3);
        (leads[n] && !lost[n] && length[n] < LENGTH);
        if
        :: append(n, COMMAND)
#ifdef NO_JOINT
        :: (membership[n] == 0 && CONFIRMED(n)) -> append(n, NEW)
#else
        :: (membership[n] == 0 && CONFIRMED(n)) -> append(n, JOINT)
        :: (membership[n] == JOINT && CONFIRMED(n)) -> append(n, NEW)
#endif
        fi;
        n = 0; k = 0 }

    /* The leader's log reaches one member. */
    :: atomic {
        select(n : 0 .. 3);
        select(m : 0 .. 3);
        (leads[n] && n != m && !lost[n] && !lost[m] && term[m] <= term[n] && !(leads[m] && term[m] == term[n]));
        replicate(n, m); n = 0; m = 0 }

    /* The leader counts copies. */
    :: atomic {
        select(n : 0 .. 3);
        (leads[n] && !lost[n] && length[n] > 0 && written[AT(n, length[n] - 1)] == term[n]);
        commit(n); n = 0 }

    /* Right after the repair another member is lost for good. */
    :: atomic {
        (repaired && losses == 0);
        losses = 1;
        lost[2] = true;
        if
        :: lost[0] = true
        :: lost[1] = true
        :: lost[3] = true
        fi;
        check_holder() }
    od
}
