"""Stand-ins for the platform of a small deployment: the store (a log), workers, the service
that lists and maintains machines, and callers; and the start and stop of the project's daemon.

Everything runs in one process on 127.0.0.1 and on the real clock. Each host reaches the store
at a port of its own, so that the store can turn one host away and serve the others.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import struct
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DAEMON = "target/release/flamingowalk-domain"
BOUNDS = {
    "hold-max-ms": 10000, "stop-grace-ms": 900, "gang-timeout-ms": 3000, "reclaim-ms": 3400,
    "remote-factor": 3, "checkpoint-s": 1, "restore-ms": 250, "status_s": 120,
    "lease-ms": 3000, "early_ms": 250, "grace-s": 6,
}
HEARTBEAT_S = 1.5
WORKER_START_S = 0.3  # time after which a lasting unit is at work


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns (first line, headers, body) or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


def encode_response(status, body, kind="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    head = (f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\ncontent-type: {kind}\r\n"
            f"content-length: {len(body)}\r\n\r\n")
    return head.encode() + body


class Server:
    """An HTTP server on a free port. `handler(method, path, query, headers, body)` returns
    (status, body) or (status, body, type), or None to close the connection unanswered."""

    def __init__(self, handler):
        self.handler = handler
        self.tasks = set()
        self.writers = set()
        self.port = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                pairs = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                answer = await self.handler(method, path, pairs, headers, body)
                if answer is None:
                    break
                writer.write(encode_response(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Closes the port and resets its connections, as when the process is killed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


# The store -------------------------------------------------------------------------------------


class Topic:
    def __init__(self):
        self.records = []  # (key, value, framed content)
        self.epoch = -1
        self.appends = []  # the last five (seq, first offset, end) of the producer


class Store:
    """The platform's store. Linearizable, loses nothing that it has acknowledged."""

    ANSWER_S = 0.004

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Condition()
        self.away = {}  # host name -> "silent" while the store turns the host away
        self.last_answer = {}  # host name -> time of the last answered append
        self.writers = []  # (time, host, epoch) of each append under an epoch
        self.claims = []  # (time, host) of each claim

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def put(self, topic, key, value):
        """Writes a record as the operator or a worker does; no value drops the key."""
        content = b"" if value is None else json.dumps(value).encode()
        self.add(topic, key.encode(), content)
        async with self.changed:
            self.changed.notify_all()

    def add(self, topic, key, value):
        framed = bytes([len(key)]) + key + value
        self.topic(topic).records.append((key, value, framed))

    def newest(self, topic):
        newest = {}
        for offset, (key, value, _) in enumerate(self.topic(topic).records):
            if value:
                newest[key] = (offset, value)
            else:
                newest.pop(key, None)
        return newest

    async def handle(self, host, method, path, query, headers, body):
        if self.away.get(host):
            # Silent: the connection stays open and nothing is done and nothing answered.
            while self.away.get(host):
                await asyncio.sleep(0.05)
            return None
        await asyncio.sleep(self.ANSWER_S)
        if path == "/api/log-append":
            answer = self.append(host, query, body)
            async with self.changed:
                self.changed.notify_all()
        elif path == "/api/log-read":
            answer = await self.read(query)
        elif path == "/api/log-newest":
            answer = self.read_newest(query)
        else:
            answer = (404, {})
        if self.away.get(host):
            while self.away.get(host):
                await asyncio.sleep(0.05)
            return None
        return answer

    def append(self, host, query, body):
        name = query["topic"]
        if name in ("keyed.op", "keyed.servers"):
            return (403, {})
        topic = self.topic(name)
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return (412, {"end": end})
        epoch = None
        if "epoch" in query:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            if epoch < topic.epoch:
                return (409, {"reason": "fenced"})
            if epoch == topic.epoch:
                for known, first, after in topic.appends:
                    if known == seq:
                        return (200, {"offset": first, "end": after})
                expected = topic.appends[-1][0] + 1 if topic.appends else seq
                if seq != expected:
                    return (409, {"reason": "seq", "seq": expected})
            else:
                topic.epoch, topic.appends = epoch, []
        while len(body) >= 4:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4:4 + size], body[4 + size:]
            length = content[0]
            self.add(name, content[1:1 + length], content[1 + length:])
        after = len(topic.records)
        if epoch is not None:
            topic.appends = (topic.appends + [(seq, end, after)])[-5:]
            self.writers.append((self.record.now(), host, epoch))
        if name == "keyed.seat":
            self.claims.append((self.record.now(), host))
            self.record.line(f"store: {host} claims leadership")
        self.last_answer[host] = self.record.now()
        return (200, {"offset": end, "end": after})

    async def read(self, query):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while len(topic.records) <= start and time.monotonic() < until:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        out = bytearray(struct.pack(">QQ", len(topic.records), 0))
        limit = int(query.get("max-kb", 1024)) * 1024
        for _, _, framed in topic.records[start:]:
            out += struct.pack(">I", len(framed)) + framed
            if len(out) >= limit:
                break
        return (200, bytes(out), "application/octet-stream")

    def read_newest(self, query):
        topic = query["topic"]
        after = query.get("after", "")
        after = re.sub("%([0-9A-F]{2})", lambda m: chr(int(m[1], 16)), after)
        newest = sorted(self.newest(topic).items())
        newest = [item for item in newest if item[0].decode() > after]
        page, more = newest[:500], len(newest) > 500
        items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (offset, value) in page]
        return (200, {"items": items, "more-pages": more, "end": len(self.topic(topic).records)})


