"""Urgent work that stops other work is started beyond its step's anti-affinity.

The pool is full of work of low priority. An urgent step allows one of its units on a worker; the
capacity that is freed for its units lies on the same worker.
"""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parents[1] / "lib"))
from standin import CannotRun, World, main  # noqa: E402

WORKERS = 8
LOAD = "1a1a1a1a1a1a1a1a"
URGENT = "5c0e7a21d94b36f8"
UNITS = 3
LIMIT = 1


class Case(World):
    def __init__(self, case):
        super().__init__(case)
        self.started = set()

    def work_of(self, task):
        return (40.0, False) if task.startswith(LOAD) else (3.0, False)

    def note_start(self, worker, run, fence):
        super().note_start(worker, run, fence)
        self.started.add(run.task)
        if run.task.startswith(URGENT):
            beside = [task for task in worker.running if task.startswith(URGENT)]
            if len(beside) > LIMIT:
                self.breaks(f"ROUTE: {run.task} starts on {worker.name} beyond the step's "
                            f"anti-affinity {LIMIT}: {sorted(beside)} run there")

    def two_queues(self):
        manifest = self.manifest(**{"priority": 2})
        urgent = dict(manifest["routes"][0], **{"name": "r-urgent", "path-prefix": "/urgent/",
                                                "priority": 0, "target-latency-ms": 250})
        manifest["routes"].append(urgent)
        return manifest

    async def play(self):
        await self.store.put("keyed.op", "config", self.two_queues())
        for index in range(WORKERS):
            await self.add_worker(f"i-{index:04d}")
        await self.start_hosts(3)
        if not await self.until(lambda: len(self.store.writers) > 3, 15, "a planner"):
            raise CannotRun("no planner")
        await asyncio.sleep(3.0)
        if self.trouble:
            small = {"count": 4 * WORKERS, "cpu": 2800, "mem-mb": 7400, "gpu": 2,
                     "estimate-ms": 40000}
            status, _ = await self.call("front-1", "POST", f"{self.prefix}{LOAD}",
                                        {"spec": "draw", "steps": [small]})
            if status != 200:
                raise CannotRun("the load was not accepted")
            await asyncio.sleep(4.0)
        step = {"count": UNITS, "cpu": 2800, "mem-mb": 7400, "gpu": 2, "estimate-ms": 3000,
                "anti-affinity": LIMIT}
        status, _ = await self.call("front-2", "POST", f"/urgent/{URGENT}",
                                    {"spec": "quote", "steps": [step]})
        if status != 200:
            raise CannotRun("the urgent job was not accepted")
        done = lambda: sum(task.startswith(URGENT) for task in self.started)
        if not await self.until(lambda: done() == UNITS, 20, "all urgent units"):
            raise CannotRun("the urgent job did not run")
        await asyncio.sleep(4.0)


main(Case, CASE)
