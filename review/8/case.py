"""A job stands still beside two idle minions on a fleet that is nearly empty, since they are kept for urgent work."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from deployment import PREFIX, CannotRun, queue, run_case  # noqa: E402

SIDES = 14
GPUS = 8
SPREAD = 12
STILL_S = 3.0  # RULES: "for 3 s, a job has nothing running"
FINISH_S = 14.0  # `finish_s`
WATCH_S = 45.0


async def case(site, has_trouble):
    await site.start([queue(priority=1, skew=3.0)])
    await asyncio.sleep(4.0)
    if has_trouble:
        # One small task a minion, as callers ask for who want to survive the loss of a machine.
        spread = site.new_job([{"count": SPREAD, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "anti_affinity": 1,
                                "estimate_ms": 100_000}], "work=100000")
        if await site.submit(0, spread) != 200:
            raise CannotRun("the spread job isn't accepted")

        async def is_spread():
            return len(site.starts) == SPREAD

        await site.until(is_spread, 10, "the spread job doesn't start")
    await asyncio.sleep(2.0)
    job = site.new_job([{"count": 1, "cpu": 52000, "mem_mb": 110000, "gpu": GPUS,
                         "estimate_ms": 30_000}], "work=2000")
    if await site.submit(1, job) != 200:
        raise CannotRun("the job isn't accepted")
    accepted = time.monotonic()
    while time.monotonic() < accepted + WATCH_S and not site.begun(job):
        await asyncio.sleep(0.1)
        idle = sum(not each.running for each in site.minions)
        used = sum(site.demand_of(run.task) for each in site.minions for run in each.running.values())
        if not site.begun(job) and (idle < 2 or used * 2 >= SIDES * GPUS):
            raise CannotRun("there isn't room for the job twice over on a fleet that is half empty")
    waited = time.monotonic() - accepted
    _, answer = await site.ask(0, "GET", PREFIX + job)
    site.note(f"the job waited {waited:.1f} s, state {json.loads(answer)['state']}")
    # From `finish_s` after the traffic has ended, a job may not stand still for 3 s beside such room.
    if waited > FINISH_S + STILL_S:
        return (f"LOST: a job had nothing running for {waited:.1f} s beside two idle minions with room for it each, "
                f"{SPREAD} of {SIDES * GPUS} GPUs in use")
    return None


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case, sides=SIDES, gpus=GPUS))
