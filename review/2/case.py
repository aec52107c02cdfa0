"""Clients get 504 for their jobs, cancel them, and are told that there is no such job. Then some of the jobs run."""

import asyncio
import pathlib
import time

from deployment import BOUNDS, CannotRun, Site, job, route, run, step, tenant

SWEEP = route("r-3ajwyy7", "/pule252/", 2, 3.0, 3000)
KEY = "d4a3hwrr6x73d3zji9n7"
# An expiry sweep of two steps; the second one starts once the first one is done.
BODY = job(9500, [step(1, 11_000, 16_000, 1, 9500), step(1, 11_000, 16_000, 1, 9500, depends_on=[0])])
# The store is silent three times. Jobs are handed in right after it has become so.
DOWN_S = [1.6, 1.7, 1.8]
# The second step of a job is due 8.1 to 10.9 s after its first one: before the store is silent again.
PERIOD_S = 14.0
JOBS_EACH = 9
WATCH_S = 2.0
ENTRIES = 3


async def hand_in_and_cancel(site, identity, entry, delay, cancelled, answers):
    await asyncio.sleep(delay)
    status, _ = await site.client(entry, "POST", SWEEP, identity, KEY, BODY)
    answers[identity] = status
    # The client gives up instead of handing the job in again, and cancels it at another daemon.
    for _ in range(4):
        status, _ = await site.client((entry + 1) % ENTRIES, "DELETE", SWEEP, identity, KEY)
        if status in (200, 410):
            cancelled[identity] = (time.monotonic(), status)
            return
        await asyncio.sleep(0.1)


async def case(site, trouble):
    cancelled, answers, outages = {}, {}, []
    for number, down_s in enumerate(DOWN_S):
        began = time.monotonic()
        if trouble:
            site.store.is_down = True
            site.log("trouble: the store is silent")
        clients = [
            asyncio.create_task(hand_in_and_cancel(
                site, f"{number:08x}{index:08x}", index % ENTRIES, 0.04 * index, cancelled, answers))
            for index in range(JOBS_EACH)
        ]
        await asyncio.sleep(down_s)
        if trouble:
            site.store.is_down = False
            outages.append((began, time.monotonic()))
            site.log(f"trouble is over: {site.store.unanswered} calls got no answer so far")
        await asyncio.gather(*clients)
        await asyncio.sleep(max(0.0, began + PERIOD_S - time.monotonic()))
    await asyncio.sleep(WATCH_S)
    if not cancelled:
        raise CannotRun("no cancelling was acknowledged")

    def in_touch(at):
        """The core stayed stable for `contact_ms`, which takes twice that time without a disruption of the store."""
        return all(at < began or at > ended + 2 * BOUNDS["contact_ms"] / 1000 for began, ended in outages)

    broken = []
    for identity, (acknowledged, status) in sorted(cancelled.items()):
        rows = site.history_of(identity)
        site.log(f"job {identity}: POST answered {answers[identity]}, DELETE answered {status}, "
                 f"{sum(row[3] == 'started' for row in rows)} starts, {sum(row[3] == 'done' for row in rows)} done")
        for at, task, attempt, what in rows:
            late_ms = (at - acknowledged) * 1000
            if what == "started" and late_ms > BOUNDS["cancel_ms"] and in_touch(at):
                broken.append(f"UNASKED: {task} run {attempt} was started {late_ms:.0f} ms after the cancelling of its job "
                              f"was acknowledged with {status} (cancel_ms is {BOUNDS['cancel_ms']})")
    first = min(cancelled)
    await site.client(2, "GET", SWEEP, first, KEY)
    return broken


run(case, Site(pathlib.Path(__file__).parent, [SWEEP], [tenant("kaje80", KEY, 16)]))
