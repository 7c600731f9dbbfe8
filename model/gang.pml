/*
 * The start of one gang of two tasks on two workers.
 *
 * A planner reserves on both workers, records the attempt in the log, then starts
 * both. It renews a running task only after both answered its last round. A
 * planner is replaced at any step; requests in flight stay in flight, and the
 * successor lists the tasks of both workers before it does anything else. One
 * request to a worker is under way at a time; a planner that gives up on one
 * never sends on that connection again, so each planner leaves at most one late
 * request per worker.
 *
 * Properties: a non-idempotent job starts once on each worker at most; the two
 * attempts of an idempotent job never run side by side; a gang runs in part for
 * BOUND ticks at most.
 *
 * CALM: requests are answered within the tick, nothing dies, no lease lapses; then
 * a gang may not run in part at any tick.
 */

#ifndef LEASE
#define LEASE 2
#endif
#ifndef PLANNERS
#define PLANNERS 2
#endif
#ifdef CALM
#define BOUND 0
#endif
#ifndef BOUND
#define BOUND (LEASE * (PLANNERS + 1)) /* the lease, and one late renewal of each planner */
#endif
#ifndef DEATHS
#define DEATHS 1
#endif
#ifdef IDEMPOTENT
#define ATTEMPTS 2
#else
#define ATTEMPTS 1
#endif

mtype = { FREE, RESERVED, RUNNING };
mtype = { NO_REQUEST, RESERVE, START, RENEW, STOP };

typedef WorkerState {
  mtype task = FREE;
  byte attempt;
  byte lease;
  byte starts
};
WorkerState workers[2];

typedef Request {
  mtype kind = NO_REQUEST;
  byte attempt
};
Request requests[2];  /* of the planner of the moment */
Request late[2];      /* left behind by the planner before */

/* The log. */
byte recorded;        /* newest attempt whose start is recorded */

/* The planner of the moment. */
byte planners = 1;
byte attempt;         /* attempt in hand, 0: none */
bit listed[2];
bit reserved[2];
bit running[2];
bit started[2];       /* start was sent */
bit failed;           /* a member refused, lapsed or was lost: the attempt ends */
bit stopped[2];

byte partial;         /* ticks that exactly one member has been running */
byte deaths;

#define in_part ((workers[0].task == RUNNING) != (workers[1].task == RUNNING) || (workers[0].task == RUNNING && workers[0].attempt != workers[1].attempt))

inline end_task(w) {
  workers[w].task = FREE;
  workers[w].attempt = 0;
  workers[w].lease = 0;
  note_whole()
}

inline note_whole() {
  if
  :: !in_part -> partial = 0
  :: else
  fi
}

inline forget() {
  attempt = 0;
  failed = 0;
  listed[0] = 0; listed[1] = 0;
  reserved[0] = 0; reserved[1] = 0;
  running[0] = 0; running[1] = 0;
  started[0] = 0; started[1] = 0;
  stopped[0] = 0; stopped[1] = 0
}

/* The worker carries a request out; answered tells whether the planner of the
 * moment hears of it. */
inline deliver(w, request, answered) {
  if
  :: request.kind == RESERVE ->
    if
    :: workers[w].task == FREE ->
      workers[w].task = RESERVED;
      workers[w].attempt = request.attempt;
      workers[w].lease = LEASE;
      if
      :: answered -> reserved[w] = 1
      :: else
      fi
    :: else ->
      if
      :: answered -> failed = 1
      :: else
      fi
    fi
  :: request.kind == START ->
    if
#ifdef M_START_ANY
    :: workers[w].task != RUNNING ->
#else
    :: workers[w].task == RESERVED && workers[w].attempt == request.attempt ->
#endif
      workers[w].task = RUNNING;
      workers[w].attempt = request.attempt;
      workers[w].lease = LEASE;
      workers[w].starts++;
      if
      :: answered -> running[w] = 1
      :: else
      fi
    :: else ->
      if
      :: answered -> failed = 1
      :: else
      fi
    fi
  :: request.kind == RENEW ->
    if
    :: workers[w].task != FREE && workers[w].attempt == request.attempt ->
      workers[w].lease = LEASE;
      if
      :: answered && workers[w].task == RUNNING -> running[w] = 1
      :: else
      fi
    :: else ->
      if
      :: answered -> failed = 1
      :: else
      fi
    fi
  :: request.kind == STOP ->
    if
    :: workers[w].attempt == request.attempt -> end_task(w)
    :: else
    fi;
    if
    :: answered -> stopped[w] = 1
    :: else
    fi
  :: else
  fi;
  request.kind = NO_REQUEST;
  request.attempt = 0;
  note_whole();
#ifndef IDEMPOTENT
  assert(workers[w].starts <= 1);
#endif
  assert(!(workers[0].task == RUNNING && workers[1].task == RUNNING && workers[0].attempt != workers[1].attempt))
}

inline send(w, what) {
  requests[w].kind = what;
  requests[w].attempt = attempt
}

#define both(flag) (flag[0] && flag[1])
#define ready both(listed)
#ifdef M_EARLY
#define may_send_start(w) reserved[w]
#define may_record (reserved[0] || reserved[1])
#else
#define may_send_start(w) both(reserved)
#define may_record both(reserved)
#endif
#ifdef M_NO_RECORD
#define start_known true
#else
#define start_known (recorded == attempt)
#endif

