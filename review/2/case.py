"""A core machine is replaced as planned; then another one loses its disk."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))

from fleet import BOUNDS, GRACE_S, CannotRun, Operator, run_case  # noqa: E402

CATCH_UP_S = BOUNDS["catchUpS"]
CONTACT_S = BOUNDS["contactMs"] / 1000
# How long the successor has run when the replaced machine is stopped.
SUCCESSOR_LEAD_S = CATCH_UP_S + 2.0
# How long after the end of the replaced machine the next one loses its disk. The replaced one does not count as lost
# any more, as its successor has had `catchUpS`.
PAUSE_S = 4.2
# How long the machine that loses its disk is down.
DOWN_S = 1.0


async def case(fleet, record, trouble):
    operator = Operator(record)
    fleet.start()
    if await operator.put(fleet.keepers, operator.document(7, ["pule252"]), 15) is None:
        raise CannotRun("the first configuration was not accepted")
    await asyncio.sleep(CONTACT_S)
    first, second, third = fleet.keepers
    keepers = list(fleet.keepers)
    if trouble:
        successor = fleet.spare_keeper(third.zone)
        successor.start()
        await asyncio.sleep(SUCCESSOR_LEAD_S)
        third.signal(signal.SIGTERM)
        await third.wait_end(GRACE_S)
        keepers = [first, second, successor]
        record(f"{third.name} is removed for good; its successor has run for "
               f"{time.monotonic() - successor.started:.1f} s (catchUpS is {CATCH_UP_S})")
    else:
        await asyncio.sleep(SUCCESSOR_LEAD_S)
    await asyncio.sleep(PAUSE_S)
    version = 12
    changed = operator.document(version, ["pule252", "pufi791"])
    acked_by = await operator.put(keepers, changed, BOUNDS["ackMs"] / 1000)
    if acked_by is None:
        raise CannotRun("the change was not acknowledged before the loss of the disk")
    if trouble:
        lost = second if acked_by is not second else first
        lost.signal(signal.SIGKILL)
        await lost.wait_end(1)
        await asyncio.sleep(DOWN_S)
        lost.disk_number += 1
        lost.start()
    # From now on nothing is disturbed. The service may be suspended until recoveryS after all machines are back.
    await asyncio.sleep(BOUNDS["recoveryS"] + CATCH_UP_S)
    read = await operator.get(keepers, CONTACT_S + 10)
    later = operator.document(15, ["pule252"])
    accepted = await operator.put(keepers, later, BOUNDS["ackMs"] / 1000 + 4)
    if read is None:
        return (f"CONFIG: the acknowledged version {version} is not read back "
                f"{BOUNDS['recoveryS'] + CATCH_UP_S} s and more after the last disturbance; "
                f"a later change was {'acknowledged' if accepted else 'not acknowledged either'}")
    if read != changed:
        return f"CONFIG: version {read['version']} is read back, version {version} was acknowledged"
    if accepted is None:
        return "CONFIG: a valid change is never acknowledged"
    return None


run_case(FOLDER, case)
