/* Leader election on the users' platform, and the starts of one unit.
 *
 * Hosts claim leadership by a conditional append; the end of the stream is the epoch.
 * The leader announces its epoch to the jobs stream, which from then on rejects appends
 * of older epochs. A start is recorded before it is sent. Workers refuse requests of an
 * epoch lower than the highest they have seen, and end a run whose lease has expired.
 * A host may go without access to the log or a worker for any length of time, which
 * models partitions and outages; a host that takes no step is frozen. Start requests may
 * be executed late, or never.
 *
 * Time is counted in ticks, up to K. L is the lease of a run. A is the leader lease: the
 * time without an answer from the log after which a planner neither starts nor renews.
 * Property: a unit never runs on two workers at the same time.
 *
 * Each mutation (-DM_...) removes one rule, and the checker must find an error.
 */
#ifndef H
#define H 2 /* hosts */
#endif
#ifndef L
#define L 1
#endif
#ifndef A
#define A 1
#endif
#ifndef K
#define K 4
#endif
/* Runs in total. */
#ifndef R
#define R 2
#endif

byte now;
/* End of the stream of claims; newest epoch announced to the jobs stream. */
byte claims_end;
byte announced_epoch;
/* Newest recorded start: run, worker (0 if none) and epoch. */
byte recorded_run, recorded_w, recorded_epoch;
/* State of workers 1 and 2: highest epoch seen, current run, newest run that has ended,
   and end of the lease. */
byte fence[3], run_on[3], ended_run[3], lease[3];
/* Start requests in flight: worker, run, epoch, end of the lease. */
chan in_flight = [2] of { byte, byte, byte, byte };

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#ifdef M_AUTHORITY
#define HAS_LEASE true
#else
#define HAS_LEASE (now < confirmed_at + A)
#endif
#ifdef M_SEND
#define MAY_SEND true
#else
#define MAY_SEND HAS_LEASE
#endif

#define NO_RUN_ON_BOTH assert(!(run_on[1] > 0 && run_on[2] > 0))

active proctype clock() {
  do
  :: atomic { now < K ->
       now++;
       if :: run_on[1] > 0 && now >= lease[1] -> ended_run[1] = MAX(ended_run[1], run_on[1]); run_on[1] = 0 :: else fi;
       if :: run_on[2] > 0 && now >= lease[2] -> ended_run[2] = MAX(ended_run[2], run_on[2]); run_on[2] = 0 :: else fi }
  :: now == K -> break
  od
}

/* Executes start requests at any time after they were sent, in any order. */
active proctype worker_requests() {
  byte w, run_id, epoch, until;
end:
  do
  :: atomic { in_flight ?? w, run_id, epoch, until ->
       if
       :: epoch >= fence[w] && until > now && run_id > ended_run[w] && run_on[w] == 0 ->
            fence[w] = epoch; run_on[w] = run_id; lease[w] = MAX(lease[w], until);
            NO_RUN_ON_BOTH
#ifdef M_WORKER_FENCE
       :: epoch < fence[w] && until > now && run_id > ended_run[w] && run_on[w] == 0 ->
            run_on[w] = run_id; lease[w] = MAX(lease[w], until);
            NO_RUN_ON_BOTH
#endif
       :: else
       fi;
       w = 0; run_id = 0; epoch = 0; until = 0 }
  od
}

active [H] proctype host() {
  /* Epoch; newest run, the worker that may run it (0 if none), the epoch that started it,
     and the time at which it has certainly ended; the time of the last append that the log
     confirmed; a worker or, until the claim, the end of the stream that the host has read;
     the workers that have been listed. */
  byte epoch, newest_run, run_w, run_epoch, run_end_bound, confirmed_at, w;
  bool is_listed[3];
  if
  :: w = claims_end
  :: now == K -> goto done
  fi;
  atomic {
#ifdef M_CLAIM
    /* Takes the offset after the end that it read as its epoch, without a condition. */
    claims_end = MAX(claims_end, w + 1); epoch = w + 1; w = 0
#else
    if
    :: claims_end == w -> claims_end++; epoch = claims_end; w = 0
    :: else -> goto done
    fi
#endif
  }
  atomic {
    confirmed_at = now;
#ifndef M_ANNOUNCE
    if :: announced_epoch <= epoch -> announced_epoch = epoch :: else -> goto done fi
#endif
  }
  atomic {
    newest_run = recorded_run; run_w = recorded_w; run_epoch = recorded_epoch;
#ifdef M_BOUND
    run_end_bound = now + L
#else
    run_end_bound = now + A + L
#endif
  }
  do
  /* A heartbeat confirmed by the log. */
  :: atomic { announced_epoch == epoch -> confirmed_at = now }
  :: atomic { announced_epoch > epoch -> goto done }
  /* Polls a worker: raises its fence, renews its lease while the leader lease is valid,
     and lists its run. */
  :: atomic {
       if :: w = 1 :: w = 2 fi;
       if
       :: epoch < fence[w] -> goto done
       :: else -> fence[w] = epoch; is_listed[w] = true
       fi;
       if
       :: run_on[w] > 0 && HAS_LEASE ->
            lease[w] = MAX(lease[w], now + L);
            if :: run_w == w -> run_end_bound = MAX(run_end_bound, now + L) :: else fi
       :: else
       fi;
       if
       /* The worker refuses a start of an earlier epoch from now on. */
       :: run_w == w && run_epoch < epoch && run_on[w] != newest_run -> run_w = 0
       :: else
       fi;
       w = 0 }
  /* An acknowledged stop: this run and earlier ones never start on that worker again. */
  :: atomic { run_w > 0 && fence[run_w] <= epoch ->
       fence[run_w] = epoch;
       ended_run[run_w] = MAX(ended_run[run_w], newest_run);
       if :: run_on[run_w] > 0 && run_on[run_w] <= newest_run -> run_on[run_w] = 0 :: else fi;
       run_w = 0 }
  /* The worker cannot be reached, but its lease has certainly expired. */
#ifdef M_NO_WAIT
  :: atomic { run_w > 0 -> run_w = 0 }
#else
  :: atomic { run_w > 0 && now >= run_end_bound -> run_w = 0 }
#endif
  /* A start: recorded, then sent, possibly much later. */
  :: atomic { run_w == 0 && newest_run < R && (is_listed[1] || (is_listed[2] && newest_run > 0)) ->
       /* The workers are symmetric, so the first start is on the first one. */
       if :: is_listed[1] -> w = 1 :: is_listed[2] && newest_run > 0 -> w = 2 fi;
#ifndef M_RECORD
#ifndef M_ANNOUNCE
       if :: announced_epoch != epoch -> goto done :: else fi;
#endif
#endif
       newest_run++; run_w = w; run_epoch = epoch;
#ifndef M_RECORD
       recorded_run = newest_run; recorded_w = w; recorded_epoch = epoch;
#endif
       confirmed_at = now; run_end_bound = MAX(run_end_bound, now + L) }
     atomic {
       if
       :: MAY_SEND -> in_flight ! w, newest_run, epoch, now + L; run_end_bound = MAX(run_end_bound, now + L)
       :: !MAY_SEND -> run_w = 0
       fi;
       w = 0 }
#ifdef M_RECORD
     atomic { if :: announced_epoch == epoch -> recorded_run = newest_run; recorded_w = run_w; recorded_epoch = epoch :: else -> goto done fi }
#endif
  :: now == K -> goto done
  od;
done:
  skip
}
