"""A task is done and started again: a minion's new life carries out a start that was meant for the life before."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from deployment import CannotRun, queue, run_case  # noqa: E402

SIDES = 6
ROUNDS = 3
FIRST_BEAT_S = 0.5  # of a new life; PROTOCOL: "roughly every `heartbeat_ms`", 1,500
WORK_MS = 100
ROUND_S = 18.0


def starts_after_noted_ends(site):
    """Returns the starts that follow a run of their task that ended `done`, if that end was taken note of."""
    found = []
    for noted, task, attempt, how in site.acknowledged:
        ended = [at for at, other, number, end in site.ends if (other, number, end) == (task, attempt, "done")]
        if how != "done" or not ended:
            continue
        for at, other, number, name in site.starts:
            if other == task and number > attempt and at > ended[0]:
                found.append(f"{task} run {attempt} ended done at {ended[0] - site.began:.3f} s and was taken note of at "
                             f"{noted - site.began:.3f} s, run {number} started at {at - site.began:.3f} s")
    return found


async def case(site, has_trouble):
    await site.start([queue()])
    await asyncio.sleep(2.0)
    for _ in range(ROUNDS):
        began = time.monotonic()
        if has_trouble:
            # One minion of six crashes, idle, and starts again under its id.
            restart = asyncio.ensure_future(site.minions[0].start_again(FIRST_BEAT_S))
            await asyncio.sleep(0.05)
        # A job of a task for each minion, so that the new life gets one of them.
        job = site.new_job([{"count": SIDES, "cpu": 1000, "mem_mb": 1000, "gpu": 8, "estimate_ms": WORK_MS}],
                           f"work={WORK_MS}")
        if await site.submit(0, job) != 200:
            raise CannotRun("a job isn't accepted")
        await asyncio.sleep(max(0.0, began + ROUND_S - time.monotonic()))
        if has_trouble:
            await restart
    await asyncio.sleep(3.0)
    found = starts_after_noted_ends(site)
    for text in found:
        site.note(text)
    return f"TWICE: {len(found)} times; {found[0]}" if found else None


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case, sides=SIDES, gpus=8, keeps_id=True))
