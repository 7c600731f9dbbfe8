"""A gang that has to wait for work that lasts keeps all other work off the idle workers.

Three of eight workers run lasting units. A gang that needs six workers waits; the capacity of the
lasting units counts as free in half a second, so the gang's reservation on the five idle workers
binds everything that comes after it, until the gang counts as too late.
"""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parents[1] / "lib"))
from standin import CannotRun, World, main  # noqa: E402

WORKERS = 8
LASTING = "1a1a1a1a1a1a1a1a"
GANG = "2b2b2b2b2b2b2b2b"
SMALL = "5c0e7a21d94b36f8"
IDLE_LIMIT_S = 3.0  # rule LOST
WATCH_S = 45.0


class Case(World):
    def __init__(self, case):
        super().__init__(case)
        self.started = set()

    def work_of(self, task):
        return (3600.0, True) if task.startswith(LASTING) else (2.0, False)

    def note_start(self, worker, run, fence):
        super().note_start(worker, run, fence)
        self.started.add(run.task)

    def two_queues(self):
        manifest = self.manifest()
        later = dict(manifest["routes"][0], **{"name": "r-later", "path-prefix": "/later/",
                                               "priority": 2, "target-latency-ms": 3000})
        manifest["routes"].append(later)
        return manifest

    async def hand_in(self, path, step):
        if not await self.submit(path, {"spec": "work", "steps": [step]}):
            raise CannotRun(f"{path} was not accepted")

    async def play(self):
        await self.store.put("keyed.op", "config", self.two_queues())
        for index in range(WORKERS):
            await self.add_worker(f"i-{index:04d}")
        await self.start_hosts(3)
        if not await self.until(lambda: len(self.store.writers) > 3, 15, "a planner"):
            raise CannotRun("no planner")
        await asyncio.sleep(3.0)
        whole = {"cpu": 4000, "mem-mb": 8000, "gpu": 8}
        await self.hand_in(f"{self.prefix}{LASTING}", {"count": 3, "long-running": True, **whole})
        if not await self.until(lambda: len(self.started) == 3, 5, "the lasting units"):
            raise CannotRun("the lasting units do not run")
        await asyncio.sleep(3.0)
        if self.trouble:
            await self.hand_in(f"{self.prefix}{GANG}",
                               {"count": 6, "gang": True, "estimate-ms": 11000, **whole})
            await asyncio.sleep(1.0)
        await self.hand_in(f"/later/{SMALL}", {"count": 1, "cpu": 2800, "mem-mb": 7400, "gpu": 1,
                                              "estimate-ms": 2000})
        accepted_at = time.monotonic()
        unit = f"{SMALL}.0.0.0"
        await self.until(lambda: unit in self.started, WATCH_S, f"the start of {unit}")
        waited = time.monotonic() - accepted_at
        idle = [worker.name for worker in self.workers.values() if not worker.running]
        await self.call("front-2", "GET", f"/later/{SMALL}")
        self.record.line(f"{unit} waited {waited:.1f} s; idle workers: {idle}")
        if waited > IDLE_LIMIT_S and unit not in self.started:
            self.breaks(f"LOST: nothing of {SMALL}, which needs 1 GPU, has run for {waited:.0f} s, "
                        f"while {len(idle)} of {WORKERS} workers are wholly idle")


main(Case, CASE)
