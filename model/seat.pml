/*
 * Leader election of the planner of one availability zone.
 *
 * Hosts claim leadership in the platform's log. A leader may start jobs while its
 * leader lease is valid, by a log read or by the grants of the other voters.
 * `newest` and `predecessor` are the election history that every reader computes
 * from the log; a host also keeps what it knows of its own term. Rejected records
 * have no effect, so only valid records are steps.
 *
 * Time is counted in ticks. Lost messages, log outages, partitions and pauses are
 * modelled by steps that do not happen. Steps that can only restrict a host are
 * omitted: a claim is read back immediately, a host that has lost leadership need
 * not learn of it, and a grant or log read is answered immediately, unless LATE
 * delays the answers. An append of a voter set takes effect at any later step, or
 * never.
 *
 * Property: no two hosts may start jobs at the same time.
 *
 * Features: RESTARTS n, ROSTERS n (changes of the voter set), YIELDS (resignation),
 * LATE, D n (clock drift in ticks), SUBSETS (any voter set; without it, a claim names
 * the claiming host alone or all hosts). Each mutation (M_...) removes one rule of the
 * protocol.
 */

#ifndef N
#define N 3 /* hosts */
#endif
#ifndef T
#define T 1 /* ticks for which a log read or a grant is valid */
#endif
#ifndef W
#define W 2 /* ticks for which grants are valid without a log read */
#endif
#ifndef D
#define D 0 /* ticks that a clock may lose in total */
#endif
#ifndef K
#define K 3 /* claims in total, including the initial one */
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#ifndef ROSTERS
#define ROSTERS 0 /* records of a new voter set in one term */
#endif

#define OFF 255
#define BIT(m) (1 << (m))
#define has(mask, m) (((mask) >> (m)) & 1)
#define max(a, b) ((a) > (b) -> (a) : (b))

#ifdef M_DRIFT
#define SLACK 0
#else
#define SLACK D
#endif
#ifdef M_NO_WAIT
#define GRANT_EXPIRY_WAIT 0
#else
#define GRANT_EXPIRY_WAIT (T + SLACK)
#endif
#define LEASE_EXPIRY_WAIT (W + SLACK)

typedef TermEntry {
  byte term;     /* number of the claim, 0 if none */
  byte holder;
  byte inc;      /* incarnation of the holder */
  byte voters;   /* mask of voters */
  byte incs;     /* mask of their incarnations */
  byte version;  /* number of the voter set within the term */
  bit is_active; /* the active record is in the log */
  bit resigned
};

TermEntry newest;
#ifdef M_BASE
TermEntry older; /* predecessor of the newest active term, base of an outdated claim */
#endif
/* Last active term that did not end by resignation, while the newest term waits. */
TermEntry predecessor;

typedef HostState {
  byte inc;
  /* The host's knowledge of its own term. */
  byte term;       /* 0 if the host has none */
  bit is_active;
  bit stopped;
  byte voters;
  byte incs;
  byte version;
  /* Rest of the wait for the predecessor's grants to expire; OFF while new grants to it
   * are possible. */
  byte grant_wait_left;
  /* Rest of the wait for the predecessor's leader lease to expire. */
  byte lease_wait_left;
  /* Remaining validity of the leader lease: by the log, without the log, and by grants. */
  byte log_lease_left;
  byte outage_left;
  byte grant_left[N];
  byte grant_incs;
  /* Voter set whose record has been sent and may be in force. */
  byte pending;
  byte pending_incs;
  byte pending_version;
  /* What the host has refused, and the newest term that it knows of. */
  byte refused_up_to; /* no grants to this term and earlier ones */
  byte seen_term;     /* known from requests of leaders and from its own claims */
#if RESTARTS > 0
  byte refusal[N]; /* term up to which each voter refuses grants */
  byte refusal_incs;
#endif
#ifdef M_PAUSE
  bit checked;
#endif
#ifdef M_GIVE_UP
  byte sent;
  byte sent_incs;
  byte sent_version;
#endif
#ifdef LATE
  /* Log answer in flight: its remaining validity (OFF if none) by the log and without it. */
  byte late_log;
  byte late_outage;
  /* Grant in flight: its voter (OFF if none), remaining validity and term. */
  byte late_from;
  byte late_left;
  byte late_term;
#endif
  byte lag /* ticks that its clock has lost */
};