active proctype Planner() {
  byte w;
  do
  :: d_step {
      (!listed[0] || !listed[1]) ->
      w = (listed[0] -> 1 : 0);
      listed[w] = 1;
      running[w] = (workers[w].task == RUNNING && workers[w].attempt == recorded);
      if
      :: both(listed) && recorded > 0 ->
        attempt = recorded;
        started[0] = 1; started[1] = 1;
        failed = !both(running)
      :: else
      fi;
      w = 0
    }
  /* Begins an attempt. */
  :: d_step {
      (ready && attempt == 0 && recorded < ATTEMPTS) ->
      attempt = recorded + 1
    }
  /* A failed attempt is over when both workers hold nothing for it. */
  :: d_step {
      (ready && failed && both(stopped)) ->
      forget();
      listed[0] = 1; listed[1] = 1;
#ifdef M_RETRY
      if
      :: recorded == ATTEMPTS -> recorded = 0
      :: else
      fi
#endif
      attempt = ((recorded < ATTEMPTS) -> recorded + 1 : 0)
    }
  :: d_step {
      (ready && attempt && !failed && may_record && recorded < attempt) ->
      recorded = attempt /* the start record is read back */
    }
  :: atomic {
      (ready && attempt) ->
      if
      :: w = 0
      :: w = 1
      fi;
      if
      :: requests[w].kind == NO_REQUEST && !failed && !reserved[w] && !started[w] -> send(w, RESERVE)
      :: requests[w].kind == NO_REQUEST && !failed && may_send_start(w) && start_known && !started[w] ->
        started[w] = 1;
        send(w, START)
      :: requests[w].kind == NO_REQUEST && !failed && reserved[w] && !started[w] -> send(w, RENEW)
#ifdef M_RENEW_ALONE
      :: requests[w].kind == NO_REQUEST && started[w] -> send(w, RENEW)
#endif
      :: requests[w].kind == NO_REQUEST && failed && !stopped[w] -> send(w, STOP)
      :: else
      fi;
      w = 0
    }
  /* One round of renewals, once both answered the round before. */
  :: d_step {
      (ready && !failed && both(running) && requests[0].kind == NO_REQUEST && requests[1].kind == NO_REQUEST) ->
      running[0] = 0; running[1] = 0;
      send(0, RENEW);
      send(1, RENEW)
    }
  /* A request is given up: its outcome is unknown, the attempt ends. */
#ifndef CALM
  :: d_step {
      (requests[0].kind != NO_REQUEST && late[0].kind == NO_REQUEST) ->
      late[0].kind = requests[0].kind;
      late[0].attempt = requests[0].attempt;
      requests[0].kind = NO_REQUEST;
      requests[0].attempt = 0;
      failed = 1
    }
  :: d_step {
      (requests[1].kind != NO_REQUEST && late[1].kind == NO_REQUEST) ->
      late[1].kind = requests[1].kind;
      late[1].attempt = requests[1].attempt;
      requests[1].kind = NO_REQUEST;
      requests[1].attempt = 0;
      failed = 1
    }
  /* Replaced by a successor that knows the log alone. */
  :: d_step {
      (planners < PLANNERS && late[0].kind == NO_REQUEST && late[1].kind == NO_REQUEST) ->
      planners++;
      late[0].kind = requests[0].kind;
      late[0].attempt = requests[0].attempt;
      late[1].kind = requests[1].kind;
      late[1].attempt = requests[1].attempt;
      requests[0].kind = NO_REQUEST;
      requests[0].attempt = 0;
      requests[1].kind = NO_REQUEST;
      requests[1].attempt = 0;
      forget()
    }
#endif
  od
}

active proctype Network() {
  do
  :: d_step { (requests[0].kind != NO_REQUEST) -> deliver(0, requests[0], true) }
  :: d_step { (requests[1].kind != NO_REQUEST) -> deliver(1, requests[1], true) }
#ifndef CALM
  :: d_step { (requests[0].kind != NO_REQUEST) -> deliver(0, requests[0], false); failed = 1 }
  :: d_step { (requests[1].kind != NO_REQUEST) -> deliver(1, requests[1], false); failed = 1 }
  :: d_step { (late[0].kind != NO_REQUEST) -> deliver(0, late[0], false) }
  :: d_step { (late[1].kind != NO_REQUEST) -> deliver(1, late[1], false) }
  :: d_step { (late[0].kind != NO_REQUEST) -> late[0].kind = NO_REQUEST; late[0].attempt = 0 }
  :: d_step { (late[1].kind != NO_REQUEST) -> late[1].kind = NO_REQUEST; late[1].attempt = 0 }
  :: d_step { (deaths < DEATHS) -> deaths++; end_task(0) }
#endif
  od
}

inline tick_worker(w) {
  if
  :: workers[w].lease > 0 ->
    workers[w].lease--;
    if
    :: workers[w].lease == 0 -> end_task(w)
    :: else
    fi
  :: else
  fi
}

active proctype Clock() {
  do
  :: d_step {
#ifdef CALM
      (requests[0].kind == NO_REQUEST && requests[1].kind == NO_REQUEST
        && !(both(reserved) && !both(started))) ->
#else
      tick_worker(0);
      tick_worker(1);
#endif
      partial = (in_part -> partial + 1 : 0);
      assert(partial <= BOUND)
    }
  od
}
