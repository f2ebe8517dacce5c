"""One core machine is lost for some seconds while the whole system starts for the first time."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "standin"))

from fleet import ZONES, Operator, run_case  # noqa: E402
from workers import Client, Ledger, Worker  # noqa: E402

# When the process is killed, after all were started.
KILL_AFTER_S = 0.15
# How long its machine is down: the longest `node_kill` of a core machine in the site file.
DOWN_S = 3.5
# The time from the start of the machines to the start of traffic.
LEAD_S = 10.0
TRAFFIC_S = 40.0


async def case(fleet, record, trouble):
    operator, ledger = Operator(record), Ledger(record)
    fleet.start()
    started = time.monotonic()
    for index in range(6):
        ip = f"127.{fleet.net}.{100 + index % 3}.{1 + index // 3}"
        worker = Worker(fleet, ledger, f"w{index}", ZONES[index % 3], ip, operator.service)
        await worker.start()
    # The first configuration is resent until it is accepted.
    accepted = asyncio.create_task(operator.put(fleet.keepers, operator.document(7, ["pule252"]),
                                                LEAD_S + TRAFFIC_S + 5))
    if trouble:
        await asyncio.sleep(KILL_AFTER_S)
        lost = fleet.keepers[0]
        lost.signal(signal.SIGKILL)
        await lost.wait_end(1)
        await asyncio.sleep(DOWN_S)
        lost.start(bootstrap=False)
    await asyncio.sleep(started + LEAD_S - time.monotonic())
    record("traffic starts")
    client, served = Client(ledger, operator, fleet.entries, "pule252"), 0
    step = {"count": 2, "cpu": 4000, "memMb": 64, "estimateMs": 200}
    for _ in range(int(TRAFFIC_S)):
        outcome = await client.job([step], 200, tries=1)
        record(f"client: a job is answered with {outcome[-1]}")
        served += outcome[-1] == 200
        await asyncio.sleep(1)
    record(f"{served} of {int(TRAFFIC_S)} jobs are served; configuration acknowledged: {accepted.done()}")
    if served == 0:
        return "Fault: no request is served, and the first configuration is never acknowledged"
    return None


run_case(FOLDER, case)