HostState hosts[N];

#ifdef M_INCARNATION
#define same_inc(left, right, m) true
#else
#define same_inc(left, right, m) (has(left, m) == has(right, m))
#endif
#define now_inc(m) (hosts[m].inc << (m))
#define is_voter(e, h) (has(e.voters, h) && same_inc(e.incs, now_inc(h), h))

/* Whether h needs the grant of m for a voter set, and whether it holds the grant. */
#define needs(mask, h, m) ((m) != (h) && has(mask, m))
#define is_granted(h, m, incs_) (hosts[h].grant_left[m] > 0 && same_inc(hosts[h].grant_incs, incs_, m))
#define grant_held(h, m, mask, incs_) (!needs(mask, h, m) || is_granted(h, m, incs_))
#if N == 4
#define all_granted(h, mask, incs_) (grant_held(h, 0, mask, incs_) && grant_held(h, 1, mask, incs_) && grant_held(h, 2, mask, incs_) && grant_held(h, 3, mask, incs_))
#else
#define all_granted(h, mask, incs_) (grant_held(h, 0, mask, incs_) && grant_held(h, 1, mask, incs_) && grant_held(h, 2, mask, incs_))
#endif

#ifdef M_OLD_ROSTER
#define pending_granted(h) true
#else
#define pending_granted(h) (hosts[h].pending == 0 || all_granted(h, hosts[h].pending, hosts[h].pending_incs))
#endif
#ifdef M_NEW_ROSTER
#define voters_granted(h) (hosts[h].pending || all_granted(h, hosts[h].voters, hosts[h].incs))
#else
#define voters_granted(h) all_granted(h, hosts[h].voters, hosts[h].incs)
#endif
#ifdef M_W
#define within_outage(h) true
#else
#define within_outage(h) (hosts[h].outage_left > 0)
#endif
#ifdef M_NO_ACTIVE
#define counts_as_active(h) (hosts[h].is_active || wait_over(h))
#else
#define counts_as_active(h) hosts[h].is_active
#endif

#define has_lease(h) (hosts[h].log_lease_left > 0 || (within_outage(h) && voters_granted(h) && pending_granted(h)))
#define is_leader(h) (hosts[h].term && counts_as_active(h) && !hosts[h].stopped)
#ifdef M_PAUSE
#define may_start(h) hosts[h].checked
#else
#define may_start(h) (is_leader(h) && has_lease(h))
#endif
#define is_newest(h) (hosts[h].term && hosts[h].term == newest.term)
#define wait_over(h) (hosts[h].grant_wait_left == 0 || hosts[h].lease_wait_left == 0)

/* Number of hosts that may start jobs. */
#if N == 4
#define leader_count (may_start(0) + may_start(1) + may_start(2) + may_start(3))
#else
#define leader_count (may_start(0) + may_start(1) + may_start(2))
#endif

/* The predecessor's holder cannot confirm that grants to itself have ended. */
#ifdef M_WORD_HOLDER
#define may_refuse(m) has(predecessor.voters, m)
#else
#define may_refuse(m) (has(predecessor.voters, m) && predecessor.holder != (m))
#endif
#if RESTARTS > 0
#define refusal_counts(h, m) (may_refuse(m) && hosts[h].refusal[m] >= predecessor.term && same_inc(hosts[h].refusal_incs, predecessor.incs, m))
#if N == 4
#define any_refusal(h) (refusal_counts(h, 0) || refusal_counts(h, 1) || refusal_counts(h, 2) || refusal_counts(h, 3))
#else
#define any_refusal(h) (refusal_counts(h, 0) || refusal_counts(h, 1) || refusal_counts(h, 2))
#endif
#else
#define any_refusal(h) false
#endif
#ifdef M_STRANGER
#define grants_ended(h) true
#else
#define grants_ended(h) (is_voter(predecessor, h) || any_refusal(h))
#endif

