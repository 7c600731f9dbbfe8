/*
 * The planner seat of one availability zone.
 *
 * Hosts claim the seat in the platform's log and act while a log read or the
 * promises of the other candidates carry them. `newest` and `guard` are the
 * ledger that every reader computes from the log; a host keeps what it knows of
 * its own tenure. Void records change nothing, so only valid ones are steps.
 *
 * Time is ticks. Lost messages, log outages, partitions and pauses are the
 * absence of steps. Steps that only leave a host with less are left out: a claim
 * is read back at once, a host that lost its seat need not learn of it, and a
 * promise or log read is answered at once, unless LATE lets the answers wait. An
 * append of a roster takes effect at any later step, or never.
 *
 * Property: at no moment may two hosts start jobs.
 *
 * Features: RESTARTS n, ROSTERS n, YIELDS, LATE, D n (drift in ticks), SUBSETS.
 * A mutation (M_...) drops one rule of the protocol.
 */

#ifndef N
#define N 3 /* hosts */
#endif
#ifndef T
#define T 1 /* ticks that a log read or a promise carries */
#endif
#ifndef W
#define W 2 /* ticks that promises carry without a log read */
#endif
#ifndef D
#define D 0 /* ticks that a clock may lose in all */
#endif
#ifndef K
#define K 3 /* claims, the first included */
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#ifndef ROSTERS
#define ROSTERS 0 /* roster records in one tenure */
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
#define SHORT 0
#else
#define SHORT (T + SLACK)
#endif
#define LONG (W + SLACK)

typedef Tenure {
  byte term;     /* number of the claim, 0: none */
  byte holder;
  byte inc;      /* incarnation of the holder */
  byte roster;   /* mask of candidates */
  byte incs;     /* mask of their incarnations */
  byte version;  /* number of the roster within the tenure */
  bit acting;    /* the active record is in the log */
  bit yielded
};

Tenure newest;
#ifdef M_BASE
Tenure older;
#endif
Tenure guard; /* last active tenure not yielded, while the newest one waits */

typedef HostState {
  byte inc;
  /* What the host knows of its own tenure. */
  byte term;       /* 0: holds none */
  bit acting;
  bit stopped;
  byte roster;
  byte incs;
  byte version;
  byte short_left; /* rest of the short wait, OFF while promises may go on */
  byte long_left;
  /* What carries it. */
  byte log_left;
  byte w_left;
  byte promise_left[N];
  byte promise_incs;
  /* A roster that may be in force. */
  byte pending;
  byte pending_incs;
  byte pending_version;
  /* What it said to others. */
  byte refused;    /* promises nothing to this term and all before */
  byte seen;       /* newest term heard of */
#if RESTARTS > 0
  byte word[N];    /* term that each member gave its word on */
  byte word_incs;
#endif
#ifdef M_PAUSE
  bit checked;
#endif
#ifdef M_GIVE_UP
  byte flight;
  byte flight_incs;
  byte flight_version;
#endif
#ifdef LATE
  byte late_log;   /* log answer under way, OFF: none */
  byte late_w;
  byte late_from;  /* promise under way, OFF: none */
  byte late_left;
  byte late_term;
#endif
  byte lag
};

HostState hosts[N];

#ifdef M_INCARNATION
#define same_inc(left, right, m) true
#else
#define same_inc(left, right, m) (has(left, m) == has(right, m))
#endif
#define now_inc(m) (hosts[m].inc << (m))
#define is_member(e, h) (has(e.roster, h) && same_inc(e.incs, now_inc(h), h))

/* Whether h needs the promise of m for a roster, and has it. */
#define needs(mask, h, m) ((m) != (h) && has(mask, m))
#define promised(h, m, incs_) (hosts[h].promise_left[m] > 0 && same_inc(hosts[h].promise_incs, incs_, m))
#define kept(h, m, mask, incs_) (!needs(mask, h, m) || promised(h, m, incs_))
#if N == 4
#define all_kept(h, mask, incs_) (kept(h, 0, mask, incs_) && kept(h, 1, mask, incs_) && kept(h, 2, mask, incs_) && kept(h, 3, mask, incs_))
#else
#define all_kept(h, mask, incs_) (kept(h, 0, mask, incs_) && kept(h, 1, mask, incs_) && kept(h, 2, mask, incs_))
#endif

