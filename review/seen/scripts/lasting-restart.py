"""A worker is lost for good: its lasting unit is started again more than 9 s later.

Rule LOST allows 6 s from the unit's last run, and 3 s more in which it doesn't run while there is
room. The planner holds the unit's place for the longest lease that the settings allow, 10 s.
"""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parents[1] / "lib"))
from standin import CannotRun, World, main  # noqa: E402

WORKERS = 8
UNITS = 3
SILENCE_S = 4.5  # three ping intervals
LAST_RUN_S = 6.0  # rule LOST
IDLE_LIMIT_S = 3.0  # rule LOST
AFTER_POLL_S = 0.3  # the worker answers every 2 s; it dies within the first second after that
JOB = "5c0e7a21d94b36f8"


class Case(World):
    def __init__(self, case):
        super().__init__(case)
        self.polled = {}
        self.starts = {}

    def work_of(self, task):
        return (3600.0, True)

    async def deliver(self, worker, path, body):
        if path == "/api/hold":
            self.polled[worker.name] = time.monotonic()

    def note_start(self, worker, run, fence):
        super().note_start(worker, run, fence)
        self.starts.setdefault(run.task, []).append(time.monotonic())

    async def play(self):
        await self.store.put("keyed.op", "config", self.manifest())
        for index in range(WORKERS):
            await self.add_worker(f"i-{index:04d}")
        await self.start_hosts(3)
        if not await self.until(lambda: len(self.store.writers) > 3, 15, "a planner"):
            raise CannotRun("no planner")
        await asyncio.sleep(3.0)
        step = {"count": UNITS, "cpu": 4000, "mem-mb": 8000, "gpu": 8, "estimate-ms": 1000,
                "long-running": True}
        body = {"spec": "serve", "steps": [step]}
        status, _ = await self.call("front-1", "POST", f"{self.prefix}{JOB}", body)
        if status != 200:
            raise CannotRun("the job was not accepted")
        if not await self.until(lambda: len(self.starts) == UNITS, 5, "all units"):
            raise CannotRun("the job does not run")
        await asyncio.sleep(5.0)
        victim = next(worker for worker in self.workers.values() if worker.running)
        now = time.monotonic()
        await self.until(lambda: self.polled.get(victim.name, 0) > now, 5, "a poll")
        await asyncio.sleep(AFTER_POLL_S)
        unit = next(iter(victim.running))
        if not self.trouble:
            await asyncio.sleep(14.0)
            if len(self.starts[unit]) > 1:
                self.breaks(f"{unit} was started again")
            return
        self.record.line(f"worker {victim.name} is lost for good")
        lost_at = time.monotonic()
        victim.alive = False
        victim.server.stop()
        for loop in victim.loops:
            loop.cancel()
        self.note_end(victim, victim.running.pop(unit), "lost with its worker")
        await asyncio.sleep(SILENCE_S)
        self.record.line(f"store: the entry of {victim.name} is removed for its silence")
        await self.store.put("keyed.servers", victim.name, None)
        again = await self.until(lambda: len(self.starts[unit]) > 1, 20, "the unit's next start")
        waited = (self.starts[unit][-1] if again else time.monotonic()) - lost_at
        idle = [worker.name for worker in self.workers.values()
                if worker.alive and not worker.running]
        self.record.line(f"{unit}: started again after {waited:.1f} s, idle workers: {idle}")
        if waited > LAST_RUN_S + IDLE_LIMIT_S:
            self.breaks(f"LOST: {unit}, which lasts, did not run for {waited:.1f} s after its worker "
                        f"was lost, while at least {len(idle)} of {WORKERS} workers were idle")


main(Case, CASE)
