"""An engine that becomes cold again while it is cold gets more requests than a cold engine bears."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-2"))

from stand import BROKEN, HELD, TROUBLE, CannotRun, Fleet, config, route, run_case
from llm import CONTRACTS, WARMUP_S, LlmEngine, Traffic

ENGINES = [("a", "prefill"), ("b", "prefill"), ("c", "prefill"), ("b", "decode")]
# The bound of the rule: ramp_per_s x ramp_overage + ramp_slack, as in the settings and the configuration of the stand.
BOUND = 12 * 1.5 + 5


def busiest_second(times):
    """Returns the most arrivals within one second, and when that second began."""
    most, begin, first = 0, 0.0, 0
    for last, arrived in enumerate(times):
        while arrived - times[first] >= 1.0:
            first += 1
        if last - first + 1 > most:
            most, begin = last - first + 1, times[first]
    return most, begin


async def case(record):
    fleet = Fleet(record, routers=3, engines=ENGINES, engine_class=LlmEngine, contracts=CONTRACTS)
    try:
        await fleet.start(config([route(resumable=True)]))
        traffic = Traffic(fleet, clients=24, pause_s=0.15, tokens=LlmEngine.tokens)
        await asyncio.sleep(4)
        engine = LlmEngine(fleet, len(fleet.engines), "a", "decode")
        await engine.start()
        engine.become_cold()
        fleet.engines.append(engine)
        started = time.monotonic()
        record(f"platform: engine {engine.id} (decode) starts during traffic, ramp_left_ms {WARMUP_S * 1000:.0f}")
        await asyncio.sleep(WARMUP_S - 1)
        if TROUBLE:
            engine.become_cold()
            record(f"platform: engine {engine.id} becomes cold again, ramp_left_ms {WARMUP_S * 1000:.0f}")
        await asyncio.sleep(engine.cold_until - time.monotonic())
        record(f"platform: engine {engine.id} is warm")
        arrivals = [run.began for run in fleet.runs if run.engine is engine and run.began < engine.cold_until]
        all_runs = [run.began for run in fleet.runs if started <= run.began < engine.cold_until]
        await traffic.stop()
        most, begin = busiest_second(arrivals)
        halves = int((engine.cold_until - started) * 2 + 0.5)
        record("engine: requests in each half second while it was cold: "
               f"{[sum(1 for t in arrivals if started + k / 2 <= t < started + (k + 1) / 2) for k in range(halves)]}")
        record(f"engine: {most} requests in the busiest second, from {begin - started:.2f} s after its start; "
               f"the bound is {BOUND:.0f}")
        record(f"clients: {len(all_runs) / (engine.cold_until - started):.0f} requests a second, answers {traffic.answers}")
        if len(all_runs) < 100:
            raise CannotRun("too little traffic")
        return BROKEN if most > BOUND else HELD
    finally:
        await fleet.stop()


run_case(case, HERE)
