"""Case 3: a machine fails one task; its job is never placed there again, although it has room and nothing else has."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
FOLDER = os.environ.get("RECORD_DIR", HERE)
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import Deployment, main, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE, SICK_S, BOUND_S = "tampere-halli", 3.0, 90.0
JOB = "job-000303"
# A task of `feeder-build` and one of `spi-review`.
BUILD = {"cargo": "feeder-build", "precedence": "normal", "cores": 8.0, "memory_gb": 14.0, "passage_s": 35.0,
         "logbook_s": 20.0, "stow_s": 2.0, "tide_s": 150.0, "quay": ZONE}
REVIEW = {"cargo": "spi-review", "precedence": "high", "cores": 2.0, "memory_gb": 5.2, "passage_s": 12.0, "quay": ZONE}


class Case(Deployment):
    sick = None

    def fails(self, worker, load):
        return worker.name == self.sick

    def run_s(self, load, job):
        return 40.0 if job["uid"] == "job-000300" else 12.0 if job["cargo"] == "spi-review" else 35.0


async def case():
    d = Case(
        folder=FOLDER,
        nodes={"berth-0": "tampere-halli", "berth-1": "hervanta-dc", "berth-2": "lempaala-varasto"},
        zones=["hervanta-dc", "lempaala-varasto", "tampere-halli"],
        workers={"report_s": 2.5, "lease_s": 16.0, "gang_wait_s": 35.0, "gang_peer_s": 6.0, "cancel_s": 36.0},
        state={"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 48},
        cloud={"rps": 6.0, "list_lag_s": 6.0},
        resources={"cpu": 0.12, "memory_mb": 104.0, "max_sockets": 1800},
        teams=[{"name": "kokoonpano-00", "cpus": 700.0, "cpus_max": 2500.0, "gpus": 0.0, "gpus_max": 0.0}],
        hulls=[{"label": "tina-16", "cores": 16.0, "gpus": 0.0, "memory_gb": 64.0, "cache_gb": 50.0,
                "pull_gb_per_s": 0.1, "hourly": 0.95, "spot_price": 0.4, "boot_s": 50.0,
                "quays": ["hervanta-dc", "lempaala-varasto", "tampere-halli"]}],
        # The cloud has one machine left in the zone.
        capacity={(ZONE, True): 1, (ZONE, False): 0},
    )
    await d.start()
    try:
        for node in d.nodes:
            d.start_node(node)
        await d.wait_for("a leader", d.leader, 10)
        await d.submit("job-000300", **REVIEW)
        await d.wait_for("the first task runs", lambda: d.ledger.starts, 15)
        machine = next(iter(d.cloud.machines))
        worker = d.cloud.machines[machine]["worker"]
        if TROUBLE:
            d.sick = machine
            d.record("TROUBLE", f"{machine} fails every task that it starts")
        await d.submit(JOB, **BUILD)
        await asyncio.sleep(SICK_S)
        if TROUBLE:
            await d.wait_for("the task has failed", lambda: d.ledger.starts[-1][1] == JOB + "/0", 10)
            await asyncio.sleep(1.0)
            d.sick = None
            d.record("TROUBLE", f"{machine} is sound again")
        over_at, room_since, others = now(), None, 0
        while now() < over_at + BOUND_S + 3.0:
            if now() >= over_at + 8.0 * others:  # other users' jobs go on coming
                others += 1
                await d.submit(f"job-{400 + others:06}", **REVIEW)
            running = bool(d.ledger.on.get(JOB + "/0"))
            if running or worker.dead or not worker.has_room(d.jobs[JOB]):
                room_since = None
            elif room_since is None:
                room_since = now()
            if running or room_since and now() >= room_since + BOUND_S:
                break
            await asyncio.sleep(0.25)
        waited = now() - room_since if room_since else 0.0
        status, answer = await d.ask("berth-1", "GET", f"/submissions/{JOB}")
        d.record("user", f"asks for {JOB}: {status} {answer}")
        _, view = await d.ask(await d.leader() or "berth-0", "GET", "/overview")
        listed = [job for job in (view or {}).get("jobs") or [] if job.get("job") == JOB]
        d.record("case", f"the leader says of it: {listed}")
        d.record("case", f"ended by themselves: {d.check_processes()}; {machine} has had room for {JOB}, which waits, "
                         f"for {waited:.1f} s")
        print(f"{len(d.done)} tasks of later jobs and the first one completed on {machine} meanwhile")
        print(f"{JOB} is {answer}; {machine} has had room for it for {waited:.1f} s ({BOUND_S} s allowed)")
        return waited >= BOUND_S
    finally:
        d.stop()


main(case)