#ifdef M_SEEN
#define seen_later(m, t) false
#else
#define seen_later(m, t) (hosts[m].seen_term > (t))
#endif
#define would_grant(m, t) (hosts[m].refused_up_to < (t) && !seen_later(m, t) && !hosts[m].stopped)
#define is_listed_voter(h, m) ((needs(hosts[h].voters, h, m) && same_inc(hosts[h].incs, now_inc(m), m)) || (needs(hosts[h].pending, h, m) && same_inc(hosts[h].pending_incs, now_inc(m), m)))
#define is_fresh(h, m) (hosts[h].grant_left[m] == T && has(hosts[h].grant_incs, m) == hosts[m].inc)

inline copy_entry(to, from) {
  to.term = from.term;
  to.holder = from.holder;
  to.inc = from.inc;
  to.voters = from.voters;
  to.incs = from.incs;
  to.version = from.version;
  to.is_active = from.is_active;
  to.resigned = from.resigned
}

inline clear_entry(e) {
  e.term = 0;
  e.holder = 0;
  e.inc = 0;
  e.voters = 0;
  e.incs = 0;
  e.version = 0;
  e.is_active = 0;
  e.resigned = 0
}

inline clear_pending(h) {
  hosts[h].pending = 0;
  hosts[h].pending_incs = 0;
  hosts[h].pending_version = 0
}

inline clear_own(h) {
  hosts[h].term = 0;
  hosts[h].is_active = 0;
  hosts[h].voters = 0;
  hosts[h].incs = 0;
  hosts[h].version = 0;
  hosts[h].grant_wait_left = 0;
  hosts[h].lease_wait_left = 0;
  hosts[h].log_lease_left = 0;
  hosts[h].outage_left = 0;
  hosts[h].grant_incs = 0;
  i = 0;
  do
  :: i < N -> hosts[h].grant_left[i] = 0; i++
  :: else -> break
  od;
  clear_pending(h)
}

inline renew_by_log(h) {
  hosts[h].log_lease_left = T;
  hosts[h].outage_left = W
}

/* Updates the predecessor for a claim that replaces the newest term. */
inline update_predecessor() {
  if
  :: newest.is_active && !newest.resigned -> copy_entry(predecessor, newest)
  :: newest.is_active && newest.resigned -> clear_entry(predecessor)
#if defined(M_WAITING_ROSTER)
  :: else -> copy_entry(predecessor, newest)
#elif defined(M_WAITING_NONE)
  :: else -> clear_entry(predecessor)
#else
  :: else
#endif
  fi
}

/* Host h claims leadership with the voter set in `mask` and `incs`, and reads its claim. */
inline claim(h) {
#ifdef M_KEEP_PROMISING
  skip;
#else
  hosts[h].refused_up_to = max(newest.term, hosts[h].refused_up_to);
#endif
  clear_own(h);
  update_predecessor();
  newest.term = claims;
  newest.holder = h;
  newest.inc = hosts[h].inc;
  newest.voters = mask;
  newest.incs = incs;
  newest.version = 0;
  newest.is_active = 0;
  newest.resigned = 0;
  hosts[h].term = claims;
  hosts[h].voters = mask;
  hosts[h].incs = incs;
  hosts[h].seen_term = max(claims, hosts[h].seen_term);
  renew_by_log(h);
  if
  :: predecessor.term ->
    hosts[h].lease_wait_left = LEASE_EXPIRY_WAIT;
    hosts[h].grant_wait_left = (grants_ended(h) -> GRANT_EXPIRY_WAIT : OFF)
  :: else
  fi
}

