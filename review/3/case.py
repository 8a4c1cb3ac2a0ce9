"""Case 3: an array of many small tasks; the reports of its machines pass 64 KiB and are refused."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
FOLDER = os.environ.get("RECORD_DIR", HERE)
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import Deployment, main, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE, ARRAY = "job-000301", "job-000302"
WATCHED_S = 80.0
MOST = 64 * 1024


class Case(Deployment):
    longest_line = 0
    refused = 0

    def run_s(self, load, job):
        return None if job["rig"] == "service" else 30.0

    def on_checkin(self, worker, node, report, sent_at, raw, body):
        longest = max(len(line) for line in raw.split(b"\n"))
        if longest > MOST:
            self.record("RULE", f"the answer of {node} to {worker.name} has a line of {longest} bytes")
        self.longest_line = max(self.longest_line, longest)

    def on_refusal(self, worker, node, report, answer):
        self.refused += bool(answer and answer[0] == 400)


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
        capacity={("oulu-halli", False): 4, ("kajaani-dc", False): 4, ("oulu-halli", True): 2,
                  ("kajaani-dc", True): 2},
    )
    await d.start()
    try:
        for node in d.nodes:
            d.start_node(node)
        await d.wait_for("a leader", d.leader, 20)
        await d.submit(SERVICE, rig="service", loads=2, cores=4.0, gpus=1.0, memory_gb=14.0, driftwood=False,
                       precedence="critical", passage_s=0.0)
        await d.wait_for("the replicas run", lambda: len(d.ledger.starts) >= 2, 30)
        await d.submit(ARRAY, loads=6000 if TROUBLE else 300, cores=0.01, gpus=0.0, memory_gb=0.02, passage_s=30.0)
        accepted_at, status = now(), None
        while now() < accepted_at + WATCHED_S:
            _, answer = await d.ask("berth-0", "GET", f"/submissions/{ARRAY}")
            d.record("user", f"asks for {ARRAY}: {answer}")
            status = (answer or {}).get("status")
            if status == "done":
                break
            await asyncio.sleep(2.0)
        again = sum(task.startswith(SERVICE) for _, task, _ in d.ledger.starts) - 2
        print(f"longest line of an answer to a worker: {d.longest_line} bytes, {MOST} are allowed")
        print(f"reports refused with 400: {d.refused}; replicas of {SERVICE} started again: {again}")
        print(f"{ARRAY}: {status} {now() - accepted_at:.1f} s after it was accepted; {len(d.done)} of its tasks completed")
        d.record("case", f"ended by themselves: {d.check_processes()}; {ARRAY} is {status}")
        return d.longest_line > MOST
    finally:
        d.stop()


main(case)
