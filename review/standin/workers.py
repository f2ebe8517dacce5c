"""Stand-ins of workers, as PROTOCOL.md describes them, and of clients that hand in jobs."""

import asyncio
import json
import random
import time

from fleet import BOUNDS, CALLERS_PORT, CONTROL_PORT, WORKERS_PORT, http, read_message

STOP_MS = BOUNDS["stopTimeoutMs"]
HOLD_MAX_MS = BOUNDS["holdMaxMs"]


class Ledger:
    """The runs of all tasks on all workers, and what the rules say of each start."""

    def __init__(self, record):
        self.record = record
        self.active = {}  # task -> set of (worker, run)
        self.done = set()
        self.jobs = {}  # ID -> job as handed in
        self.breaks = []
        self.starts = 0
        self.unknown = 0

    def broken(self, rule, text):
        self.breaks.append((rule, text))
        self.record(f"BROKEN {rule}: {text}")

    def started(self, worker, task, run, spec, known=True):
        """`known`: whether the dispatcher knows which life of the worker it calls."""
        self.starts += 1
        self.unknown += not known
        job_id, _, step, _ = task.split(".")
        step = int(step)
        others = self.active.setdefault(task, set())
        if others:
            self.broken("TWICE", f"{task} starts as run {run} on {worker.id} beside {sorted(others)}")
        job = self.jobs.get(job_id)
        if job is None:
            self.broken("UNASKED", f"{task} was never handed in")
        else:
            plan = job["steps"][step]
            if spec != job["spec"]:
                self.broken("UNASKED", f"{task} has another spec")
            if known and plan.get("requirements") and plan["requirements"] not in worker.labels:
                self.broken("ROUTE", f"{task} starts on {worker.id}, which has no label {plan['requirements']} and is "
                                     f"up for {time.monotonic() - worker.epoch:.3f} s")
            most = plan.get("antiAffinity")
            here = [t for t in worker.runs if t.split(".")[0] == job_id and int(t.split(".")[2]) == step]
            if most and len(here) + 1 > most:
                self.broken("ROUTE", f"{task} is the {len(here) + 1}th of its step on {worker.id}")
            for before in plan.get("after", ()):
                missing = [i for i in range(job["steps"][before]["count"])
                           if f"{job_id}.0.{before}.{i}" not in self.done]
                if missing:
                    self.broken("ORDER", f"{task} starts before step {before} is done")
        others.add((worker.id, run))

    def ended(self, worker, task, run, how):
        self.active.get(task, set()).discard((worker.id, run))
        if how == "done":
            self.done.add(task)