/* Chooses a voter set that contains h; incarnations of other hosts may be outdated. */
inline choose_voters(h) {
  mask = BIT(h);
  incs = now_inc(h);
#ifdef SUBSETS
  i = 0;
  do
  :: i < N && i != h -> choose_voter(i); i++
  :: i < N && i == h -> i++
  :: i >= N -> break
  od
#else
  if
  :: skip
  :: i = 0;
    do
    :: i < N && i != h -> add_voter(i); i++
    :: i < N && i == h -> i++
    :: i >= N -> break
    od
  fi
#endif
}

inline choose_voter(k) {
  if
  :: skip
  :: add_voter(k)
  fi
}

inline add_voter(k) {
  mask = mask | BIT(k);
  if
  :: hosts[k].inc -> incs = incs | BIT(k)
#if RESTARTS > 0
  :: hosts[k].inc /* h does not know of the restart yet */
#endif
  :: else
  fi
}

#ifdef M_GIVE_UP
#define in_flight(h) hosts[h].sent
#define sent_part(h, part) hosts[h].sent##part
#else
#define in_flight(h) hosts[h].pending
#define sent_part(h, part) hosts[h].pending##part
#endif

inline add_grant(h, from, left) {
  hosts[h].grant_left[from] = max(left, hosts[h].grant_left[from]);
  hosts[h].grant_incs = (hosts[h].grant_incs & (OFF - BIT(from))) | now_inc(from)
}

byte claims = 1;
byte restarts = 0;

