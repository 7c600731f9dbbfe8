/*
 * Acceptance of one job when answers from the log may be lost.
 *
 * Two entry hosts serve the same submission, identified by the job's id. An append
 * in flight takes effect at any later step or never, and several appends with one
 * id are possible. The first record of an id decides: `accepted` opens the job,
 * `refused` closes the id for good. The same holds for the start record and the end
 * record. Records expire, but an id is retained while an append may be in flight.
 *
 * Properties: a job that was reported as accepted is open, running or ended; a job
 * that was reported as not run is never open; a non-idempotent job starts at most
 * once; a job ends at most once.
 *
 * Each mutation (M_...) removes one rule.
 */

#define HOSTS 2
mtype = { NOTHING, ACCEPTED, REFUSED };
mtype = { UNREPORTED, REPORTED_ACCEPTED, REPORTED_NOT_RUN, REPORTED_UNKNOWN };

mtype first = NOTHING;  /* first record of the id */
bit start_recorded;
bit ended;
bit expired;
byte starts;
byte ends;

byte accepts_in_flight;
byte refusals_in_flight;
byte submissions;
byte serving;         /* hosts that may still append records with the id */
bit ever_accepted;
bit ever_not_run;

inline report(outcome) {
  reported = outcome;
  if
  :: outcome == REPORTED_ACCEPTED -> ever_accepted = 1
  :: outcome == REPORTED_NOT_RUN -> ever_not_run = 1
  :: else
  fi;
  check()
}

inline check() {
  assert(!(ever_accepted && first == REFUSED));
  assert(!(ever_accepted && first == NOTHING && !expired));
  assert(!(ever_not_run && first == ACCEPTED));
  assert(!(ever_not_run && starts > 0));
  assert(starts <= 1);
  assert(ends <= 1)
}

proctype EntryHost() {
  mtype reported = UNREPORTED;
  bit is_serving = 0; /* a caller's submission is being served */
  do
  /* The caller submits, or retries with the same id. */
  :: d_step {
      (!is_serving && submissions < 3) ->
      submissions++;
      is_serving = 1;
      serving++;
      reported = UNREPORTED
    }
  :: d_step {
      (is_serving && reported == UNREPORTED && accepts_in_flight < 2) ->
      accepts_in_flight++;
      reported = REPORTED_UNKNOWN /* the caller's answer from here on, until the log decides */
    }
  /* Reads the record back from the log. */
  :: d_step {
      (is_serving && first == ACCEPTED) ->
      report(REPORTED_ACCEPTED);
      is_serving = 0;
      serving--
    }
  :: d_step {
      (is_serving && first == REFUSED) ->
      report(REPORTED_NOT_RUN);
      is_serving = 0;
      serving--
    }
  /* The deadline passes while the outcome of the append is unknown, so the host tries to
   * close the id. */
  :: d_step {
      (is_serving && reported == REPORTED_UNKNOWN && refusals_in_flight < 2) ->
      refusals_in_flight++
    }
  /* The deadline passes before any append was sent. */
  :: d_step {
      (is_serving && reported == UNREPORTED) ->
#ifdef M_NOT_RUN_UNSENT
      /* Reports the id as not run although another host may have sent an append. */
      report(REPORTED_NOT_RUN);
#endif
      is_serving = 0;
      serving--
    }
#ifdef M_TIMEOUT
  :: d_step {
      (is_serving && reported == REPORTED_UNKNOWN) ->
      report(REPORTED_NOT_RUN);
      is_serving = 0;
      serving--
    }
#endif
#ifdef M_REREAD
  /* The record is not in the log, but may still arrive. */
  :: d_step {
      (is_serving && reported == REPORTED_UNKNOWN && first == NOTHING) ->
      report(REPORTED_NOT_RUN);
      is_serving = 0;
      serving--
    }
#endif
#ifdef M_ACCEPT_EARLY
  :: d_step {
      (is_serving && reported == REPORTED_UNKNOWN) ->
      report(REPORTED_ACCEPTED);
      is_serving = 0;
      serving--
    }
#endif
  /* The process crashes; its appends stay in flight. */
  :: d_step {
      (is_serving) ->
      is_serving = 0;
      serving--;
      reported = UNREPORTED
    }
  od
}

proctype Log() {
  do
  :: d_step {
      (accepts_in_flight > 0) ->
      accepts_in_flight--;
#ifdef M_LAST_WINS
      first = ACCEPTED;
#else
      if
      :: first == NOTHING -> first = ACCEPTED
      :: else
      fi;
#endif
      check()
    }
  :: d_step { (accepts_in_flight > 0) -> accepts_in_flight-- }
  :: d_step {
      (refusals_in_flight > 0) ->
      refusals_in_flight--;
      if
      :: first == NOTHING -> first = REFUSED
      :: else
      fi;
      check()
    }
  :: d_step { (refusals_in_flight > 0) -> refusals_in_flight-- }
  /* Retention removes the records of an ended job. */
  :: d_step {
      (ended && first == ACCEPTED
#ifndef M_EXPIRY
        && accepts_in_flight == 0 && refusals_in_flight == 0 && serving == 0 && submissions == 3
#endif
        ) ->
      first = NOTHING;
      start_recorded = 0;
      ended = 0;
      expired = 1
    }
  od
}

/* The current planner. Its appends may be lost or answered late, and a successor may
 * replace it between any two steps. */
proctype Planner() {
  bit may_send = 0; /* has read its own start record back */
  do
  :: d_step {
      (first == ACCEPTED && !ended && !start_recorded) ->
      start_recorded = 1;
      may_send = 1
    }
  :: d_step {
      (may_send && !ended) ->
      starts++;
      may_send = 0;
      check()
    }
#ifdef M_START_AGAIN
  /* A successor starts a job that may have started already. */
  :: d_step {
      (start_recorded && !ended && !may_send) ->
      starts++;
      check()
    }
#endif
#ifdef M_NO_START_RECORD
  :: d_step {
      (first == ACCEPTED && !ended && !start_recorded) ->
      starts++;
      check()
    }
#endif
  :: d_step {
      (first == ACCEPTED && start_recorded && !may_send
#ifndef M_END_TWICE
        && !ended
#endif
        ) ->
      ended = 1;
      ends++;
      check()
    }
  /* Replaced by a successor that knows only the records. */
  :: d_step { (may_send) -> may_send = 0 }
  od
}

init {
  atomic {
    run EntryHost();
    run EntryHost();
    run Log();
    run Planner()
  }
}
