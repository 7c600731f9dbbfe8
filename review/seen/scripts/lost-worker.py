"""A worker crashes for good during a wave of upkeep, and its lasting unit counts as in service.

More than `notice-ms` after the crash the planner still takes the lost unit for one at work, and
stops another unit of the same step for the upkeep of its machine (may-miss 1).
"""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parents[1] / "lib"))
from standin import CannotRun, ServiceWorld, main  # noqa: E402

MACHINES = 8
UNITS = 4
CAP = 2
MAY_MISS = 1
DURATION_S = 40  # a machine's share is 10 s; its runs are moved after half of it
SILENCE_S = 4.5  # three ping intervals
JOB = "5c0e7a21d94b36f8"
# The last idle machine is back 2 s after its upkeep and is listed within a second; the next
# machines then drain for 5 s. The crash is to be 5 to 6.5 s before the first stop.
CRASH_AFTER_S = 1.6


class Case(ServiceWorld):
    may_miss = MAY_MISS

    async def crash(self, worker):
        """The worker's process dies, and nothing follows it."""
        self.record.line(f"worker {worker.name} on {worker.machine} crashes for good")
        self.machines[worker.machine]["state"] = "down"
        worker.alive = False
        worker.server.stop()
        for loop in worker.loops:
            loop.cancel()
        for run in list(worker.running.values()):
            self.note_end(worker, run, "lost with its worker")
        worker.running = {}
        await asyncio.sleep(SILENCE_S)
        self.record.line(f"store: the entry of {worker.name} is removed for its silence")
        await self.store.put("keyed.servers", worker.name, None)

    async def play(self):
        await self.store.put("keyed.op", "config", self.manifest())
        await self.start_machines(MACHINES)
        await self.start_hosts(3)
        if not await self.until(lambda: len(self.store.writers) > 3, 15, "a planner"):
            raise CannotRun("no planner")
        await asyncio.sleep(4.0)
        step = {"count": UNITS, "cpu": 4000, "mem-mb": 8000, "gpu": 8, "estimate-ms": 1000,
                "long-running": True, "may-miss": MAY_MISS}
        body = {"spec": "serve", "steps": [step]}
        status, _ = await self.call("front-1", "POST", f"{self.prefix}{JOB}", body)
        if status != 200:
            raise CannotRun("the job was not accepted")
        busy = lambda: [worker for worker in self.workers.values() if worker.running]
        if not await self.until(lambda: len(busy()) == UNITS, 5, "all units"):
            raise CannotRun("the job does not run")
        await asyncio.sleep(2.5)
        await self.publish_wave(DURATION_S, CAP)
        idle = MACHINES - UNITS
        done = lambda: sum(machine["done"] for machine in self.machines.values())
        if not await self.until(lambda: done() >= idle, 20, "upkeep of the idle machines"):
            raise CannotRun("no upkeep")
        await asyncio.sleep(CRASH_AFTER_S)
        if self.trouble:
            await self.crash(busy()[-1])
        await asyncio.sleep(20.0)


main(Case, CASE)
