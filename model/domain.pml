/* The planner's seat on the users' platform, and the starts of one unit.
 *
 * Hosts claim the seat by a conditional append; the end of the stream is the epoch.
 * The epoch is announced to the jobs stream, which refuses older writers from then on.
 * A start is recorded before it is sent. Workers refuse orders of an epoch lower than
 * the highest seen, and end a run whose lease is over. Every access of a host to the
 * log or a worker may be left out for as long as one likes, which stands for cuts and
 * outages; a host that takes no step is frozen. Orders to start may be carried out
 * late, or never.
 *
 * Times are ticks: L is the lease, A the time without a word of the log after which a
 * planner neither starts nor renews. Claimed: a unit never runs on two workers.
 *
 * Mutations (-DM_...) leave one rule out; each has to be found.
 */
#ifndef H
#define H 2
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
/* Runs in all. */
#ifndef R
#define R 2
#endif

byte now;
byte seat_end;
byte writer;
/* Newest recorded start: run, worker (0: none) and its epoch. */
byte rec_run, rec_w, rec_epoch;
/* Workers 1 and 2. */
byte fence[3], run_on[3], over[3], lease[3];
/* Starts under way: worker, run, epoch, lease. */
chan fly = [2] of { byte, byte, byte, byte };

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#ifdef M_AUTHORITY
#define HAS_AUTHORITY true
#else
#define HAS_AUTHORITY (now < conf + A)
#endif
#ifdef M_SEND
#define MAY_SEND true
#else
#define MAY_SEND HAS_AUTHORITY
#endif

#define NO_RUN_ON_BOTH assert(!(run_on[1] > 0 && run_on[2] > 0))

active proctype ticks() {
  do
  :: atomic { now < K ->
       now++;
       if :: run_on[1] > 0 && now >= lease[1] -> over[1] = MAX(over[1], run_on[1]); run_on[1] = 0 :: else fi;
       if :: run_on[2] > 0 && now >= lease[2] -> over[2] = MAX(over[2], run_on[2]); run_on[2] = 0 :: else fi }
  :: now == K -> break
  od
}

/* Carries out starts, at any time after they were sent, in any order. */
active proctype arrivals() {
  byte w, number, epoch, until;
end:
  do
  :: atomic { fly ?? w, number, epoch, until ->
       if
       :: epoch >= fence[w] && until > now && number > over[w] && run_on[w] == 0 ->
            fence[w] = epoch; run_on[w] = number; lease[w] = MAX(lease[w], until);
            NO_RUN_ON_BOTH
#ifdef M_WORKER_FENCE
       :: epoch < fence[w] && until > now && number > over[w] && run_on[w] == 0 ->
            run_on[w] = number; lease[w] = MAX(lease[w], until);
            NO_RUN_ON_BOTH
#endif
       :: else
       fi;
       w = 0; number = 0; epoch = 0; until = 0 }
  od
}

active [H] proctype host() {
  /* Epoch, newest run, where it may be (0: nowhere), the epoch that started it, when
     it is certainly over, when the log last took an append, workers looked at. */
  byte epoch, my_run, my_w, my_epoch, bound, conf, w;
  bool seen[3];
  if
  :: w = seat_end
  :: now == K -> goto done
  fi;
  atomic {
#ifdef M_CLAIM
    /* Takes the offset that it saw for its own. */
    seat_end = MAX(seat_end, w + 1); epoch = w + 1; w = 0
#else
    if
    :: seat_end == w -> seat_end++; epoch = seat_end; w = 0
    :: else -> goto done
    fi
#endif
  }
  atomic {
    conf = now;
#ifndef M_ANNOUNCE
    if :: writer <= epoch -> writer = epoch :: else -> goto done fi
#endif
  }
  atomic {
    my_run = rec_run; my_w = rec_w; my_epoch = rec_epoch;
#ifdef M_BOUND
    bound = now + L
#else
    bound = now + A + L
#endif
  }
  do
  /* A heartbeat. */
  :: atomic { writer == epoch -> conf = now }
  :: atomic { writer > epoch -> goto done }
  /* A look at a worker: raises its fence, renews, and lists. */
  :: atomic {
       if :: w = 1 :: w = 2 fi;
       if
       :: epoch < fence[w] -> goto done
       :: else -> fence[w] = epoch; seen[w] = true
       fi;
       if
       :: run_on[w] > 0 && HAS_AUTHORITY ->
            lease[w] = MAX(lease[w], now + L);
            if :: my_w == w -> bound = MAX(bound, now + L) :: else fi
       :: else
       fi;
       if
       /* A start of an earlier epoch cannot come any more. */
       :: my_w == w && my_epoch < epoch && run_on[w] != my_run -> my_w = 0
       :: else
       fi;
       w = 0 }
  /* A stop that is answered: the run and earlier ones never start there again. */
  :: atomic { my_w > 0 && fence[my_w] <= epoch ->
       fence[my_w] = epoch;
       over[my_w] = MAX(over[my_w], my_run);
       if :: run_on[my_w] > 0 && run_on[my_w] <= my_run -> run_on[my_w] = 0 :: else fi;
       my_w = 0 }
  /* The worker cannot be reached, and its lease is certainly over. */
#ifdef M_NO_WAIT
  :: atomic { my_w > 0 -> my_w = 0 }
#else
  :: atomic { my_w > 0 && now >= bound -> my_w = 0 }
#endif
  /* A start: recorded, then sent, perhaps much later. */
  :: atomic { my_w == 0 && my_run < R && (seen[1] || (seen[2] && my_run > 0)) ->
       /* The workers are alike: the first start is on the first. */
       if :: seen[1] -> w = 1 :: seen[2] && my_run > 0 -> w = 2 fi;
#ifndef M_RECORD
#ifndef M_ANNOUNCE
       if :: writer != epoch -> goto done :: else fi;
#endif
#endif
       my_run++; my_w = w; my_epoch = epoch;
#ifndef M_RECORD
       rec_run = my_run; rec_w = w; rec_epoch = epoch;
#endif
       conf = now; bound = MAX(bound, now + L) }
     atomic {
       if
       :: MAY_SEND -> fly ! w, my_run, epoch, now + L; bound = MAX(bound, now + L)
       :: !MAY_SEND -> my_w = 0
       fi;
       w = 0 }
#ifdef M_RECORD
     atomic { if :: writer == epoch -> rec_run = my_run; rec_w = my_w; rec_epoch = epoch :: else -> goto done fi }
#endif
  :: now == K -> goto done
  od;
done:
  skip
}
