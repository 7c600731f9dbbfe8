"""The answers of the machines' service are lost for five seconds during a wave of upkeep.

The machines whose upkeep was executed come back and stay unused: the repeated orders are
answered 200 ("already done"), and their new workers remain closed until the whole wave is
completed. Lasting work that has lost its worker then never runs again, although most machines
are idle, and with may-miss reached the wave is never completed.
"""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
from standin import CannotRun, MachineWorld, main  # noqa: E402

MACHINES = 8
UNITS = 3
CAP = 5
MAY_MISS = 1
LOST_S = 5.0  # the default length of 'cloud_down'
FIRST = "5c0e7a21d94b36f8"
SECOND = "7d1f8b32e05c4709"
IDLE_LIMIT_S = 3.0  # rule LOST
LAST_RUN_S = 6.0  # rule LOST, for work units that last


class Case(MachineWorld):
    def __init__(self, case):
        super().__init__(case)
        self.units = {}  # unit -> time since which it doesn't run, or None
        self.idle_since = {}
        self.ordered_at = None

    def work_of(self, task):
        return (3600.0, True)

    def note_start(self, worker, run, fence):
        super().note_start(worker, run, fence)
        self.units[run.task] = None

    def note_end(self, worker, run, how):
        super().note_end(worker, run, how)
        self.units[run.task] = time.monotonic()

    def note_order(self):
        if self.ordered_at is None:
            self.ordered_at = time.monotonic()
            if self.trouble:
                self.record.line(f"the answers of the machines' service are lost for {LOST_S} s")
                self.are_answers_lost = True

    def expect(self, job, count):
        for index in range(count):
            self.units.setdefault(f"{job}.0.0.{index}", time.monotonic())

    async def watch(self, calm_from):
        """Judges LOST for each lasting unit: it doesn't run for 3 s, from 6 s after its last
        run, while idle sound workers have room for it twice over and under half of the
        service's capacity is in use."""
        told = set()
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            up = [worker for worker in self.workers.values() if worker.alive]
            idle = [worker for worker in up if not worker.running]
            roomy = len(idle) >= 2 and 2 * (len(up) - len(idle)) < len(up)
            for unit, since in self.units.items():
                if since is None or not roomy or now < max(since + LAST_RUN_S, calm_from):
                    self.idle_since[unit] = None
                    continue
                start = self.idle_since.get(unit) or now
                self.idle_since[unit] = start
                if now - start > IDLE_LIMIT_S and unit not in told:
                    told.add(unit)
                    self.breaks(
                        f"LOST: {unit} has not run for {now - since:.1f} s while "
                        f"{len(idle)} of {len(up)} workers are idle; wave: {self.wave_state()}")

    async def play(self):
        await self.store.put("keyed.op", "config", self.manifest())
        await self.start_machines(MACHINES)
        await self.start_hosts(3)
        if not await self.until(lambda: len(self.store.writers) > 3, 15, "a planner"):
            raise CannotRun("no planner")
        await asyncio.sleep(4.0)
        step = {"count": UNITS, "cpu": 4000, "mem-mb": 8000, "gpu": 8, "estimate-ms": 1000,
                "long-running": True, "may-miss": MAY_MISS}
        status, _ = await self.call("front-1", "POST", f"{self.prefix}{FIRST}",
                                    {"spec": "serve", "steps": [step]})
        if status != 200:
            raise CannotRun("the first job was not accepted")
        self.expect(FIRST, UNITS)
        if not await self.until(lambda: not any(self.units.values()), 5, "all units running"):
            raise CannotRun("the first job does not run")
        await asyncio.sleep(1.0)
        await self.publish_wave(60, CAP)
        if not await self.until(lambda: self.ordered_at is not None, 10, "the first upkeep"):
            raise CannotRun("no upkeep")
        await asyncio.sleep(LOST_S)
        self.are_answers_lost = False
        self.record.line("the machines' service answers all calls")
        calm_from = time.monotonic() + 3.0 + 4.0  # contact-ms, and the 4 s that LOST names
        watching = asyncio.create_task(self.watch(calm_from))
        await asyncio.sleep(5.0)
        step = {"count": 1, "cpu": 4000, "mem-mb": 8000, "gpu": 8, "estimate-ms": 1000,
                "long-running": True}
        status, _ = await self.call("front-2", "POST", f"{self.prefix}{SECOND}",
                                    {"spec": "serve", "steps": [step]})
        if status != 200:
            raise CannotRun("the second job was not accepted")
        self.expect(SECOND, 1)
        await asyncio.sleep(60.0)
        watching.cancel()
        still = [unit for unit, since in self.units.items() if since is not None]
        self.record.line(f"at the end: wave {self.wave_state()}, not running: {still}")


main(Case, CASE)
