/*
 * Publication and adoption of the configuration.
 *
 * A record names the version that it is based on, and is rejected unless that is
 * the version in force at its offset. Its content is a set of changes; a publisher
 * adds its own change to the content that it has read. An append takes effect at
 * any later step or never. Hosts learn of versions from the log, from a snapshot
 * record and from peers.
 *
 * Properties: each version contains all changes of the previous one; no host
 * returns to an older version. Each mutation (M_...) removes one rule.
 */

#define HOSTS 2
#define PUBLISHERS 2
#ifndef L
#define L 5 /* records in the log */
#endif

/* The log: content and version after each offset; a snapshot repeats an older one. */
byte content[L + 1];
byte version[L + 1];
bit snapshot[L + 1];
byte tail;

byte in_force[HOSTS];
byte position[HOSTS];

inline adopt(h, newer) {
#ifndef M_ADOPT_ANY
  if
  :: newer > in_force[h] -> in_force[h] = newer
  :: else
  fi
#else
  assert(newer >= in_force[h]);
  in_force[h] = newer
#endif
}

proctype Publisher(byte change) {
  byte base;
  byte next;
  bit in_flight;
  byte i;
  do
  /* Reads the version in force and sends an append, which may take effect late. */
  :: d_step {
      (!in_flight && !(next & change)) ->
      i = tail;
      do
      :: i > 0 && snapshot[i] -> i--
      :: else -> break
      od;
      base = version[i];
      next = content[i] | change;
      in_flight = 1;
      i = 0
    }
  :: d_step {
      (in_flight && tail < L) ->
      in_flight = 0;
      i = tail;
      do
      :: i > 0 && snapshot[i] -> i--
      :: else -> break
      od;
#ifdef M_NO_BASE
      if
      :: true ->
#else
      if
      :: version[i] == base ->
#endif
        tail++;
        version[tail] = tail;
        content[tail] = next;
        assert((content[tail] & content[i]) == content[i])
      :: else -> next = 0 /* rejected: the publisher reads again */
      fi;
      i = 0
    }
  od
}

/* Appends an older version again before retention removes it. The writer may have read
 * only part of the log. */
proctype SnapshotWriter() {
  byte read;
  bit in_flight;
  do
  :: d_step { (!in_flight && tail > 0 && !snapshot[tail]) -> read = tail; in_flight = 1 }
  :: d_step {
      (in_flight && tail < L) ->
      tail++;
      version[tail] = version[read];
      content[tail] = content[read];
      snapshot[tail] = 1;
      in_flight = 0;
      read = 0
    }
  od
}

proctype Host(byte h) {
  do
  :: d_step {
      (position[h] < tail) ->
      position[h]++;
      adopt(h, version[position[h]])
    }
  :: d_step { (in_force[1 - h] != in_force[h]) -> adopt(h, in_force[1 - h]) }
  /* A new process starts with an empty state and reads the log from its beginning. */
  :: d_step { (in_force[h] > 0) -> in_force[h] = 0; position[h] = 0 }
  od
}

init {
  atomic {
    run Publisher(1);
    run Publisher(2);
    run SnapshotWriter();
    run Host(0);
    run Host(1)
  }
}
