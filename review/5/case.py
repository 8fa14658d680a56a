"""A version that nobody ordered gets the traffic of a zone, once a controller was killed and has started again."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-2"))

from stand import BROKEN, HELD, TROUBLE, CannotRun, Fleet, config, route, run_case
from llm import CONTRACTS, LlmEngine, Traffic, runs_by_version, start_version

ENGINES = [(zone, phase) for zone in "abc" for phase in ("prefill", "decode")]
OLD, NEW = "v9", "v10"


class OldEngine(LlmEngine):
    version = OLD


async def case(record):
    fleet = Fleet(record, routers=7, engines=ENGINES, engine_class=OldEngine, contracts=CONTRACTS,
                  bounds={"exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000})
    try:
        await fleet.start(config([route(resumable=True)]))
        traffic = Traffic(fleet, clients=60, pause_s=0.5, tokens=LlmEngine.tokens)
        await asyncio.sleep(3)
        started = time.monotonic()
        await start_version(fleet, LlmEngine, NEW)
        record(f"platform: engines of {NEW} have started beside those of {OLD}, as many; no order names {NEW}")
        await asyncio.sleep(6)
        record(f"engines: runs by version since: {runs_by_version(fleet, started)}")
        killed = time.monotonic()
        if TROUBLE:
            fleet.controllers[0].kill()
            await asyncio.sleep(0.3)
            fleet.controllers[0].restart()
            record("platform: the controller of zone a was killed (SIGKILL) and started again 0.3 s later")
        await asyncio.sleep(12)
        runs = runs_by_version(fleet, started)
        await traffic.stop()
        record(f"engines: runs by version since {NEW} started: {runs}; the last 12 s: {runs_by_version(fleet, killed)}")
        record(f"clients: answers of the whole run: {traffic.answers}")
        if runs.get(OLD, 0) < 100:
            raise CannotRun("too little traffic")
        return BROKEN if runs.get(NEW, 0) > 0 else HELD
    finally:
        await fleet.stop()


run_case(case, HERE)
