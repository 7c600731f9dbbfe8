"""One submission with an estimate that cannot be meant takes the planner down on every host.

A tenant hands in a chain of 120 steps whose `estimate-ms` is the greatest 64-bit number, as a
client may write for "unknown". It is accepted. From then on each planner panics in its first pass,
on whichever host it runs, and no accepted job is started any more.
"""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
from standin import CannotRun, World, main  # noqa: E402

WORKERS = 4
CHAIN = "1a1a1a1a1a1a1a1a"
JOB = "5c0e7a21d94b36f8"
STEPS = 120
UNKNOWN_MS = 2**64 - 1
IDLE_LIMIT_S = 3.0  # rule LOST
WATCH_S = 25.0


class Case(World):
    def __init__(self, case):
        super().__init__(case)
        self.started = set()

    def work_of(self, task):
        return (0.2, False) if task.startswith(CHAIN) else (2.0, False)

    def note_start(self, worker, run, fence):
        super().note_start(worker, run, fence)
        self.started.add(run.task)

    async def play(self):
        await self.store.put("keyed.op", "config", self.manifest())
        for index in range(WORKERS):
            await self.add_worker(f"i-{index:04d}")
        await self.start_hosts(3)
        if not await self.until(lambda: len(self.store.writers) > 3, 15, "a planner"):
            raise CannotRun("no planner")
        await asyncio.sleep(3.0)
        estimate = UNKNOWN_MS if self.trouble else 1000
        step = {"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": estimate}
        chain = [dict(step, **({"after": [number - 1]} if number else {}))
                 for number in range(STEPS)]
        if not await self.submit(f"{self.prefix}{CHAIN}", {"spec": "chain", "steps": chain}):
            self.record.line("the chain was refused")
        await asyncio.sleep(2.0)
        step = {"count": 1, "cpu": 2800, "mem-mb": 7400, "gpu": 1, "estimate-ms": 2000}
        if not await self.submit(f"{self.prefix}{JOB}", {"spec": "plan", "steps": [step]}):
            raise CannotRun("the job was not accepted")
        accepted_at = time.monotonic()
        claims = len(self.store.claims)
        unit = f"{JOB}.0.0.0"
        is_started = await self.until(lambda: unit in self.started, WATCH_S, f"start of {unit}")
        waited = time.monotonic() - accepted_at
        claims = len(self.store.claims) - claims
        await self.call("front-2", "GET", f"{self.prefix}{JOB}")
        self.record.line(f"waited {waited:.1f} s; claims of leadership meanwhile: {claims}")
        if not is_started and waited > IDLE_LIMIT_S:
            self.breaks(f"LOST: nothing of {JOB} has run for {waited:.0f} s, while {WORKERS} of "
                        f"{WORKERS} workers are idle; the planner was replaced {claims} times")


main(Case, CASE)