class Worker:
    """A worker. `spec` of a job is JSON with the run time of its tasks in ms."""

    def __init__(self, fleet, ledger, name, zone, ip, service, guards=True, cpu=16000, labels=("a", "r1-1"),
                 keeps_id=False):
        self.fleet, self.ledger, self.record = fleet, ledger, fleet.record
        self.name, self.zone, self.ip, self.service = name, zone, ip, service
        self.guards, self.cpu, self.labels = guards, cpu, list(labels)
        self.keeps_id = keeps_id  # starts again under its ID, and tells when it started (demands/LATER.md)
        self.port = WORKERS_PORT
        self.epoch = time.monotonic() - random.uniform(100, 500)
        self.state = "ready"
        self.number = 0
        self.server = None
        self.mute_until = 0.0  # orders get no answer and are carried out late
        self.down = False
        self.cut_off = False
        self.connections = set()
        self.wake = asyncio.Event()
        self.drain_acked = None
        self.reset()

    def reset(self):
        self.number += 1
        self.id = f"i-{self.name}" if self.keeps_id else f"i-{self.name}-{self.number}"
        self.born = int(time.time() * 1000)
        self.runs = {}  # task -> [run, start, ms, cpu, timer, stopping]
        self.highest = {}  # task -> highest run that was stopped or has ended here
        self.ends = []
        self.serial = 0
        # The highest token that the earlier life has seen. A dispatcher that sends a higher one to this life knows that
        # it is another one.
        self.earlier_fence = max(getattr(self, "fence", 0), getattr(self, "earlier_fence", 0))
        self.fence = 0
        self.deadline = 0
        self.sequence = 0
        self.changed = asyncio.Event()

    def life(self):
        return {"born": self.born} if self.keeps_id else {}

    def clock(self):
        return int((time.monotonic() - self.epoch) * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        asyncio.get_running_loop().create_task(self.announce())
        asyncio.get_running_loop().create_task(self.lease())

    async def crash_for(self, seconds, **changes):
        """Crashes, refuses connections while it is down, and starts again, perhaps as another kind."""
        self.down = True
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.crash()
        await asyncio.sleep(seconds)
        for name, value in changes.items():
            setattr(self, name, value)
        self.born = int(time.time() * 1000)
        self.epoch = time.monotonic()
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.down = False
        self.record(f"{self.id} is up again: labels {self.labels}, cpu {self.cpu}")
        self.wake.set()

    async def announce(self):
        turn = random.randrange(3)
        while True:
            self.wake.clear()
            if not self.down and not self.cut_off:
                self.sequence += 1
                body = {"service": self.service, "address": f"{self.ip}:{WORKERS_PORT}", "zone": self.zone,
                        "version": "v1", "slots": 8, "state": self.state, "coldLeftMs": 0,
                        "capacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 0}, "labels": self.labels,
                        "clockMs": self.clock(), "sequence": self.sequence}
                body.update(self.life())
                keepers = self.fleet.keepers
                for attempt in range(len(keepers)):
                    node = keepers[(turn + attempt) % len(keepers)]
                    status, _ = await http(f"{node.ip}:{CONTROL_PORT}", "PUT", f"/-/instances/{self.id}",
                                           json.dumps(body))
                    if status is not None and 200 <= status < 300:
                        if body["state"] == "draining" and self.drain_acked is None:
                            self.drain_acked = time.monotonic()
                            self.record(f"{self.id}: draining, acknowledged by {node.name}")
                        turn = (turn + attempt) % len(keepers)
                        break
            # The first announcement of a life is sent at once.
            try:
                await asyncio.wait_for(self.wake.wait(), 1.5)
            except asyncio.TimeoutError:
                pass

    async def lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.runs and self.clock() > self.deadline:
                for task in list(self.runs):
                    self.end(task, "lapsed")

    def end(self, task, how):
        run, _, _, _, timer, _ = self.runs.pop(task)
        timer.cancel()
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.serial += 1
        self.ends.append([self.serial, task, run, how, ""])
        self.ledger.ended(self, task, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def crash(self):
        """All that runs here is gone. The next life is at the same address, with another ID or under the same one."""
        for task in list(self.runs):
            run, _, _, _, timer, _ = self.runs.pop(task)
            timer.cancel()
            self.ledger.ended(self, task, run, "crashed")
        self.record(f"{self.id} crashes")
        if self.keeps_id:
            self.epoch = time.monotonic()
        self.reset()

    def take_deadline(self, value):
        if value is not None:
            self.deadline = max(self.deadline, min(value, self.clock() + HOLD_MAX_MS))

    def run_start(self, body):
        task, run, spec = body["task"], body["runId"], body["spec"]
        if body.get("fencingToken", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body.get("fencingToken", 0)
        known = self.fence > self.earlier_fence
        if task in self.runs and self.runs[task][0] == run:
            return 200, {}
        if run <= self.highest.get(task, 0) or (task in self.runs and run < self.runs[task][0]):
            self.take_deadline(body["deadlineMs"])
            return 409, {"reason": "old"}
        if body["deadlineMs"] <= self.clock():
            return 409, {"reason": "late"}
        job = self.ledger.jobs.get(task.split(".")[0])
        cpu = job["steps"][int(task.split(".")[2])]["cpu"] if job else 0
        used = sum(row[3] for row in self.runs.values())
        if used + cpu > self.cpu:
            if self.guards:
                self.take_deadline(body["deadlineMs"])
                return 409, {"reason": "room"}
            if known:
                self.ledger.broken("LIMIT", f"{task} takes {self.id} to {used + cpu} of {self.cpu}")
        self.ledger.started(self, task, run, spec, known)
        if self.drain_acked and time.monotonic() - self.drain_acked > BOUNDS["drainMs"] / 1000:
            self.ledger.broken("DRAIN", f"{task} starts on {self.id} "
                                        f"{time.monotonic() - self.drain_acked:.3f} s after its notice")
        self.take_deadline(body["deadlineMs"])
        ms = json.loads(spec)["ms"] * random.uniform(0.8, 1.3)
        timer = asyncio.get_running_loop().call_later(ms / 1000, self.end, task, "done")
        self.runs[task] = [run, time.monotonic(), ms, cpu, timer, False]
        return 200, {}

    def run_stop(self, body):
        task, run = body["task"], body["runId"]
        if body.get("fencingToken", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body.get("fencingToken", 0)
        self.highest[task] = max(self.highest.get(task, 0), run) if task not in self.runs else self.highest.get(task, 0)
        row = self.runs.get(task)
        if row is not None and row[0] == run and not row[5]:
            row[5] = True
            row[4].cancel()
            row[4] = asyncio.get_running_loop().call_later(random.uniform(0, STOP_MS) / 1000, self.end, task,
                                                           "stopped")
        return 200, {}

    async def hold(self, body):
        if body.get("fencingToken", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body.get("fencingToken", 0)
        self.take_deadline(body.get("deadlineMs"))
        cursor = body["ackCursor"]
        self.ends = [end for end in self.ends if end[0] > cursor]
        wait = min(body.get("waitMs", 0), 2000) / 1000
        if wait and not self.ends:
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[task, row[0], "", min(99, int(100 * (time.monotonic() - row[1]) * 1000 / row[2])), 0]
                   for task, row in self.runs.items()]
        return 200, {"running": running, "finished": self.ends[:500]}

    async def carry_out(self, path, expected, body):
        if expected != self.id:
            return 421, {}
        if path == "/-/run-start":
            status, answer = self.run_start(body)
        elif path == "/-/run-stop":
            status, answer = self.run_stop(body)
        else:
            status, answer = await self.hold(body)
        return status, {"clockMs": self.clock(), **self.life(), **answer}

    async def late(self, path, expected, body):
        await asyncio.sleep(random.uniform(2, 6))
        await self.carry_out(path, expected, body)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head, data = await read_message(reader)
                headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:]}
                path, body = head[0].split()[1], json.loads(data)
                expected = headers.get("expect-instance", self.id)
                if self.down:
                    writer.transport.abort()
                    return
                if time.monotonic() < self.mute_until and random.random() < 0.3:
                    asyncio.get_running_loop().create_task(self.late(path, expected, body))
                    await asyncio.sleep(30)
                    return
                status, answer = await self.carry_out(path, expected, body)
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: "
                             f"{len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Client:
    """Hands in one best-effort job, and again after 1.3 s where it got no answer, a 502 or a 504."""

    def __init__(self, ledger, operator, entries, prefix):
        self.ledger, self.operator, self.entries, self.prefix = ledger, operator, entries, prefix
        self.answers = {}

    async def job(self, steps, ms, tries=3, deadline=1.5):
        job_id = f"{random.getrandbits(64):016x}"
        job = {"spec": json.dumps({"ms": ms}), "steps": steps, "bestEffort": True}
        self.ledger.jobs[job_id] = job
        outcome = []
        for _ in range(tries):
            live = [entry for entry in self.entries if getattr(entry, "in_rotation", True)]
            entry = random.choice(live or self.entries)
            status, answer = await http(f"{entry.ip}:{CALLERS_PORT}", "POST", f"/{self.prefix}/{job_id}",
                                        json.dumps(job), host=self.operator.host, limit=deadline,
                                        headers=(f"Deadline-Ms: {int(deadline * 1000)}",))
            outcome.append(status)
            if status not in (None, 502, 504):
                break
            await asyncio.sleep(BOUNDS["resendMs"] / 1000)
        if all(status in (429, 503, 404) for status in outcome):
            ran = [task for task in self.ledger.active if task.startswith(job_id)]
            if ran:
                self.ledger.broken("REFUSED", f"{job_id} was rejected with {outcome}, and {ran} started")
        self.answers[outcome[-1]] = self.answers.get(outcome[-1], 0) + 1
        if outcome[-1] == 200 and json.loads(answer)["state"] == "completed":
            for number, step in enumerate(steps):
                missing = [i for i in range(step["count"]) if f"{job_id}.0.{number}.{i}" not in self.ledger.done]
                if missing:
                    self.ledger.broken("MIXED", f"{job_id} is completed without {missing} of step {number}")
        return outcome


class Link:
    """The network between all machines and a worker, as a relay in front of it.

    While the link is cut, bytes and new connections are held up, and the worker's announcements are lost. When it heals, connections that were opened during the
    cut come through in the order in which they were opened. Those that were open to an earlier life of the worker are
    reset. What the sender has reset meanwhile is lost.
    """

    def __init__(self, worker, port):
        self.worker, self.record, self.port = worker, worker.record, port
        self.open = asyncio.Event()
        self.open.set()

    async def start(self):
        await asyncio.start_server(self.relay, self.worker.ip, self.port)

    def cut(self):
        self.open.clear()
        self.worker.cut_off = True
        self.record(f"link to {self.worker.id}: cut")

    def heal(self):
        self.open.set()
        self.worker.cut_off = False
        self.record(f"link to {self.worker.id}: heals")

    async def relay(self, reader, writer):
        held = not self.open.is_set()
        target = None
        try:
            await self.open.wait()
            if held and (reader._eof or reader.exception() is not None):
                return
            life = self.worker.number
            target_reader, target = await asyncio.open_connection(self.worker.ip, self.worker.port)
            await asyncio.gather(self.copy(reader, target, life), self.copy(target_reader, writer, life))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in (writer, target):
                if end is not None:
                    end.transport.abort()

    async def copy(self, reader, writer, life):
        while data := await reader.read(65536):
            await self.open.wait()
            if self.worker.number != life:
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError
