"""A version that nobody ordered gets the traffic of a service, once an earlier rollout was taken back."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-2"))

from stand import BROKEN, HELD, TROUBLE, CannotRun, Fleet, call, config, route, run_case
from llm import CONTRACTS, LlmEngine, Traffic, runs_by_version, start_version

ENGINES = [(zone, phase) for zone in "abc" for phase in ("prefill", "decode")]
ROLLOUT_S = 12


async def order_bad_version(fleet, record):
    """Brings in v2, which fails half of its requests, until it is taken back and has drained."""
    bad = await start_version(fleet, LlmEngine, "v2", failing_share=0.5)
    await asyncio.sleep(4)
    body = json.dumps({"service": fleet.service, "target_version": "v2", "duration_s": ROLLOUT_S}).encode()
    await fleet.operate("POST", "/rollouts", [("Content-Type", "application/json")], body)
    ordered = time.monotonic()
    record("operator: POST /rollouts, target_version v2: acknowledged")
    state = {}
    while state.get("oper_state") not in ("reverted", "complete"):
        if time.monotonic() > ordered + ROLLOUT_S + 10:
            raise CannotRun("the rollout of v2 does not end")
        await asyncio.sleep(0.3)
        status, _, body = await call(fleet.control(0), "GET", f"/rollouts/{fleet.service}")
        state = json.loads(body) if status == 200 else {}
    record(f"operator: GET /rollouts: {state.get('oper_state')} {time.monotonic() - ordered:.1f} s after the order; "
           f"runs by version meanwhile: {runs_by_version(fleet, ordered)}")
    if state["oper_state"] != "reverted":
        raise CannotRun("the bad version was not taken back")
    await asyncio.sleep(2)
    for engine in bad:
        engine.state = "draining"
    await asyncio.sleep(4)
    for engine in bad:
        engine.state = "gone"
        await engine.crash()
    record("platform: the engines of v2 have drained and are gone")


async def case(record):
    fleet = Fleet(record, routers=3, engines=ENGINES, engine_class=LlmEngine, contracts=CONTRACTS,
                  bounds={"exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000})
    try:
        await fleet.start(config([route(resumable=True)]))
        traffic = Traffic(fleet, clients=60, pause_s=0.5, tokens=LlmEngine.tokens)
        await asyncio.sleep(3)
        if TROUBLE:
            await order_bad_version(fleet, record)
        await asyncio.sleep(2)
        started = time.monotonic()
        await start_version(fleet, LlmEngine, "v3")
        record("platform: engines of v3 have started beside those of v1; no order names v3")
        await asyncio.sleep(10)
        runs = runs_by_version(fleet, started)
        await traffic.stop()
        record(f"engines: runs by version since v3 started: {runs}")
        record(f"clients: answers of the whole run: {traffic.answers}")
        if runs.get("v1", 0) < 100:
            raise CannotRun("too little traffic")
        return BROKEN if runs.get("v3", 0) > 0 else HELD
    finally:
        await fleet.stop()


run_case(case, HERE)