#ifdef M_OLD_ROSTER
#define pending_kept(h) true
#else
#define pending_kept(h) (hosts[h].pending == 0 || all_kept(h, hosts[h].pending, hosts[h].pending_incs))
#endif
#ifdef M_NEW_ROSTER
#define roster_kept(h) (hosts[h].pending || all_kept(h, hosts[h].roster, hosts[h].incs))
#else
#define roster_kept(h) all_kept(h, hosts[h].roster, hosts[h].incs)
#endif
#ifdef M_W
#define within_w(h) true
#else
#define within_w(h) (hosts[h].w_left > 0)
#endif
#ifdef M_NO_ACTIVE
#define acts(h) (hosts[h].acting || wait_over(h))
#else
#define acts(h) hosts[h].acting
#endif

#define carried(h) (hosts[h].log_left > 0 || (within_w(h) && roster_kept(h) && pending_kept(h)))
#define holds(h) (hosts[h].term && acts(h) && !hosts[h].stopped)
#ifdef M_PAUSE
#define may_start(h) hosts[h].checked
#else
#define may_start(h) (holds(h) && carried(h))
#endif
#define is_newest(h) (hosts[h].term && hosts[h].term == newest.term)
#define wait_over(h) (hosts[h].short_left == 0 || hosts[h].long_left == 0)

#if N == 4
#define starters (may_start(0) + may_start(1) + may_start(2) + may_start(3))
#else
#define starters (may_start(0) + may_start(1) + may_start(2))
#endif

/* The holder of the guard itself is no witness that its promises ended. */
#ifdef M_WORD_HOLDER
#define is_witness(m) has(guard.roster, m)
#else
#define is_witness(m) (has(guard.roster, m) && guard.holder != (m))
#endif
#if RESTARTS > 0
#define word_counts(h, m) (is_witness(m) && hosts[h].word[m] >= guard.term && same_inc(hosts[h].word_incs, guard.incs, m))
#if N == 4
#define any_word(h) (word_counts(h, 0) || word_counts(h, 1) || word_counts(h, 2) || word_counts(h, 3))
#else
#define any_word(h) (word_counts(h, 0) || word_counts(h, 1) || word_counts(h, 2))
#endif
#else
#define any_word(h) false
#endif
#ifdef M_STRANGER
#define ended(h) true
#else
#define ended(h) (is_member(guard, h) || any_word(h))
#endif

#ifdef M_SEEN
#define later_seen(m, t) false
#else
#define later_seen(m, t) (hosts[m].seen > (t))
#endif
#define would_promise(m, t) (hosts[m].refused < (t) && !later_seen(m, t) && !hosts[m].stopped)
#define is_named(h, m) ((needs(hosts[h].roster, h, m) && same_inc(hosts[h].incs, now_inc(m), m)) || (needs(hosts[h].pending, h, m) && same_inc(hosts[h].pending_incs, now_inc(m), m)))
#define is_fresh(h, m) (hosts[h].promise_left[m] == T && has(hosts[h].promise_incs, m) == hosts[m].inc)

inline copy_tenure(to, from) {
  to.term = from.term;
  to.holder = from.holder;
  to.inc = from.inc;
  to.roster = from.roster;
  to.incs = from.incs;
  to.version = from.version;
  to.acting = from.acting;
  to.yielded = from.yielded
}

inline clear_tenure(e) {
  e.term = 0;
  e.holder = 0;
  e.inc = 0;
  e.roster = 0;
  e.incs = 0;
  e.version = 0;
  e.acting = 0;
  e.yielded = 0
}

inline clear_pending(h) {
  hosts[h].pending = 0;
  hosts[h].pending_incs = 0;
  hosts[h].pending_version = 0
}

