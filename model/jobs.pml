/*
 * Acceptance of one job whose answers from the log get lost.
 *
 * Two entry hosts serve the same submission, keyed by the job's id. An append in
 * flight takes effect at any later step or never, and several appends with one id
 * are possible. The first record of an id decides: `accepted` opens the job,
 * `refused` closes the id for good. The start record and the end record work the
 * same way. Records expire; ids are kept while an append may be under way.
 *
 * Properties: a job that was reported accepted is open, running or ended; a job
 * that was reported not run is never open; a non-idempotent job starts at most
 * once; a job ends at most once.
 *
 * A mutation (M_...) drops one rule.
 */

#define HOSTS 2
mtype = { NOTHING, ACCEPTED, REFUSED };
mtype = { SILENT, TOLD_ACCEPTED, TOLD_NOT_RUN, TOLD_UNKNOWN };

mtype first = NOTHING;  /* first record of the id */
bit start_recorded;
bit ended;
bit expired;
byte starts;
byte ends;

byte accepts_in_flight;
byte refusals_in_flight;
byte submissions;
byte serving;         /* hosts that may still append for the id */
bit ever_accepted;
bit ever_not_run;

inline tell(what) {
  told = what;
  if
  :: what == TOLD_ACCEPTED -> ever_accepted = 1
  :: what == TOLD_NOT_RUN -> ever_not_run = 1
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
  mtype told = SILENT;
  bit waits = 0; /* the submission of a caller is being served */
  do
  /* The caller submits, or asks again with the same id. */
  :: d_step {
      (!waits && submissions < 3) ->
      submissions++;
      waits = 1;
      serving++;
      told = SILENT
    }
  :: d_step {
      (waits && told == SILENT && accepts_in_flight < 2) ->
      accepts_in_flight++;
      told = TOLD_UNKNOWN /* what a caller would be told from here on */
    }
  /* Reads the log back. */
  :: d_step {
      (waits && first == ACCEPTED) ->
      tell(TOLD_ACCEPTED);
      waits = 0;
      serving--
    }
  :: d_step {
      (waits && first == REFUSED) ->
      tell(TOLD_NOT_RUN);
      waits = 0;
      serving--
    }
  /* The deadline passes with the append unsettled: the id is to be closed. */
  :: d_step {
      (waits && told == TOLD_UNKNOWN && refusals_in_flight < 2) ->
      refusals_in_flight++
    }
  /* The deadline passes before any append was sent. */
  :: d_step {
      (waits && told == SILENT) ->
#ifdef M_NOT_RUN_UNSENT
      /* Says so for the id although another host may have sent one. */
      tell(TOLD_NOT_RUN);
#endif
      waits = 0;
      serving--
    }
#ifdef M_TIMEOUT
  :: d_step {
      (waits && told == TOLD_UNKNOWN) ->
      tell(TOLD_NOT_RUN);
      waits = 0;
      serving--
    }
#endif
#ifdef M_REREAD
  /* The record is not in the log, but may yet come. */
  :: d_step {
      (waits && told == TOLD_UNKNOWN && first == NOTHING) ->
      tell(TOLD_NOT_RUN);
      waits = 0;
      serving--
    }
#endif
#ifdef M_ACCEPT_EARLY
  :: d_step {
      (waits && told == TOLD_UNKNOWN) ->
      tell(TOLD_ACCEPTED);
      waits = 0;
      serving--
    }
#endif
  /* The process dies; its appends stay in flight. */
  :: d_step {
      (waits) ->
      waits = 0;
      serving--;
      told = SILENT
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
  /* Retention takes the records of an ended job. */
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

/* The planner of the moment; any of its appends may be lost or answered late,
 * and it may be replaced between any two steps. */
proctype Planner() {
  bit may_send = 0; /* read its own start record back */
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
  /* A successor starts a job that may have started. */
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
  /* Replaced: its successor only knows the records. */
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