proctype Host(byte h) {
  byte i;
  byte mask;
  byte incs;
  do
  /* Reads to the tail of the log, in which the host's claim is still the newest. */
  :: d_step {
      (is_newest(h) && !hosts[h].stopped
        && (hosts[h].log_lease_left < T || hosts[h].outage_left < W || hosts[h].version != newest.version)) ->
      renew_by_log(h);
      hosts[h].voters = newest.voters;
      hosts[h].incs = newest.incs;
      hosts[h].version = newest.version;
      if
      :: hosts[h].pending && hosts[h].pending_version != newest.version -> clear_pending(h)
      :: else
      fi;
      assert(leader_count <= 1)
    }

  :: atomic {
      (claims < K && !is_newest(h) && !hosts[h].stopped) ->
      choose_voters(h);
      d_step {
        claims++;
        claim(h);
        i = 0; mask = 0; incs = 0;
        assert(leader_count <= 1)
      }
    }
#ifdef M_BASE
  /* A claim by a host that has not read beyond the previous term. */
  :: atomic {
      (claims < K && !is_newest(h) && !hosts[h].stopped && older.term && newest.is_active) ->
      choose_voters(h);
      d_step {
        claims++;
        copy_entry(newest, older);
        claim(h);
        i = 0; mask = 0; incs = 0;
        assert(leader_count <= 1)
      }
    }
#endif

  /* The wait is over; the active record is appended and read back. */
  :: d_step {
      (is_newest(h) && !hosts[h].is_active && !hosts[h].stopped && wait_over(h)) ->
      newest.is_active = 1;
#ifdef M_BASE
      copy_entry(older, predecessor);
#endif
      clear_entry(predecessor);
      hosts[h].is_active = 1;
      hosts[h].grant_wait_left = 0;
      hosts[h].lease_wait_left = 0;
      renew_by_log(h);
      assert(leader_count <= 1)
    }

#if ROSTERS > 0
  :: atomic {
      (is_leader(h) && hosts[h].is_active && in_flight(h) == 0 && hosts[h].version < ROSTERS) ->
      choose_voters(h);
      d_step {
        hosts[h].pending = mask;
        hosts[h].pending_incs = incs;
        hosts[h].pending_version = hosts[h].version;
#ifdef M_GIVE_UP
        hosts[h].sent = mask;
        hosts[h].sent_incs = incs;
        hosts[h].sent_version = hosts[h].version;
#endif
        i = 0; mask = 0; incs = 0;
        assert(leader_count <= 1)
      }
    }
  /* The record of the voter set takes effect; its answer is lost. */
  :: d_step {
      (in_flight(h) && is_newest(h) && newest.version == sent_part(h, _version)) ->
      newest.voters = sent_part(h, );
      newest.incs = sent_part(h, _incs);
      newest.version++;
#ifdef M_GIVE_UP
      hosts[h].sent = 0;
      hosts[h].sent_incs = 0;
      hosts[h].sent_version = 0
#endif
    }
#ifdef M_GIVE_UP
  :: d_step {
      (hosts[h].pending) ->
      clear_pending(h);
      assert(leader_count <= 1)
    }
#endif
#endif

#ifdef YIELDS
  /* Stops for good, then appends its resignation. */
  :: d_step {
      (is_newest(h) && hosts[h].is_active && !newest.resigned) ->
      newest.resigned = 1;
#ifndef M_YIELD
      clear_own(h);
      hosts[h].stopped = 1;
#endif
      i = 0
    }
#endif

#ifdef M_FORGET
  :: d_step { (hosts[h].refused_up_to > 0) -> hosts[h].refused_up_to = 0 }
#endif
#ifdef M_PAUSE
  :: d_step {
      (hosts[h].checked != (is_leader(h) && has_lease(h))) ->
      hosts[h].checked = (is_leader(h) && has_lease(h));
      assert(leader_count <= 1)
    }
#endif

#ifdef LATE
  :: d_step {
      (is_newest(h) && hosts[h].late_log == OFF) ->
      hosts[h].late_log = T;
      hosts[h].late_outage = W
    }
  :: d_step {
      (hosts[h].late_log != OFF) ->
      if
      :: hosts[h].term ->
        hosts[h].log_lease_left = max(hosts[h].late_log, hosts[h].log_lease_left);
        hosts[h].outage_left = max(hosts[h].late_outage, hosts[h].outage_left)
      :: else
      fi;
      hosts[h].late_log = OFF;
      hosts[h].late_outage = 0;
      assert(leader_count <= 1)
    }
  :: d_step {
      (hosts[h].late_from != OFF) ->
      if
      :: hosts[h].term == hosts[h].late_term ->
        add_grant(h, hosts[h].late_from, hosts[h].late_left)
      :: else
      fi;
      hosts[h].late_from = OFF;
      hosts[h].late_left = 0;
      hosts[h].late_term = 0;
      assert(leader_count <= 1)
    }
#endif

#if RESTARTS > 0
  /* Restarts and loses its memory. */
  :: d_step {
      (restarts < RESTARTS && hosts[h].inc == 0) ->
      restarts++;
      hosts[h].inc = 1;
      clear_own(h);
      hosts[h].stopped = 0;
      hosts[h].refused_up_to = 0;
      hosts[h].seen_term = 0;
      hosts[h].refusal_incs = 0;
#ifdef M_PAUSE
      hosts[h].checked = 0;
#endif
#ifdef LATE
      hosts[h].late_log = OFF;
      hosts[h].late_outage = 0;
      hosts[h].late_from = OFF;
      hosts[h].late_left = 0;
      hosts[h].late_term = 0;
#endif
      i = 0;
      do
      :: i < N -> hosts[h].refusal[i] = 0; i++
      :: else -> break
      od;
      i = 0
    }
#endif
  od
}

