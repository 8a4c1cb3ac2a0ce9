"""Case 1: a zone is cut off twice within half a minute; a task starts on one machine while it is on another."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
FOLDER = os.environ.get("RECORD_DIR", HERE)
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import CannotRun, Deployment, main, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CUT_OFF = "kajaani-dc"
FIRST_CUT_S, SECOND_CUT_S = 25.0, 36.0
# The zone is connected in between for at least and at most so long.
CONNECTED_S = (1.2, 4.0)


class Case(Deployment):
    def run_s(self, load, job):
        return 250.0


async def case():
    d = Case(
        folder=FOLDER,
        nodes={"berth-0": "oulu-halli", "berth-1": "kajaani-dc", "berth-2": "oulu-halli"},
        zones=["kajaani-dc", "oulu-halli"],
        workers={"report_s": 3.0, "lease_s": 17.5, "gang_wait_s": 45.0, "gang_peer_s": 6.0, "cancel_s": 47.5},
        state={"rps": 600.0, "write_rps": 150.0, "value_kb": 8.0, "txn_ops": 12},
        cloud={"rps": 4.0, "list_lag_s": 8.0},
        resources={"cpu": 0.144, "memory_mb": 188.0, "max_sockets": 2831},
        teams=[{"name": "paneeli", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
        hulls=[{"label": "vasara-12", "cores": 12.0, "gpus": 2.0, "memory_gb": 48.0, "cache_gb": 90.0,
                "pull_gb_per_s": 0.5, "hourly": 4.16, "spot_price": 1.01, "boot_s": 30.0,
                "quays": ["kajaani-dc", "oulu-halli"]}],
        # Few machines are to be had in the zone that stays connected, until the jobs are placed.
        capacity={("oulu-halli", True): 4, ("kajaani-dc", True): 24, ("kajaani-dc", False): 0,
                  ("oulu-halli", False): 0},
    )
    await d.start()
    try:
        await first_leader(d, "berth-1", "berth-2")
        d.start_node("berth-0")
        await d.submit("job-000101", loads=56, cores=5.0, gpus=1.0, memory_gb=18.0, passage_s=250.0)
        await d.wait_for("56 tasks run", lambda: sum(map(len, d.ledger.on.values())) == 56, 30)
        await asyncio.sleep(4.0)
        d.capacity.update({("oulu-halli", True): 40, ("oulu-halli", False): 40})
        d.record("case", f"leader {await d.leader()}; machines " + str(
            {zone: sum(m["quay"] == zone for m in d.cloud.machines.values()) for zone in d.zones}))
        if TROUBLE:
            d.cut_zone(CUT_OFF, up=False)
            await asyncio.sleep(FIRST_CUT_S)
            d.cut_zone(CUT_OFF, up=True)
            await connected(d)
            d.cut_zone(CUT_OFF, up=False)
            await asyncio.sleep(SECOND_CUT_S)
            d.cut_zone(CUT_OFF, up=True)
            await asyncio.sleep(3.0)
        else:
            await asyncio.sleep(FIRST_CUT_S + CONNECTED_S[0] + SECOND_CUT_S + 3.0)
        ended = d.check_processes()
        d.record("case", f"ended by themselves: {ended}; ran_twice: {len(d.ledger.twice)}")
        for task, where, starts, at in d.ledger.twice:
            print(f"ran_twice: {task} started on {starts} while it was on {where}, {d.record.time(at)} s")
        return bool(d.ledger.twice)
    finally:
        d.stop()


async def connected(d):
    """Lets the zone be connected until a few machines of it have had an answer of the new leader and not reported since. Each
    machine is in that state for half a second, once, within some three seconds; else the time runs out."""
    began_at = now()
    await asyncio.sleep(CONNECTED_S[0])
    while now() < began_at + CONNECTED_S[1]:
        workers = [machine["worker"] for machine in d.cloud.machines.values() if machine["quay"] == CUT_OFF]
        newest = max(worker.helm for worker in workers)
        between = [worker.name for worker in workers if worker.tasks and worker.helm == newest > worker.reported_helm]
        if len(between) >= (3 if now() < began_at + 2.0 else 2 if now() < began_at + 3.0 else 1):
            d.record("case", f"connected for {now() - began_at:.3f} s; between their first two reports: {between}")
            return
        await asyncio.sleep(0.02)


async def first_leader(d, wanted, other):
    """Starts two controllers of an empty deployment so that `wanted`, the one in the smaller zone, leads."""
    for _ in range(5):
        d.start_node(wanted)
        await asyncio.sleep(3.0)
        d.start_node(other)
        if await d.wait_for("a leader", d.leader, 20) == wanted:
            return
        d.kill_node(wanted)
        d.kill_node(other)
        d.state.keys.clear()
        d.state.permits.clear()
    raise CannotRun(f"{wanted} does not lead")


main(case)
