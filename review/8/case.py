"""Jobs that were only assigned to a lost minion aren't counted as pending, though none of their tasks has begun."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from deployment import PREFIX, CannotRun, queue, run_case  # noqa: E402

SIDES = 6
JOBS = 6
VISIBLE_S = 3.0 + 2.0  # RULES: accepted over `visible_ms` + 2 s before
WATCH_S = 9.0


async def fill(site):
    """Fills all minions but one with work, and returns the one that is left."""
    for index in range(SIDES - 1):
        job = site.new_job([{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 8,
                             "estimate_ms": 90000}], "work=90000")
        if await site.submit(index % 2, job) != 200:
            raise CannotRun("a job that fills a minion isn't accepted")

    async def is_full():
        return len(site.starts) == SIDES - 1

    await site.until(is_full, 15, "the minions aren't full")
    busy = {minion for _, _, _, minion in site.starts}
    return next(minion for minion in site.minions if minion.name not in busy)


async def case(site, has_trouble):
    await site.start([queue()])
    idle = await fill(site)
    await asyncio.sleep(2.0)
    if has_trouble:
        await idle.crash()
    accepted = {}
    for index in range(JOBS):
        job = site.new_job([{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1,
                             "estimate_ms": 3000}], "work=3000")
        if await site.submit(index % 2, job) == 200:
            accepted[job] = time.monotonic()
    if len(accepted) < JOBS:
        raise CannotRun("the jobs aren't accepted")
    broken, end = [], time.monotonic() + WATCH_S
    while time.monotonic() < end:
        await asyncio.sleep(0.25)
        for entry in range(2):
            sent = time.monotonic()
            status, answer = await site.ask(entry, "GET", PREFIX)
            # Jobs that were accepted long enough before the call, and hadn't begun when it was answered.
            due = [job for job, at in accepted.items() if sent - at > VISIBLE_S and not site.begun(job)]
            if status == 200 and due:
                pending = json.loads(answer)["pending"]
                site.note(f"pending={pending}, accepted over {VISIBLE_S} s before and not begun: {len(due)}")
                if pending * 2 < len(due):
                    broken.append((entry, pending, len(due)))
    if broken:
        entry, pending, due = broken[0]
        return (f"MIXED: edge-{entry + 1} gives pending={pending} while {due} such jobs haven't begun "
                f"({len(broken)} answers)")
    return None


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case, sides=SIDES))