# Workers ---------------------------------------------------------------------------------------


class Run:
    def __init__(self, task, run, spec, saved, now, work_s, lasting):
        self.task, self.run, self.spec, self.saved = task, run, spec, saved
        self.began, self.work_s, self.lasting = now, work_s, lasting
        self.stopping = None

    def percent(self, now):
        if self.lasting:
            return 100 if now - self.began >= WORKER_START_S else 0
        return min(100, int(100 * (now - self.began) / self.work_s))

    def at_work(self, now):
        return self.percent(now) == 100 if self.lasting else True


class Worker:
    """One life of a machine. `world.work_of(task)` gives (seconds of work, lasting)."""

    def __init__(self, world, name, machine, capacity, labels):
        self.world, self.name, self.machine = world, name, machine
        self.capacity, self.labels = capacity, labels
        self.born = int(time.time() * 1000)
        self.start_at = time.monotonic()
        self.fence = 0
        self.until = 0
        self.running = {}
        self.ended = []
        self.count = 0
        self.refused_runs = {}  # task -> highest run that was stopped or has ended here
        self.seq = 0
        self.alive = True
        self.draining = False
        self.event = asyncio.Event()

    async def start(self, port=0):
        self.server = await Server(self.handle).start(port)
        self.loops = [asyncio.create_task(self.report()), asyncio.create_task(self.work())]
        return self

    def clock(self):
        return int((time.monotonic() - self.start_at) * 1000)

    def entry(self):
        self.seq += 1
        return {"service": self.world.service, "address": f"127.0.0.1:{self.server.port}",
                "zone": "zone-a", "version": "v1", "slots": 8,
                "state": "draining" if self.draining else "ready", "cold-remaining-ms": 0,
                "capacity": self.capacity, "labels": self.labels, "clock-ms": self.clock(),
                "seq": self.seq, "born": self.born}

    async def report(self):
        while self.alive:
            await self.world.store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self):
        while self.alive:
            await asyncio.sleep(0.02)
            now, clock = time.monotonic(), self.clock()
            for run in list(self.running.values()):
                if run.stopping is not None and now >= run.stopping:
                    self.end(run, "stopped")
                elif clock >= self.until:
                    self.end(run, "lapsed")
                elif not run.lasting and now - run.began >= run.work_s:
                    self.end(run, "done")

    def end(self, run, how):
        del self.running[run.task]
        self.count += 1
        self.refused_runs[run.task] = max(self.refused_runs.get(run.task, 0), run.run)
        self.ended.append([self.count, run.task, run.run, how, ""])
        self.world.note_end(self, run, how)
        self.event.set()
        self.event = asyncio.Event()

    def extend(self, until):
        if until is not None:
            self.until = max(self.until, min(until, self.clock() + BOUNDS["hold-max-ms"]))

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.name) != self.name:
            return (421, {})
        body = json.loads(body or b"{}")
        await self.world.deliver(self, path, body)
        if await self.world.answer(self, path, body):
            # No answer, and nothing more on this connection.
            await asyncio.sleep(30)
            return None
        if path == "/api/run-start":
            return self.execute_start(body)
        if not self.admit(body):
            return self.refuse("fence")
        fence = body.get("fence", 0)
        if path == "/api/run-stop":
            task, number = body["task"], body["run"]
            self.refused_runs[task] = max(self.refused_runs.get(task, 0), number)
            run = self.running.get(task)
            if run and run.run <= number and run.stopping is None:
                run.stopping = time.monotonic() + self.world.stop_s(run)
                self.world.note_stop(self, run, fence)
            return (200, {"clock-ms": self.clock()})
        if path == "/api/hold":
            self.extend(body.get("until-ms"))
            self.ended = [row for row in self.ended if row[0] > body["ack-position"]]
            if body["ack-position"]:
                self.world.note_ack(self, body["ack-position"])
            until = time.monotonic() + min(body.get("wait-ms", 0), 2000) / 1000
            while not self.ended and time.monotonic() < until and self.alive:
                try:
                    await asyncio.wait_for(self.event.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            now = time.monotonic()
            running = [[run.task, run.run, run.saved, run.percent(now), 100]
                       for run in self.running.values()]
            return (200, {"clock-ms": self.clock(), "born": self.born, "running": running,
                          "ended": self.ended[:500]})
        return (404, {})

    def refuse(self, reason):
        return (409, {"clock-ms": self.clock(), "reason": reason})

    def admit(self, body):
        """Keeps the highest fence; a lower one does nothing."""
        self.fence = max(self.fence, body.get("fence", 0))
        return body.get("fence", 0) >= self.fence

    def execute_start(self, body):
        refuse = self.refuse
        if not self.admit(body):
            return refuse("fence")
        task, number = body["task"], body["run"]
        if body["until-ms"] <= self.clock():
            return refuse("late")
        self.extend(body["until-ms"])
        known = self.running.get(task)
        if known and known.run == number:
            return (200, {"clock-ms": self.clock()})
        if number <= self.refused_runs.get(task, 0) or known:
            return refuse("old")
        work_s, lasting = self.world.work_of(task)
        run = Run(task, number, body["spec"], body.get("saved", ""), time.monotonic(), work_s,
                  lasting)
        self.running[task] = run
        self.world.note_start(self, run, body["fence"])
        return (200, {"clock-ms": self.clock()})

    async def leave(self):
        """Ends the worker at once, with everything that runs on it."""
        self.alive = False
        self.server.stop()
        for loop in self.loops:
            loop.cancel()
        for run in list(self.running.values()):
            self.world.note_end(self, run, "lost with its worker")
        self.running = {}
        await self.world.store.put("keyed.servers", self.name, None)


# The world -------------------------------------------------------------------------------------


def fill_template(text, fields):
    """Fills in the template of a process's settings as the pages' DEPLOY.md says."""

    def look(name, scope):
        if name == ".":
            return scope
        value = fields
        for part in re.split(r"\.(?=[a-z0-9])", name):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = (value or {}).get(part)
        return value

    def section(match):
        value = look(match[1], None)
        if value in (None, False, "", [], {}):
            return ""
        return re.sub(r"\{\{\.\}\}", str(value), match[2])

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    plain = lambda match: "" if look(match[1], None) is None else str(look(match[1], None))
    return re.sub(r"\{\{([^#/^}]+)\}\}", plain, text)


class Host:
    """One process of the project's daemon."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.process = None

    async def start(self):
        world = self.world
        log = await Server(lambda *call: world.store.handle(self.name, *call)).start()
        ports = [free_port() for _ in range(3)]
        self.caller, self.ready, self.status = ports
        fields = {
            "node": self.name, "limits": {"cpu-share": 0.25}, "ip": "127.0.0.1",
            "listen": {"front": f"127.0.0.1:{ports[0]}", "ready": f"127.0.0.1:{ports[1]}"},
            "port-range": [ports[2], ports[2]],
            "platform": {"address": f"127.0.0.1:{log.port}"},
            "cloud": {"address": world.cloud_address} if world.cloud_address else {},
            "advice": world.advice_address, "orders": "request", "bounds": BOUNDS,
        }
        template = (ROOT / "deploy/host.ini").read_text()
        self.settings = world.folder / f"{self.name}.ini"
        self.settings.write_text(fill_template(template, fields))
        await self.launch()

    async def launch(self):
        output = open(self.world.folder / f"{self.name}.log", "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.world.folder)}
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / DAEMON), "--settings", str(self.settings), cwd=ROOT, env=environment,
            stdout=output, stderr=output)
        self.world.record.line(f"host {self.name} started, pid {self.process.pid}")

    def signal(self, number):
        self.world.record.line(f"host {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)


def free_port():
    import socket
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class World:
    service = "plan"
    host_name = "shed.example"
    prefix = "/jobs/"
    key = "k3y0000000000000000a"

    def __init__(self, case):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(Path(case) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="flamingowalk-review-"))
        self.store = Store(self.record)
        self.hosts = {}
        self.workers = {}
        self.cloud_address = None
        self.advice_address = None
        self.broken = []
        self.jobs = {}

    # Hooks that a case may replace.
    async def deliver(self, worker, path, body):
        """An order has arrived at a worker."""

    async def answer(self, worker, path, body):
        """Returns whether the order is left unanswered; the case then carries it out."""
        return False

    def work_of(self, task):
        return (2.0, False)

    def stop_s(self, run):
        return 0.1

    def note_start(self, worker, run, fence):
        self.record.line(f"worker {worker.name}: start {run.task} run {run.run} fence {fence}")

    def note_stop(self, worker, run, fence):
        self.record.line(f"worker {worker.name}: stop {run.task} run {run.run} fence {fence}")

    def note_end(self, worker, run, how):
        self.record.line(f"worker {worker.name}: end {run.task} run {run.run}: {how}")

    def note_ack(self, worker, position):
        pass

    def breaks(self, text):
        self.broken.append(text)
        self.record.line(f"RULE BROKEN: {text}")

    def manifest(self, version=1, **extra):
        return {"version": version,
                "routes": [dict({"name": "r-jobs", "host": self.host_name,
                                 "path-prefix": self.prefix, "kind": "unsafe",
                                 "timeout-ms": 3000, "target-latency-ms": 1000, "priority": 1,
                                 "service": self.service, "max-attempts": 3, "stretch": 3.0,
                                 "public": False}, **extra)],
                "services": [{"name": self.service, "health-path": "/health", "max-conns": 64,
                              "protocol": "h1", "tls": False, "admission-check": False,
                              "spare": False}],
                "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                           "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
                "tenants": [{"name": "kaje", "api-keys": [self.key], "priority": 1,
                             "guaranteed": {"gpu": 16}}]}

    async def start_hosts(self, count):
        for index in range(count):
            host = Host(self, f"front-{index + 1}")
            self.hosts[host.name] = host
        await asyncio.gather(*(host.start() for host in self.hosts.values()))

    async def add_worker(self, name, machine="", capacity=None, labels=None):
        capacity = capacity or {"cpu": 32000, "mem-mb": 65536, "gpu": 8}
        worker = Worker(self, name, machine, capacity, labels or ["a", "r1-1"])
        self.workers[name] = worker
        await worker.start()
        return worker

    async def call(self, host, method, path, body=None, timeout=3.0):
        """Sends a caller's request. Returns (status, body), or (None, cause)."""
        port = self.hosts[host].caller
        content = b"" if body is None else json.dumps(body).encode()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {self.host_name}\r\n"
                f"X-Credential: {self.key}\r\nX-Deadline-Ms: {int(timeout * 1000)}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n")

        async def exchange():
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(head.encode() + content)
                await writer.drain()
                first, _, answer = await read_message(reader)
                return int(first.split()[1]), answer
            finally:
                writer.close()

        try:
            status, answer = await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, answer = None, type(error).__name__.encode()
        self.record.line(f"caller: {method} {path} at {host} -> {status} {answer.decode()[:80]}")
        return status, answer.decode()

    async def submit(self, path, body, first="front-1"):
        """Hands a job in, with up to four retries at other hosts as requesters do. Returns
        whether it was accepted."""
        names = sorted(self.hosts, key=lambda name: (name != first, name))
        for attempt in range(5):
            host = names[attempt % len(names)]
            status, _ = await self.call(host, "POST", path, body)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    def leader(self):
        """Returns the host that last wrote to the store under an epoch."""
        return self.store.writers[-1][1] if self.store.writers else None

    async def until(self, test, limit, what):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if test():
                return True
            await asyncio.sleep(0.02)
        self.record.line(f"not reached: {what}")
        return False

    async def finish(self):
        for host in self.hosts.values():
            if host.process and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        for worker in self.workers.values():
            if worker.alive:
                worker.server.stop()
        if os.environ.get("KEEP_LOGS"):
            self.record.line(f"logs of the hosts: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class MachineWorld(World):
    """A world whose workers are lives of machines that the platform lists and maintains."""

    UPKEEP_S = 2.0

    def __init__(self, case):
        super().__init__(case)
        self.machines = {}  # machine -> state, worker, highest token, upkeep done
        self.wave = None
        self.lives = 0
        self.are_answers_lost = False
        self.returns = set()

    def judge_upkeep(self, worker, run, said):
        """An upkeep is about to end a run."""

    def note_order(self):
        """An order for upkeep has arrived."""

    async def start_machines(self, count):
        cloud = await Server(self.cloud).start()
        self.cloud_address = f"127.0.0.1:{cloud.port}"
        for index in range(count):
            name = f"m-{index:05x}"
            self.machines[name] = {"state": "up", "worker": None, "token": 0, "done": False}
            await self.new_life(name)

    async def new_life(self, name):
        self.lives += 1
        worker = await self.add_worker(f"i-{self.lives:04d}", name)
        self.machines[name]["worker"] = worker

    async def publish_wave(self, duration_s, cap):
        self.wave = {"wave": 1, "machines": list(self.machines), "duration-s": duration_s,
                     "cap": cap}
        self.record.line(f"operator: wave {self.wave}")
        await self.store.put("keyed.op", "wave/1", self.wave)

    def wave_state(self):
        newest = self.store.newest("keyed.status").get(b"wave/1")
        return json.loads(newest[1])["state"] if newest else "none"

    async def cloud(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/api/machines":
            rows = [{"machine": name, "pool": self.service, "state": machine["state"],
                     "zone": "zone-a", "labels": ["a", "r1-1"],
                     "capacity": {"cpu": 32000, "mem-mb": 65536, "gpu": 8},
                     "id": machine["worker"].name if machine["state"] == "up" else ""}
                    for name, machine in self.machines.items()]
            answer = (200, {"machines": rows, "next-page-token": None})
        elif path == "/api/machine-upkeep":
            self.note_order()
            answer = await self.upkeep(headers, json.loads(body))
        else:
            answer = (404, {})
        if self.are_answers_lost:
            # The call was executed, and nothing more comes on this connection.
            await asyncio.sleep(30)
            return None
        return answer

    async def upkeep(self, headers, order):
        name, token = order["machine"], int(headers["x-fencing-token"])
        holder = headers["x-lease-holder"]
        machine = self.machines.get(name)
        said = f"upkeep of {name} ordered by {holder} with token {token}"
        if machine is None:
            return (400, {})
        if token < machine["token"]:
            self.record.line(f"cloud: {said} -> 409 fence")
            return (409, {"reason": "fence"})
        machine["token"] = token
        if self.wave is None or order["wave"] != self.wave["wave"]:
            return (409, {"reason": "wave"})
        if machine["done"]:
            self.record.line(f"cloud: {said} -> 200, done already")
            return (200, {})
        if machine["state"] != "up" or machine["worker"].draining:
            return (409, {"reason": "busy"})
        since = self.record.now() - self.store.last_answer.get(holder, 0)
        answered = "its answer is lost" if self.are_answers_lost else "200"
        self.record.line(f"cloud: {said} -> {answered}; the newest append that the store "
                         f"answered to this host was {since:.1f} s ago; planner: {self.leader()}")
        down = [other for other, state in self.machines.items() if state["state"] == "upkeep"]
        if len(down) >= self.wave["cap"]:
            self.breaks(f"LIMIT: {said} while {down} are down (cap {self.wave['cap']})")
        machine["state"], machine["done"] = "upkeep", True
        worker = machine["worker"]
        for run in list(worker.running.values()):
            self.judge_upkeep(worker, run, said)
        await worker.leave()
        self.returns.add(asyncio.create_task(self.come_back(name)))
        return (200, {})

    async def come_back(self, name):
        await asyncio.sleep(self.UPKEEP_S)
        await self.new_life(name)
        self.machines[name]["state"] = "up"


class ServiceWorld(MachineWorld):
    """Judges the rule AVAIL for one lasting step on each stop and each upkeep that the workers
    and the machines' service see."""

    NOTICE_S = 4.5
    may_miss = 1

    def __init__(self, case):
        super().__init__(case)
        self.away = {}  # unit -> (since, whether an order of the system ended it)

    def work_of(self, task):
        return (3600.0, True)

    def others_away(self, task):
        """Returns the other units of the step that are away as the rule AVAIL says."""
        now = time.monotonic()
        at_work = {run.task for worker in self.workers.values() if worker.alive
                   for run in worker.running.values() if run.at_work(now) and run.stopping is None}
        away = []
        for unit, (since, by_order) in list(self.away.items()):
            if unit in at_work:
                del self.away[unit]
            elif unit != task and (by_order or now - since > self.NOTICE_S):
                away.append(unit)
        return away

    def judge(self, worker, run, what):
        """A stop or an upkeep is about to end a run."""
        now = time.monotonic()
        if worker.draining or not run.at_work(now):
            self.away.setdefault(run.task, (now, True))
            return
        away = self.others_away(run.task)
        self.away[run.task] = (now, True)
        if len(away) >= self.may_miss:
            self.breaks(f"AVAIL: {what} ends {run.task} at work on {worker.name}, while "
                        f"{len(away)} others of its step are away (may-miss {self.may_miss}): {away}")

    def note_stop(self, worker, run, fence):
        super().note_stop(worker, run, fence)
        self.judge(worker, run, f"a stop with fence {fence}")

    def note_end(self, worker, run, how):
        super().note_end(worker, run, how)
        self.away.setdefault(run.task, (time.monotonic(), False))

    def judge_upkeep(self, worker, run, said):
        self.judge(worker, run, said)


class CannotRun(Exception):
    """The case could not be set up."""


def main(world_type, case):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

    async def play():
        world = world_type(case)
        try:
            if not (ROOT / DAEMON).exists():
                raise CannotRun(f"{DAEMON} is missing; build first")
            await asyncio.wait_for(world.play(), 110)
        except (CannotRun, asyncio.TimeoutError) as error:
            world.record.line(f"the case could not run: {error or type(error).__name__}")
            print(f"could not run: {error or type(error).__name__}")
            return 2
        finally:
            await world.finish()
        for text in world.broken[:5]:
            print(f"rule broken: {text}")
        world.record.line(f"result: {len(world.broken)} breaches")
        return 1 if world.broken else 0

    sys.exit(asyncio.run(play()))