inline clear_own(h) {
  hosts[h].term = 0;
  hosts[h].acting = 0;
  hosts[h].roster = 0;
  hosts[h].incs = 0;
  hosts[h].version = 0;
  hosts[h].short_left = 0;
  hosts[h].long_left = 0;
  hosts[h].log_left = 0;
  hosts[h].w_left = 0;
  hosts[h].promise_incs = 0;
  i = 0;
  do
  :: i < N -> hosts[h].promise_left[i] = 0; i++
  :: else -> break
  od;
  clear_pending(h)
}

inline set_log(h) {
  hosts[h].log_left = T;
  hosts[h].w_left = W
}

/* The guard after a claim over the newest tenure. */
inline move_guard() {
  if
  :: newest.acting && !newest.yielded -> copy_tenure(guard, newest)
  :: newest.acting && newest.yielded -> clear_tenure(guard)
#if defined(M_WAITING_ROSTER)
  :: else -> copy_tenure(guard, newest)
#elif defined(M_WAITING_NONE)
  :: else -> clear_tenure(guard)
#else
  :: else
#endif
  fi
}

/* Host h claims with the roster in `mask` and `incs`, and reads its claim. */
inline claim(h) {
#ifdef M_KEEP_PROMISING
  skip;
#else
  hosts[h].refused = max(newest.term, hosts[h].refused);
#endif
  clear_own(h);
  move_guard();
  newest.term = claims;
  newest.holder = h;
  newest.inc = hosts[h].inc;
  newest.roster = mask;
  newest.incs = incs;
  newest.version = 0;
  newest.acting = 0;
  newest.yielded = 0;
  hosts[h].term = claims;
  hosts[h].roster = mask;
  hosts[h].incs = incs;
  hosts[h].seen = max(claims, hosts[h].seen);
  set_log(h);
  if
  :: guard.term ->
    hosts[h].long_left = LONG;
    hosts[h].short_left = (ended(h) -> SHORT : OFF)
  :: else
  fi
}

/* Chooses candidates with h itself; other hosts' incarnations may be old ones. */
inline choose_roster(h) {
  mask = BIT(h);
  incs = now_inc(h);
#ifdef SUBSETS
  i = 0;
  do
  :: i < N && i != h -> choose_member(i); i++
  :: i < N && i == h -> i++
  :: i >= N -> break
  od
#else
  if
  :: skip
  :: i = 0;
    do
    :: i < N && i != h -> add_member(i); i++
    :: i < N && i == h -> i++
    :: i >= N -> break
    od
  fi
#endif
}

inline choose_member(k) {
  if
  :: skip
  :: add_member(k)
  fi
}

inline add_member(k) {
  mask = mask | BIT(k);
  if
  :: hosts[k].inc -> incs = incs | BIT(k)
#if RESTARTS > 0
  :: hosts[k].inc /* its restart is not known here */
#endif
  :: else
  fi
}

#ifdef M_GIVE_UP
#define in_flight(h) hosts[h].flight
#define flight_of(h, part) hosts[h].flight##part
#else
#define in_flight(h) hosts[h].pending
#define flight_of(h, part) hosts[h].pending##part
#endif

inline give_promise(h, from, left) {
  hosts[h].promise_left[from] = max(left, hosts[h].promise_left[from]);
  hosts[h].promise_incs = (hosts[h].promise_incs & (OFF - BIT(from))) | now_inc(from)
}

byte claims = 1;
byte restarts = 0;

