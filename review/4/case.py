"""A start whose answer is lost once keeps its unit off the only worker that has room for it.

Lasting units occupy more than half of each worker but one. A job whose unit needs half of a worker
is started on that one; the order gets no answer and is carried out 3 s later, when its stop has
been answered. From then on the unit avoids the worker for good, since it would fit on the others
if nothing ran there, and is never started again.
"""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
from standin import CannotRun, World, main  # noqa: E402

WORKERS = 4
LASTING = "1a1a1a1a1a1a1a1a"
JOB = "5c0e7a21d94b36f8"
LATE_S = 3.0
IDLE_LIMIT_S = 3.0  # rule LOST
CALM_S = 4.0  # rule LOST
WATCH_S = 45.0


class Case(World):
    def __init__(self, case):
        super().__init__(case)
        self.started = set()
        self.done = set()
        self.is_lost = False
        self.late = None

    def work_of(self, task):
        return (3600.0, True) if task.startswith(LASTING) else (2.0, False)

    def note_start(self, worker, run, fence):
        super().note_start(worker, run, fence)
        self.started.add(run.task)

    def note_end(self, worker, run, how):
        super().note_end(worker, run, how)
        if how == "done":
            self.done.add(run.task)

    async def answer(self, worker, path, body):
        """Returns whether the order is to be left unanswered and carried out late."""
        if not self.trouble or self.is_lost or path != "/api/run-start":
            return False
        if not body["task"].startswith(JOB):
            return False
        self.is_lost = True
        self.record.line(f"worker {worker.name}: the start of {body['task']} run {body['run']} "
                         f"gets no answer and is carried out in {LATE_S} s")
        self.late = asyncio.create_task(self.carry_out(worker, body))
        return True

    async def carry_out(self, worker, body):
        await asyncio.sleep(LATE_S)
        status, answer = worker.execute_start(body)
        self.record.line(f"worker {worker.name}: late start of {body['task']}: {status} {answer}")

    async def play(self):
        await self.store.put("keyed.op", "config", self.manifest())
        for index in range(WORKERS):
            await self.add_worker(f"i-{index:04d}")
        await self.start_hosts(3)
        if not await self.until(lambda: len(self.store.writers) > 3, 15, "a planner"):
            raise CannotRun("no planner")
        await asyncio.sleep(3.0)
        lasting = {"count": WORKERS - 1, "cpu": 4000, "mem-mb": 8000, "gpu": 5,
                   "long-running": True}
        body = {"spec": "serve", "steps": [lasting]}
        is_accepted = await self.submit(f"{self.prefix}{LASTING}", body)
        if not is_accepted or not await self.until(lambda: len(self.started) == WORKERS - 1, 5,
                                                   "the lasting units"):
            raise CannotRun("the lasting units do not run")
        await asyncio.sleep(3.0)
        step = {"count": 1, "cpu": 2800, "mem-mb": 7400, "gpu": 4, "estimate-ms": 2000}
        if not await self.submit(f"{self.prefix}{JOB}", {"spec": "plan", "steps": [step]}):
            raise CannotRun("the job was not accepted")
        unit = f"{JOB}.0.0.0"
        accepted_at = time.monotonic()
        is_done = await self.until(lambda: unit in self.done, WATCH_S, f"the end of {unit}")
        waited = time.monotonic() - accepted_at
        idle = [worker.name for worker in self.workers.values() if not worker.running]
        await self.call("front-2", "GET", f"{self.prefix}{JOB}")
        used = 5 * (WORKERS - 1)
        self.record.line(f"waited {waited:.1f} s; idle workers: {idle}; GPUs in use: {used} of "
                         f"{8 * WORKERS}")
        if not is_done and waited > LATE_S + CALM_S + IDLE_LIMIT_S:
            self.breaks(f"LOST: nothing of {JOB} runs for {waited:.0f} s; {idle} with room for two "
                        f"such units, and {used} of {8 * WORKERS} GPUs in use")


main(Case, CASE)
