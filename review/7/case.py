"""A job of many narrow steps, which the entry accepts, stops the leader for ever."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

import minion  # noqa: E402
from deployment import PREFIX, CannotRun, queue, run_case  # noqa: E402

SIDES = 6
MANY_STEPS = 1250  # of 8 tasks each: the 10,000 tasks that an entry accepts
FEW_STEPS = 100
AT_ONCE = 150  # tasks that fit at a minion
TIME_S = 80.0
STILL_S = 3.0  # RULES: "for 3 s, a job has nothing running"
CALM_S = 4.0  # RULES: "if the 3 s and the 4 s before them are calm"
PROBE_S = 15.0


async def case(site, has_trouble):
    minion.TICK_S = 0.05
    await site.start([queue()])
    step = {"count": 8, "cpu": 128000 // AT_ONCE, "mem_mb": 10, "estimate_ms": 2000, "checkpointing": True}
    job = site.new_job([step] * (MANY_STEPS if has_trouble else FEW_STEPS), "work=2000")
    site.note(f"body of {len(json.dumps(site.jobs[job]))} bytes")
    if await site.submit(0, job) != 200:
        raise CannotRun("the job isn't accepted")
    end, last = time.monotonic() + TIME_S, 0
    while time.monotonic() < end:
        await asyncio.sleep(1.0)
        done = sum(how == "done" for _, _, _, how in site.ends)
        running = sum(len(each.running) for each in site.minions)
        site.note(f"tasks done {done}, running {running}, state {len(site.store.log('keyed.rampbay').records)} records")
        if done >= 8 * len(site.jobs[job]["steps"]) or (done == last and running == 0 and done > 0):
            break
        last = done
    else:
        raise CannotRun("the large job is neither done nor at a standstill in time")
    await asyncio.sleep(CALM_S)
    small = site.new_job([{"count": 1, "cpu": 1000, "mem_mb": 10, "gpu": 1, "estimate_ms": 1000}], "work=1000")
    if await site.submit(1, small) != 200:
        raise CannotRun("the small job isn't accepted")
    accepted = since = time.monotonic()
    waited = 0.0
    while time.monotonic() < accepted + PROBE_S and not site.begun(small):
        await asyncio.sleep(0.05)
        if any(each.running for each in site.minions):
            since = time.monotonic()  # Only a time in which nothing at all runs counts here.
        waited = max(waited, time.monotonic() - since)
    site.note(f"refused for their size: {site.store.too_large}")
    if waited > STILL_S:
        return (f"LOST: a job of one task didn't begin for {waited:.1f} s in which nothing ran on any minion; "
                f"the store has refused {site.store.too_large} appends for their size")
    return None


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case, sides=SIDES))