proctype Host(byte h) {
  byte i;
  byte mask;
  byte incs;
  do
  /* Reads to the tail of the log, which still names this host. */
  :: d_step {
      (is_newest(h) && !hosts[h].stopped
        && (hosts[h].log_left < T || hosts[h].w_left < W || hosts[h].version != newest.version)) ->
      set_log(h);
      hosts[h].roster = newest.roster;
      hosts[h].incs = newest.incs;
      hosts[h].version = newest.version;
      if
      :: hosts[h].pending && hosts[h].pending_version != newest.version -> clear_pending(h)
      :: else
      fi;
      assert(starters <= 1)
    }

  :: atomic {
      (claims < K && !is_newest(h) && !hosts[h].stopped) ->
      choose_roster(h);
      d_step {
        claims++;
        claim(h);
        i = 0; mask = 0; incs = 0;
        assert(starters <= 1)
      }
    }
#ifdef M_BASE
  /* A claim by a host that has read no further than the tenure before. */
  :: atomic {
      (claims < K && !is_newest(h) && !hosts[h].stopped && older.term && newest.acting) ->
      choose_roster(h);
      d_step {
        claims++;
        copy_tenure(newest, older);
        claim(h);
        i = 0; mask = 0; incs = 0;
        assert(starters <= 1)
      }
    }
#endif

  /* The wait is over: the active record is appended and read back. */
  :: d_step {
      (is_newest(h) && !hosts[h].acting && !hosts[h].stopped && wait_over(h)) ->
      newest.acting = 1;
#ifdef M_BASE
      copy_tenure(older, guard);
#endif
      clear_tenure(guard);
      hosts[h].acting = 1;
      hosts[h].short_left = 0;
      hosts[h].long_left = 0;
      set_log(h);
      assert(starters <= 1)
    }

#if ROSTERS > 0
  :: atomic {
      (holds(h) && hosts[h].acting && in_flight(h) == 0 && hosts[h].version < ROSTERS) ->
      choose_roster(h);
      d_step {
        hosts[h].pending = mask;
        hosts[h].pending_incs = incs;
        hosts[h].pending_version = hosts[h].version;
#ifdef M_GIVE_UP
        hosts[h].flight = mask;
        hosts[h].flight_incs = incs;
        hosts[h].flight_version = hosts[h].version;
#endif
        i = 0; mask = 0; incs = 0;
        assert(starters <= 1)
      }
    }
  /* The roster record takes effect; its answer is lost. */
  :: d_step {
      (in_flight(h) && is_newest(h) && newest.version == flight_of(h, _version)) ->
      newest.roster = flight_of(h, );
      newest.incs = flight_of(h, _incs);
      newest.version++;
#ifdef M_GIVE_UP
      hosts[h].flight = 0;
      hosts[h].flight_incs = 0;
      hosts[h].flight_version = 0
#endif
    }
#ifdef M_GIVE_UP
  :: d_step {
      (hosts[h].pending) ->
      clear_pending(h);
      assert(starters <= 1)
    }
#endif
#endif

#ifdef YIELDS
  /* Stops for good, then appends that it did. */
  :: d_step {
      (is_newest(h) && hosts[h].acting && !newest.yielded) ->
      newest.yielded = 1;
#ifndef M_YIELD
      clear_own(h);
      hosts[h].stopped = 1;
#endif
      i = 0
    }
#endif

#ifdef M_FORGET
  :: d_step { (hosts[h].refused > 0) -> hosts[h].refused = 0 }
#endif
#ifdef M_PAUSE
  :: d_step {
      (hosts[h].checked != (holds(h) && carried(h))) ->
      hosts[h].checked = (holds(h) && carried(h));
      assert(starters <= 1)
    }
#endif

#ifdef LATE
  :: d_step {
      (is_newest(h) && hosts[h].late_log == OFF) ->
      hosts[h].late_log = T;
      hosts[h].late_w = W
    }
  :: d_step {
      (hosts[h].late_log != OFF) ->
      if
      :: hosts[h].term ->
        hosts[h].log_left = max(hosts[h].late_log, hosts[h].log_left);
        hosts[h].w_left = max(hosts[h].late_w, hosts[h].w_left)
      :: else
      fi;
      hosts[h].late_log = OFF;
      hosts[h].late_w = 0;
      assert(starters <= 1)
    }
  :: d_step {
      (hosts[h].late_from != OFF) ->
      if
      :: hosts[h].term == hosts[h].late_term ->
        give_promise(h, hosts[h].late_from, hosts[h].late_left)
      :: else
      fi;
      hosts[h].late_from = OFF;
      hosts[h].late_left = 0;
      hosts[h].late_term = 0;
      assert(starters <= 1)
    }
#endif

#if RESTARTS > 0
  /* Restarts with its memory lost. */
  :: d_step {
      (restarts < RESTARTS && hosts[h].inc == 0) ->
      restarts++;
      hosts[h].inc = 1;
      clear_own(h);
      hosts[h].stopped = 0;
      hosts[h].refused = 0;
      hosts[h].seen = 0;
      hosts[h].word_incs = 0;
#ifdef M_PAUSE
      hosts[h].checked = 0;
#endif
#ifdef LATE
      hosts[h].late_log = OFF;
      hosts[h].late_w = 0;
      hosts[h].late_from = OFF;
      hosts[h].late_left = 0;
      hosts[h].late_term = 0;
#endif
      i = 0;
      do
      :: i < N -> hosts[h].word[i] = 0; i++
      :: else -> break
      od;
      i = 0
    }
#endif
  od
}

