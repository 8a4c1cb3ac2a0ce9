"""Case 3: the leader is cut from the state service and the other controllers; it starts tasks of a cancelled job."""

import asyncio
import math
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
FOLDER = os.environ.get("RECORD_DIR", HERE)
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import Deployment, main, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "job-000201"


class Case(Deployment):
    confirmed_at = None
    late = ()

    def run_s(self, load, job):
        return min(6.0, random.lognormvariate(math.log(4.0), 0.16))  # median 4 s, 95% within 5.2 s

    def on_checkin(self, worker, node, report, sent_at, raw, body):
        """Starts that were decided after the confirmation: the report that they answer was sent after it."""
        if self.confirmed_at is None or sent_at <= self.confirmed_at or body.get("helm", 0) < worker.helm:
            return
        for command in body.get("signals", []):
            if command["signal"] == "run" and command["load"].startswith(JOB + "/"):
                self.late += ((command["load"], worker.name, node, sent_at - self.confirmed_at),)
                self.record("RULE", f"{node} starts {command['load']} on {worker.name} in answer to a report that was "
                                    f"sent {sent_at - self.confirmed_at:.3f} s after the cancellation was confirmed")


async def case():
    d = Case(
        folder=FOLDER,
        nodes={"berth-0": "oulu-halli", "berth-1": "kajaani-dc", "berth-2": "oulu-halli"},
        zones=["kajaani-dc", "oulu-halli"],
        workers={"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 45.0, "gang_peer_s": 6.0, "cancel_s": 40.0},
        state={"rps": 150.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 12},
        cloud={"rps": 2.0, "list_lag_s": 8.0},
        resources={"cpu": 0.04, "memory_mb": 56.0, "max_sockets": 800},
        teams=[{"name": "paneeli", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
        hulls=[{"label": "vasara-12", "cores": 12.0, "gpus": 2.0, "memory_gb": 48.0, "cache_gb": 90.0,
                "pull_gb_per_s": 0.5, "hourly": 4.16, "spot_price": 1.01, "boot_s": 30.0,
                "quays": ["kajaani-dc", "oulu-halli"]}],
        capacity={("oulu-halli", True): 5, ("kajaani-dc", True): 5, ("kajaani-dc", False): 0,
                  ("oulu-halli", False): 0},
    )
    await d.start()
    try:
        for node in d.nodes:
            d.start_node(node)
        await d.wait_for("a leader", d.leader, 20)
        await d.submit(JOB, loads=5000, cores=1.0, gpus=0.0, memory_gb=0.9, passage_s=4.0)
        await d.wait_for("700 tasks were started", lambda: len(d.ledger.starts) >= 700, 75)
        leader = await d.leader()
        other = next(node for node in d.nodes if node != leader)
        if TROUBLE:
            d.cut_node(leader, ("state", "peers"), up=False)
        asked_at = now()
        while now() < asked_at + 30:
            status, answer = await d.ask(other, "POST", f"/submissions/{JOB}/withdraw", timeout=5.0)
            d.record("user", f"withdraw {JOB} at {other}: {status} {answer}")
            if status == 200:
                break
            await asyncio.sleep(1.0)
        d.confirmed_at = now()
        await asyncio.sleep(8.0)
        if TROUBLE:
            d.cut_node(leader, ("state", "peers"), up=True)
        await asyncio.sleep(5.0)
        d.record("case", f"ended by themselves: {d.check_processes()}; starts after the confirmation: {len(d.late)}")
        for load, machine, node, after in d.late[-3:]:
            print(f"{node} started {load} on {machine}, answering a report sent {after:.3f} s after the confirmation")
        print(f"starts decided after the confirmed cancellation: {len(d.late)}")
        return bool(d.late)
    finally:
        d.stop()


main(case)
