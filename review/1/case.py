"""Another writer's announcements name workers that are at work, with a service that isn't named here."""

import asyncio
import json
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))

from fleet import BOUNDS, CONTROL_PORT, ZONES, CannotRun, Operator, http, run_case  # noqa: E402
from workers import WORKERS_PORT, Client, Ledger, Worker  # noqa: E402

WORKERS = 12
CLIENTS = 6
TASK_MS = 600
LOAD_S = 30.0
# How many announcements the other writer sends, and the time before each.
STRAYS = 3
STRAY_GAP_S = 8.0


async def case(fleet, record, trouble):
    operator, ledger = Operator(record), Ledger(record)
    fleet.start()
    if await operator.put(fleet.keepers, operator.document(7, ["pule252"]), 15) is None:
        raise CannotRun("the first configuration was not accepted")
    workers = []
    for index in range(WORKERS):
        ip = f"127.{fleet.net}.{100 + index % 3}.{1 + index // 3}"
        worker = Worker(fleet, ledger, f"w{index}", ZONES[index % 3], ip, operator.service, keeps_id=True)
        await worker.start()
        workers.append(worker)
    await asyncio.sleep(BOUNDS["contactMs"] / 1000)
    client = Client(ledger, operator, fleet.entries, "pule252")
    end = time.monotonic() + LOAD_S

    async def load():
        while time.monotonic() < end:
            step = {"count": 4, "cpu": 4000, "memMb": 64, "estimateMs": TASK_MS}
            await client.job([step], TASK_MS, tries=1, deadline=3)
            await asyncio.sleep(random.uniform(0, 0.3))

    async def strays():
        for _ in range(STRAYS if trouble else 0):
            await asyncio.sleep(STRAY_GAP_S)
            worker = max(workers, key=lambda worker: len(worker.runs))
            body = {"service": "otra7c1", "address": f"127.{fleet.net}.200.1:{WORKERS_PORT}", "zone": worker.zone,
                    "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
                    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0}, "labels": ["a", "r9-1"], "clockMs": 4711,
                    "sequence": 1, "born": int(time.time() * 1000)}
            keeper = random.choice(fleet.keepers)
            status, _ = await http(f"{keeper.ip}:{CONTROL_PORT}", "PUT", f"/-/instances/{worker.id}",
                                   json.dumps(body))
            record(f"another writer: PUT /-/instances/{worker.id} with service {body['service']} at {keeper.name}: "
                   f"{status}; {worker.id} is at work on {len(worker.runs)} tasks")

    await asyncio.gather(strays(), *[load() for _ in range(CLIENTS)])
    record(f"answers: {client.answers}; starts: {ledger.starts}")
    if ledger.breaks:
        counts = {}
        for rule, _ in ledger.breaks:
            counts[rule] = counts.get(rule, 0) + 1
        return f"{counts}; the first: {ledger.breaks[0][1]}"
    return None


run_case(FOLDER, case)