/* What host h asks of host m. */
proctype Link(byte h; byte m) {
  do
  :: d_step {
      (holds(h) && is_named(h, m) && would_promise(m, hosts[h].term) && !is_fresh(h, m)) ->
      hosts[m].seen = max(hosts[h].term, hosts[m].seen);
      give_promise(h, m, T);
      assert(starters <= 1)
    }
#ifdef LATE
  :: d_step {
      (holds(h) && is_named(h, m) && would_promise(m, hosts[h].term) && hosts[h].late_from == OFF) ->
      hosts[m].seen = max(hosts[h].term, hosts[m].seen);
      hosts[h].late_from = m;
      hosts[h].late_left = T;
      hosts[h].late_term = hosts[h].term
    }
#endif

  /* A claimant that is no candidate of the guard gets the word of one. */
  :: d_step {
      (is_newest(h) && !hosts[h].acting && hosts[h].short_left == OFF
        && is_witness(m) && same_inc(guard.incs, now_inc(m), m)) ->
      hosts[m].refused = max(guard.term, hosts[m].refused);
      hosts[h].short_left = SHORT
    }
#if RESTARTS > 0
  /* The same before its claim. */
  :: d_step {
      (!hosts[h].stopped && newest.acting && !newest.yielded && !is_member(newest, h)
        && newest.holder != m && has(newest.roster, m)
        && (hosts[h].word[m] < newest.term || has(hosts[h].word_incs, m) != hosts[m].inc)) ->
      hosts[m].refused = max(newest.term, hosts[m].refused);
      hosts[h].word[m] = newest.term;
      hosts[h].word_incs = (hosts[h].word_incs & (OFF - BIT(m))) | now_inc(m)
    }
#endif
  od
}

#define count_down(timer) timer = ((timer > 0 && timer != OFF) -> timer - 1 : timer)

inline tick_host(h) {
  count_down(hosts[h].log_left);
  count_down(hosts[h].w_left);
  count_down(hosts[h].short_left);
  count_down(hosts[h].long_left);
  m = 0;
  do
  :: m < N -> count_down(hosts[h].promise_left[m]); m++
  :: else -> break
  od;
#if defined(LATE) && !defined(M_LATE)
  count_down(hosts[h].late_log);
  count_down(hosts[h].late_w);
  count_down(hosts[h].late_left);
#endif
  skip
}

/* One tick of every clock; a clock may stand still for D ticks in all. */
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
        assert(starters <= 1)
      }
    }
  od
}

init {
  byte h;
  byte m;
  atomic {
    /* Host 0 is active; its roster is any. */
    if
    :: newest.roster = 1
    :: newest.roster = 3
#if N == 4
    :: newest.roster = 7
    :: newest.roster = 15
#else
    :: newest.roster = 7
#endif
    fi;
    newest.term = 1;
    newest.acting = 1;
    hosts[0].term = 1;
    hosts[0].acting = 1;
    hosts[0].roster = newest.roster;
    hosts[0].log_left = T;
    hosts[0].w_left = W;
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
