/*
 * The start of one gang of two tasks on two workers.
 *
 * A planner reserves on both workers, records the attempt in the log, then starts
 * both tasks. It renews the leases of running tasks only after both workers answered
 * the previous round. A planner may be replaced at any step; its requests stay in
 * flight, and the successor lists the tasks of both workers before anything else.
 * One request per worker is in flight at a time. A planner that abandons a request
 * never sends on that connection again, so each planner leaves at most one late
 * request per worker.
 *
 * Properties: a non-idempotent job starts at most once on each worker; the two
 * attempts of an idempotent job never run at the same time; a gang runs with only
 * some of its members for at most BOUND ticks.
 *
 * CALM: requests are answered within the tick, no worker crashes and no lease
 * expires. Then a gang must not run with only some of its members at any tick.
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
#define BOUND (LEASE * (PLANNERS + 1)) /* the lease, and one late renewal by each planner */
#endif
#ifndef MAX_CRASHES
#define MAX_CRASHES 1
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
Request requests[2];  /* sent by the current planner */
Request late[2];      /* sent by the previous planner or abandoned */

/* The log. */
byte recorded;        /* newest attempt whose start is recorded */

/* The current planner. */
byte planners = 1;
byte attempt;         /* current attempt, 0 if none */
bit listed[2];
bit reserved[2];
bit running[2];
bit started[2];       /* start request was sent */
bit is_failed;        /* a member refused a request, expired or was lost, so the attempt ends */
bit stopped[2];

byte partial_ticks;   /* ticks for which exactly one member has been running */
byte crashes;

#define is_partial ((workers[0].task == RUNNING) != (workers[1].task == RUNNING) || (workers[0].task == RUNNING && workers[0].attempt != workers[1].attempt))

inline end_task(w) {
  workers[w].task = FREE;
  workers[w].attempt = 0;
  workers[w].lease = 0;
  reset_if_complete()
}

inline reset_if_complete() {
  if
  :: !is_partial -> partial_ticks = 0
  :: else
  fi
}

inline clear_planner_state() {
  attempt = 0;
  is_failed = 0;
  listed[0] = 0; listed[1] = 0;
  reserved[0] = 0; reserved[1] = 0;
  running[0] = 0; running[1] = 0;
  started[0] = 0; started[1] = 0;
  stopped[0] = 0; stopped[1] = 0
}

/* The worker executes a request. `answered`: the current planner receives the answer. */
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
      :: answered -> is_failed = 1
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
      :: answered -> is_failed = 1
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
      :: answered -> is_failed = 1
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
  reset_if_complete();
#ifndef IDEMPOTENT
  assert(workers[w].starts <= 1);
#endif
  assert(!(workers[0].task == RUNNING && workers[1].task == RUNNING && workers[0].attempt != workers[1].attempt))
}

inline send(w, request_kind) {
  requests[w].kind = request_kind;
  requests[w].attempt = attempt
}

#define both(flag) (flag[0] && flag[1])
#define all_listed both(listed)
#ifdef M_EARLY
#define may_send_start(w) reserved[w]
#define may_record (reserved[0] || reserved[1])
#else
#define may_send_start(w) both(reserved)
#define may_record both(reserved)
#endif
#ifdef M_NO_RECORD
#define is_start_recorded true
#else
#define is_start_recorded (recorded == attempt)
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
        is_failed = !both(running)
      :: else
      fi;
      w = 0
    }
  /* Starts an attempt. */
  :: d_step {
      (all_listed && attempt == 0 && recorded < ATTEMPTS) ->
      attempt = recorded + 1
    }
  /* A failed attempt ends when both workers hold nothing for it. */
  :: d_step {
      (all_listed && is_failed && both(stopped)) ->
      clear_planner_state();
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
      (all_listed && attempt && !is_failed && may_record && recorded < attempt) ->
      recorded = attempt /* the start record has been read back */
    }
  :: atomic {
      (all_listed && attempt) ->
      if
      :: w = 0
      :: w = 1
      fi;
      if
      :: requests[w].kind == NO_REQUEST && !is_failed && !reserved[w] && !started[w] -> send(w, RESERVE)
      :: requests[w].kind == NO_REQUEST && !is_failed && may_send_start(w) && is_start_recorded && !started[w] ->
        started[w] = 1;
        send(w, START)
      :: requests[w].kind == NO_REQUEST && !is_failed && reserved[w] && !started[w] -> send(w, RENEW)
#ifdef M_RENEW_ALONE
      :: requests[w].kind == NO_REQUEST && started[w] -> send(w, RENEW)
#endif
      :: requests[w].kind == NO_REQUEST && is_failed && !stopped[w] -> send(w, STOP)
      :: else
      fi;
      w = 0
    }
  /* A round of renewals, after both workers answered the previous one. */
  :: d_step {
      (all_listed && !is_failed && both(running) && requests[0].kind == NO_REQUEST && requests[1].kind == NO_REQUEST) ->
      running[0] = 0; running[1] = 0;
      send(0, RENEW);
      send(1, RENEW)
    }
  /* A request is abandoned: its outcome is unknown, so the attempt ends. */
#ifndef CALM
  :: d_step {
      (requests[0].kind != NO_REQUEST && late[0].kind == NO_REQUEST) ->
      late[0].kind = requests[0].kind;
      late[0].attempt = requests[0].attempt;
      requests[0].kind = NO_REQUEST;
      requests[0].attempt = 0;
      is_failed = 1
    }
  :: d_step {
      (requests[1].kind != NO_REQUEST && late[1].kind == NO_REQUEST) ->
      late[1].kind = requests[1].kind;
      late[1].attempt = requests[1].attempt;
      requests[1].kind = NO_REQUEST;
      requests[1].attempt = 0;
      is_failed = 1
    }
  /* Replaced by a successor that knows only the log. */
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
      clear_planner_state()
    }
#endif
  od
}

active proctype Network() {
  do
  :: d_step { (requests[0].kind != NO_REQUEST) -> deliver(0, requests[0], true) }
  :: d_step { (requests[1].kind != NO_REQUEST) -> deliver(1, requests[1], true) }
#ifndef CALM
  :: d_step { (requests[0].kind != NO_REQUEST) -> deliver(0, requests[0], false); is_failed = 1 }
  :: d_step { (requests[1].kind != NO_REQUEST) -> deliver(1, requests[1], false); is_failed = 1 }
  :: d_step { (late[0].kind != NO_REQUEST) -> deliver(0, late[0], false) }
  :: d_step { (late[1].kind != NO_REQUEST) -> deliver(1, late[1], false) }
  :: d_step { (late[0].kind != NO_REQUEST) -> late[0].kind = NO_REQUEST; late[0].attempt = 0 }
  :: d_step { (late[1].kind != NO_REQUEST) -> late[1].kind = NO_REQUEST; late[1].attempt = 0 }
  :: d_step { (crashes < MAX_CRASHES) -> crashes++; end_task(0) }
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
      partial_ticks = (is_partial -> partial_ticks + 1 : 0);
      assert(partial_ticks <= BOUND)
    }
  od
}