/* Requests of host h to host m. */
proctype Link(byte h; byte m) {
  do
  :: d_step {
      (is_leader(h) && is_listed_voter(h, m) && would_grant(m, hosts[h].term) && !is_fresh(h, m)) ->
      hosts[m].seen_term = max(hosts[h].term, hosts[m].seen_term);
      add_grant(h, m, T);
      assert(leader_count <= 1)
    }
#ifdef LATE
  :: d_step {
      (is_leader(h) && is_listed_voter(h, m) && would_grant(m, hosts[h].term) && hosts[h].late_from == OFF) ->
      hosts[m].seen_term = max(hosts[h].term, hosts[m].seen_term);
      hosts[h].late_from = m;
      hosts[h].late_left = T;
      hosts[h].late_term = hosts[h].term
    }
#endif

  /* A candidate that was not a voter of the predecessor's term gets a refusal from one of
   * its voters. */
  :: d_step {
      (is_newest(h) && !hosts[h].is_active && hosts[h].grant_wait_left == OFF
        && may_refuse(m) && same_inc(predecessor.incs, now_inc(m), m)) ->
      hosts[m].refused_up_to = max(predecessor.term, hosts[m].refused_up_to);
      hosts[h].grant_wait_left = GRANT_EXPIRY_WAIT
    }
#if RESTARTS > 0
  /* The same, before the candidate's claim. */
  :: d_step {
      (!hosts[h].stopped && newest.is_active && !newest.resigned && !is_voter(newest, h)
        && newest.holder != m && has(newest.voters, m)
        && (hosts[h].refusal[m] < newest.term || has(hosts[h].refusal_incs, m) != hosts[m].inc)) ->
      hosts[m].refused_up_to = max(newest.term, hosts[m].refused_up_to);
      hosts[h].refusal[m] = newest.term;
      hosts[h].refusal_incs = (hosts[h].refusal_incs & (OFF - BIT(m))) | now_inc(m)
    }
#endif
  od
}

#define count_down(timer) timer = ((timer > 0 && timer != OFF) -> timer - 1 : timer)

inline tick_host(h) {
  count_down(hosts[h].log_lease_left);
  count_down(hosts[h].outage_left);
  count_down(hosts[h].grant_wait_left);
  count_down(hosts[h].lease_wait_left);
  m = 0;
  do
  :: m < N -> count_down(hosts[h].grant_left[m]); m++
  :: else -> break
  od;
#if defined(LATE) && !defined(M_LATE)
  count_down(hosts[h].late_log);
  count_down(hosts[h].late_outage);
  count_down(hosts[h].late_left);
#endif
  skip
}

/* One tick of every clock; a clock may stand still for D ticks in total. */
proctype Clock() {
  byte h;
  byte m;
  byte slow = OFF;
  do
  :: atomic {
      if
      :: slow = OFF
#if D > 0
      :: hosts[0].lag < D -> slow = 0; hosts[0].lag++
      :: hosts[1].lag < D -> slow = 1; hosts[1].lag++
      :: hosts[2].lag < D -> slow = 2; hosts[2].lag++
#endif
      fi;
      d_step {
        h = 0;
        do
        :: h < N && h != slow -> tick_host(h); h++
        :: h < N && h == slow -> h++
        :: h >= N -> break
        od;
        h = 0; m = 0; slow = OFF;
        assert(leader_count <= 1)
      }
    }
  od
}

init {
  byte h;
  byte m;
  atomic {
    /* Host 0 is the active leader, with a voter set of any size. */
    if
    :: newest.voters = 1
    :: newest.voters = 3
#if N == 4
    :: newest.voters = 7
    :: newest.voters = 15
#else
    :: newest.voters = 7
#endif
    fi;
    newest.term = 1;
    newest.is_active = 1;
    hosts[0].term = 1;
    hosts[0].is_active = 1;
    hosts[0].voters = newest.voters;
    hosts[0].log_lease_left = T;
    hosts[0].outage_left = W;
#ifdef LATE
    h = 0;
    do
    :: h < N -> hosts[h].late_log = OFF; hosts[h].late_from = OFF; h++
    :: else -> break
    od;
#endif
    run Clock();
    h = 0;
    do
    :: h < N ->
      run Host(h);
      m = 0;
      do
      :: m < N && m != h -> run Link(h, m); m++
      :: m < N && m == h -> m++
      :: m >= N -> break
      od;
      h++
    :: else -> break
    od;
    h = 0; m = 0
  }
}
