"""The answers of the machines' service are lost for five seconds during a wave of upkeep.

The machines whose upkeep was executed come back, and the repeated orders are answered 200
("already done"). From then on their new workers get no work, also after the wave is completed.
A gang that needs four of the eight idle workers never starts.
"""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
from standin import CannotRun, MachineWorld, main  # noqa: E402

MACHINES = 8
CAP = 5
LOST_S = 5.0  # the default length of 'cloud_down'
GANG = 4
FIRST = "5c0e7a21d94b36f8"
SECOND = "7d1f8b32e05c4709"
IDLE_LIMIT_S = 3.0  # rule LOST
WATCH_S = 40.0


class Case(MachineWorld):
    def __init__(self, case):
        super().__init__(case)
        self.ordered_at = None
        self.done = set()

    def work_of(self, task):
        return (1.0, False)

    def note_order(self):
        if self.ordered_at is None:
            self.ordered_at = time.monotonic()
            if self.trouble:
                self.record.line(f"the answers of the machines' service are lost for {LOST_S} s")
                self.are_answers_lost = True

    def note_end(self, worker, run, how):
        super().note_end(worker, run, how)
        if how == "done":
            self.done.add(run.task)

    async def watch(self):
        """Judges LOST: for 3 s a job has nothing running while its turn has come, idle sound
        workers have room for it twice over, and under half of the service is in use."""
        idle_since = None
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end and len(self.done) < GANG:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            up = [worker for worker in self.workers.values() if worker.alive]
            idle = [worker for worker in up if not worker.running]
            runs = len(up) - len(idle)
            if runs or len(idle) < 2 * GANG:
                idle_since = None
                continue
            idle_since = idle_since or now
        if idle_since and time.monotonic() - idle_since > IDLE_LIMIT_S:
            status, state = await self.call("front-1", "GET", f"{self.prefix}{SECOND}")
            self.breaks(
                f"LOST: nothing of {SECOND} has run for {time.monotonic() - idle_since:.0f} s "
                f"while {len(idle)} of {len(up)} workers are idle; its state: {state}; "
                f"wave: {self.wave_state()}")

    async def play(self):
        await self.store.put("keyed.op", "config", self.manifest())
        await self.start_machines(MACHINES)
        await self.start_hosts(3)
        if not await self.until(lambda: len(self.store.writers) > 3, 15, "a planner"):
            raise CannotRun("no planner")
        await asyncio.sleep(4.0)
        gang = {"count": GANG, "cpu": 4000, "mem-mb": 8000, "gpu": 8, "estimate-ms": 1000,
                "gang": True}
        body = {"spec": "plan", "steps": [gang]}
        is_accepted = await self.submit(f"{self.prefix}{FIRST}", body)
        if not is_accepted or not await self.until(lambda: len(self.done) == GANG, 8, "the gang"):
            raise CannotRun("the first gang did not run")
        self.done.clear()
        await self.publish_wave(60, CAP)
        if not await self.until(lambda: self.ordered_at is not None, 10, "the first upkeep"):
            raise CannotRun("no upkeep")
        await asyncio.sleep(LOST_S)
        self.are_answers_lost = False
        self.record.line("the machines' service answers all calls")
        if not await self.until(lambda: self.wave_state() == "completed", 30, "the wave's end"):
            raise CannotRun("the wave is not completed")
        self.record.line("the wave is completed")
        await asyncio.sleep(4.0)
        if not await self.submit(f"{self.prefix}{SECOND}", body, "front-2"):
            raise CannotRun("the second gang was not accepted")
        await self.watch()


main(Case, CASE)
