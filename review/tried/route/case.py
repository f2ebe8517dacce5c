"""Workers crash and start again under their IDs as workers of another kind."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "standin"))

from fleet import BOUNDS, ZONES, CannotRun, Operator, run_case  # noqa: E402
from workers import Client, Ledger, Worker  # noqa: E402

WORKERS = 12
CLIENTS = 16
LOAD_S = 60.0
# One worker crashes each this many seconds, and is down for a part of a second.
CRASH_GAP_S = 0.7
DOWN_S = (0.2, 1.0)
# Kinds of workers: label and thousandths of a core.
KINDS = {"a": 8000, "b": 16000}
RULES = ("ROUTE", "LIMIT")


async def case(fleet, record, trouble):
    operator, ledger = Operator(record), Ledger(record)
    fleet.start()
    document = operator.document(7, ["pule252"], admission_check=False)
    if await operator.put(fleet.keepers, document, 15) is None:
        raise CannotRun("the first configuration was not accepted")
    workers = []
    for index in range(WORKERS):
        ip, kind = f"127.{fleet.net}.{100 + index % 3}.{1 + index // 3}", "ab"[index % 2]
        worker = Worker(fleet, ledger, f"w{index}", ZONES[index % 3], ip, operator.service, guards=False,
                        cpu=KINDS[kind], labels=[kind, f"r1-{index % 4}"], keeps_id=True)
        await worker.start()
        workers.append(worker)
    await asyncio.sleep(BOUNDS["contactMs"] / 1000)
    client = Client(ledger, operator, fleet.entries, "pule252")
    end = time.monotonic() + LOAD_S

    async def load():
        while time.monotonic() < end:
            step = {"count": 4, "cpu": 4000, "memMb": 64, "estimateMs": 150, "requirements": random.choice("ab")}
            await client.job([step], 150, tries=1)
            await asyncio.sleep(random.uniform(0, 0.3))

    async def crashes():
        while trouble and time.monotonic() < end - 2:
            await asyncio.sleep(CRASH_GAP_S)
            worker = random.choice([worker for worker in workers if not worker.down])
            kind = "b" if worker.labels[0] == "a" else "a"
            changes = {"labels": [kind, worker.labels[1]], "cpu": KINDS[kind]}
            asyncio.get_running_loop().create_task(worker.crash_for(random.uniform(*DOWN_S), **changes))

    await asyncio.gather(crashes(), *[load() for _ in range(CLIENTS)])
    record(f"answers: {client.answers}; starts: {ledger.starts}; of these on a life that its dispatcher did not know "
           f"yet, not counted: {ledger.unknown}")
    broken = [(rule, text) for rule, text in ledger.breaks if rule in RULES]
    others = sorted({rule for rule, _ in ledger.breaks} - set(RULES))
    record(f"other rules broken: {others}")
    if broken:
        rules = [f"{rule} by {sum(1 for other, _ in broken if other == rule)} starts" for rule in RULES]
        return f"{', '.join(rules)}; the first: {broken[0][1]}"
    return None


run_case(FOLDER, case)
