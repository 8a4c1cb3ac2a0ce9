"""Stand-ins for the state service, the cloud, the workers and the network of a small deployment.

They follow PROTOCOL-dockpier.md. Everything listens on loopback addresses and runs in one process with the real
clock; the controllers are separate processes, started with the run command of deploy/service.toml. Only the standard
library is used.

`Deployment` starts all of it. A `Link` is one path of the network (from a controller, or from the workers of a zone, to
one server); it can be cut. While it is cut, packets are held and delivered in order when the cut ends; a connection
attempt that was given up during the cut never completes.
"""

import asyncio
import ctypes
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def now():
    return time.monotonic()


LIBC = ctypes.CDLL(None)


def end_with_parent():
    """In a new process: it is killed when this one ends, however that happens (PR_SET_PDEATHSIG)."""
    LIBC.prctl(1, signal.SIGKILL)


class CannotRun(Exception):
    """The case could not be set up."""


# ---------------------------------------------------------------------------------------------------------- record

class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.started_at = now()
        self.file = open(path, "w", encoding="utf-8", buffering=1)

    def __call__(self, who, what):
        self.file.write(f"{now() - self.started_at:8.3f} {who:12} {what}\n")

    def time(self, at):
        return f"{at - self.started_at:.3f}"


# ------------------------------------------------------------------------------------------------------------ HTTP

class Reply(Exception):
    def __init__(self, status, body):
        super().__init__(status)
        self.status, self.body = status, body


async def read_message(reader):
    """The first line, the headers and the body; None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line.decode("latin-1").strip(), headers, body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


async def serve_http(host, handler):
    """Serves `handler(method, path, query, body) -> (status, JSON)`; returns the server and its address."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                path, _, query_text = target.partition("?")
                query = dict(part.partition("=")[::2] for part in query_text.split("&") if part)
                try:
                    parsed = json.loads(body) if body else None
                    answer = await handler(method, path, query, parsed)
                    if answer is None:  # no answer: the connection stays open and silent
                        await asyncio.sleep(3600)
                    status, value = answer
                except Reply as reply:
                    status, value = reply.status, reply.body
                except (json.JSONDecodeError, KeyError, TypeError, ValueError) as error:
                    status, value = 400, {"error": repr(error)}
                data = json.dumps(value).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n" \
                       f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, 0, limit=1 << 22)
    return server, server.sockets[0].getsockname()[:2]


class Client:
    """One HTTP connection at a time to one address, kept open between requests."""

    def __init__(self, address):
        self.address, self.streams = address, None

    def close(self):
        if self.streams:
            self.streams[1].close()
        self.streams = None

    async def ask(self, method, path, body, timeout):
        """Status and raw body; None: no response within `timeout`, or the connection failed."""
        try:
            async with asyncio.timeout(timeout):
                if self.streams is None:
                    self.streams = await asyncio.open_connection(*self.address, limit=1 << 22)
                reader, writer = self.streams
                data = json.dumps(body).encode() if body is not None else b""
                writer.write(f"{method} {path} HTTP/1.1\r\nhost: dockpier\r\ncontent-type: application/json\r\n"
                             f"content-length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                message = await read_message(reader)
                if message is None:
                    raise ConnectionError("closed")
                line, headers, answer = message
                if headers.get("connection", "").lower() == "close":
                    self.close()
                return int(line.split(" ")[1]), answer
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError, IndexError):
            self.close()
            return None


# --------------------------------------------------------------------------------------------------------- network

class Link:
    """A path of the network to one server, as a proxy that can be cut."""

    def __init__(self, target):
        self.target = target
        self.up = asyncio.Event()
        self.up.set()
        self.address = None

    async def start(self, host):
        server = await asyncio.start_server(self._connection, host, 0)
        self.address = server.sockets[0].getsockname()[:2]
        return self

    def cut(self):
        self.up.clear()

    def heal(self):
        self.up.set()

    async def _connection(self, reader, writer):
        early = b""
        if not self.up.is_set():
            # An attempt during a cut: it completes only if the client still waits when the cut ends.
            healed = asyncio.ensure_future(self.up.wait())
            while not healed.done():
                read = asyncio.ensure_future(reader.read(65536))
                await asyncio.wait({healed, read}, return_when=asyncio.FIRST_COMPLETED)
                if not read.done():
                    # The cut has ended: wait for what the client sends, below.
                    data_later = read
                    break
                data = self._result(read)
                if not data:
                    healed.cancel()
                    writer.close()
                    return
                early += data
                data_later = None
            else:
                data_later = None
        else:
            data_later = None
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        if early:
            far_writer.write(early)
        await asyncio.gather(self._pump(reader, far_writer, data_later), self._pump(far_reader, writer, None))

    @staticmethod
    def _result(future):
        try:
            return future.result()
        except OSError:
            return b""

    async def _pump(self, reader, writer, pending):
        try:
            while True:
                data = await (pending or reader.read(65536))
                pending = None
                await self.up.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            await self.up.wait()
            writer.close()


# --------------------------------------------------------------------------------------------------- state service

class StateService:
    def __init__(self, limits, record):
        self.limits, self.record = limits, record
        self.ledger, self.keys, self.changes = 0, {}, []  # keys: path -> (value, entry, permit)
        self.permits, self.next_permit = {}, 0  # permit -> [ends, life]
        self.changed = asyncio.Condition()
        self.out = False
        self.late = None  # called with a transaction: seconds by which it is carried out late, without an answer
        self.tokens = {"rps": float(limits["rps"]), "write_rps": float(limits["write_rps"])}
        self.refilled_at = now()

    def spend(self, name, amount):
        at = now()
        for limit in self.tokens:
            rate = self.limits[limit]
            self.tokens[limit] = min(rate, self.tokens[limit] + rate * (at - self.refilled_at))
        self.refilled_at = at
        if self.tokens[name] < amount:
            raise Reply(429, {"error": "too many"})
        self.tokens[name] -= amount

    async def keep(self):
        while True:
            await asyncio.sleep(0.05)
            if not self.out:
                for permit, (ends, _) in list(self.permits.items()):
                    if now() >= ends:
                        await self.end(permit)

    def set_out(self, out):
        if self.out and not out:  # every lease has its full time again
            for permit in self.permits.values():
                permit[0] = now() + permit[1]
        self.out = out

    async def end(self, permit):
        self.permits.pop(permit, None)
        gone = [path for path, (_, _, held_by) in self.keys.items() if held_by == permit]
        if gone:
            await self.apply([{"remove": path} for path in gone])

    async def apply(self, then):
        self.ledger += 1
        for change in then:
            if "write" in change:
                self.keys[change["write"]] = (change["value"], self.ledger, change.get("permit"))
                self.changes.append((self.ledger, {"write": change["write"], "value": change["value"],
                                                   "entry": self.ledger}))
            elif self.keys.pop(change["remove"], None):
                self.changes.append((self.ledger, {"remove": change["remove"], "entry": self.ledger}))
        del self.changes[:-10_000]
        async with self.changed:
            self.changed.notify_all()

    async def transact(self, body):
        when, then = body.get("when", []), body.get("then", [])
        size = len(json.dumps(body))
        ops, value = self.limits["txn_ops"], self.limits["value_kb"] * 1024
        if len(then) > ops or len(when) > 4 * ops or size > 65536:
            raise Reply(400, {"error": "too large"})
        for change in then:
            if "write" in change and len(json.dumps(change["value"], separators=(",", ":"))) > value:
                raise Reply(400, {"error": "value too large"})
            if change.get("permit") is not None and change["permit"] not in self.permits:
                raise Reply(400, {"error": "no such lease"})
        if then:
            self.spend("write_rps", len(then))
        failed = [c["path"] for c in when if self.keys.get(c["path"], (0, 0, 0))[1] != c["entry"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if then:
            await self.apply(then)
        return 200, {"ledger": self.ledger}

    def handler(self, node):
        async def handle(method, path, query, body):
            await asyncio.sleep(0.004)
            if self.out and path == "/follow" and int(query.get("wait_ms", "0")) > 0:
                await asyncio.sleep(int(query["wait_ms"]) / 1000)
            if self.out:
                return 503, {"error": "trouble"}
            self.spend("rps", 1)
            return await self.request(node, method, path, query, body)
        return handle

    async def request(self, node, method, path, query, body):
        if method == "GET" and path.startswith("/store/"):
            found = self.keys.get(path.removeprefix("/store/"))
            if not found:
                return 404, {"ledger": self.ledger}
            return 200, {"path": path.removeprefix("/store/"), "value": found[0], "entry": found[1],
                         "permit": found[2]}
        if method == "GET" and path == "/store":
            after = sorted(key for key in self.keys
                           if key.startswith(query["prefix"]) and key > query.get("from", ""))
            limit = min(int(query.get("limit", "1000")), 1000)
            items = [{"path": key, "value": self.keys[key][0], "entry": self.keys[key][1]}
                     for key in after[:limit]]
            return 200, {"items": items, "has_next": len(after) > limit, "ledger": self.ledger}
        if method == "POST" and path == "/multi":
            return await self.transact(body)
        if method == "POST" and path == "/grants":
            self.next_permit += 1
            life = body["life_ms"] / 1000
            self.permits[self.next_permit] = [now() + life, life]
            return 200, {"permit": self.next_permit}
        if path.startswith("/grants/"):
            permit = int(path.split("/")[2])
            if permit not in self.permits:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                await self.end(permit)
            else:
                self.permits[permit][0] = now() + self.permits[permit][1]
            return 200, {"permit": permit}
        if method == "GET" and path == "/follow":
            since, until = int(query["from"]), now() + int(query.get("wait_ms", "0")) / 1000
            while True:
                if self.changes and since < self.changes[0][0] - 1 and len(self.changes) >= 10_000:
                    return 410, {"error": "too old"}
                events = [change for at, change in self.changes if at > since
                          and (change.get("write") or change.get("remove")).startswith(query["prefix"])]
                left = until - now()
                if events or left <= 0:
                    if self.out:
                        return 503, {"error": "trouble"}
                    return 200, {"ledger": self.ledger, "events": events}
                async with self.changed:
                    try:
                        async with asyncio.timeout(left):
                            await self.changed.wait()
                    except TimeoutError:
                        pass
        return 400, {"error": "no such request"}


# ----------------------------------------------------------------------------------------------------------- cloud

class Cloud:
    """Rents machines that are up within two seconds; the list lags by `list_lag_s`."""

    def __init__(self, catalog, capacity, list_lag_s, record, start_worker):
        self.catalog, self.capacity, self.lag = catalog, capacity, list_lag_s  # capacity: (zone, spot) -> count
        self.record, self.start_worker = record, start_worker
        self.charters, self.machines, self.made = {}, {}, 0  # name -> {..., "rented_at", "worker"}
        self.gone = {}

    def rent(self, hull, quay, spot):
        self.made += 1
        name = f"m-{self.made:06}"
        self.machines[name] = {"uid": name, "hull": hull, "quay": quay, "driftwood": spot, "rented_at": now(),
                               "worker": None, "address": ""}
        asyncio.ensure_future(self._boot(name))
        return name

    async def _boot(self, name):
        worker = await self.start_worker(self.machines[name])
        if name in self.machines:
            self.machines[name]["worker"] = worker
            self.machines[name]["up_at"] = now()
        else:
            worker.destroy()

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.02)
        if method == "GET" and path == "/catalog":
            return 200, self.catalog
        if method == "POST" and path == "/rentals":
            charter, place = body["charter"], (body["quay"], body["driftwood"])
            if charter in self.charters:
                return 200, {"vessels": self.charters[charter]}
            used = sum(1 for m in self.machines.values() if (m["quay"], m["driftwood"]) == place)
            room = min(self.capacity.get(place, 0) - used, body["how_many"], 50)
            if room <= 0:
                return 503, {"error": "no capacity"}
            names = [self.rent(body["hull"], *place) for _ in range(room)]
            self.charters[charter] = names
            self.record("cloud", f"rented {names} in {place}")
            return 200, {"vessels": names}
        if method == "POST" and path == "/rentals/delete":
            for name in body["vessels"]:
                machine = self.machines.pop(name, None)
                if machine:
                    self.record("cloud", f"deleted {name}")
                    self.gone[name] = (machine, now())
                    if machine["worker"]:
                        machine["worker"].destroy()
            return 200, {}
        if method == "GET" and path == "/rentals":
            as_of = now() - self.lag
            listed = {}
            for name, machine in self.machines.items():
                if machine["rented_at"] <= as_of:
                    listed[name] = machine
            for name, (machine, at) in self.gone.items():
                if machine["rented_at"] <= as_of < at:
                    listed[name] = machine
            names = sorted(name for name in listed if name > query.get("from", ""))
            limit = min(int(query.get("limit", "500")), 500)
            items = [{"uid": name, "address": listed[name]["address"], "hull": listed[name]["hull"],
                      "quay": listed[name]["quay"], "driftwood": listed[name]["driftwood"],
                      "status": "running" if listed[name].get("up_at", as_of + 1) <= as_of else "booting",
                      "age_s": as_of - listed[name]["rented_at"]} for name in names[:limit]]
            return 200, {"vessels": items, "has_next": len(names) > limit}
        return 400, {"error": "no such request"}


# --------------------------------------------------------------------------------------------------------- workers

class Ledger:
    """The tasks as the machines themselves see them: judged by the rules of PROTOCOL."""

    def __init__(self, record):
        self.record = record
        self.on = {}  # task -> {machine: since}
        self.twice = []  # (task, machine where it was, machine where it starts, at)
        self.starts = []  # (at, task, machine)

    def begins(self, task, machine):
        others = [other for other in self.on.get(task, {}) if other != machine]
        self.on.setdefault(task, {})[machine] = now()
        self.starts.append((now(), task, machine))
        self.record(machine, f"{task} is on the machine")
        for other in others:
            self.twice.append((task, other, machine, now()))
            self.record("RULE", f"ran_twice: {task} starts on {machine} while it is on {other}")

    def ends(self, task, machine, why):
        if self.on.get(task, {}).pop(machine, None) is not None:
            self.record(machine, f"{task} is gone: {why}")


class Worker:
    """One machine's worker. `routes`: node -> address of its controller port as seen from this machine's zone."""

    def __init__(self, machine, deployment):
        self.d, self.machine, self.name = deployment, machine, machine["uid"]
        self.watch, self.tally, self.helm, self.reported_helm = 1, 0, 0, 0
        self.tasks = {}  # (load, launch) -> {status, cause}
        self.images = set()
        self.fetching = {}
        self.lease_from = now()
        self.wake = asyncio.Event()
        self.dead = False
        self.helm_change_at = -1e9
        self.jobs = []

    async def start(self, host):
        self.server, self.address = await serve_http(host, self.handle_direct)
        self.machine["address"] = f"{self.address[0]}:{self.address[1]}"
        for coroutine in (self.report_loop(), self.lease_loop()):
            self.jobs.append(asyncio.ensure_future(coroutine))
        return self

    def destroy(self):
        """The machine is gone, with everything on it."""
        self.dead = True
        for load, _ in list(self.tasks):
            self.d.ledger.ends(load, self.name, "the machine is gone")
        self.tasks = {}
        for job in self.jobs:
            job.cancel()
        self.server.close()

    # ---- the lease

    async def lease_loop(self):
        while True:
            left = self.lease_from + self.d.workers["lease_s"] - now()
            if left > 0:
                await asyncio.sleep(left)
                continue
            if self.tasks:
                self.d.record(self.name, f"lease expired in session {self.watch}: all tasks killed")
            for load, _ in list(self.tasks):
                self.d.ledger.ends(load, self.name, "killed with the lease")
            self.tasks = {}
            self.watch += 1
            self.lease_from = now()
            self.wake.set()

    # ---- reports

    def report(self):
        self.tally += 1
        loads = []
        for (load, launch), task in self.tasks.items():
            entry = {"load": load, "launch": launch, "status": task["status"]}
            if task["cause"]:
                entry["cause"] = task["cause"]
            if task.get("saved"):
                entry["saved"] = True
            loads.append(entry)
        return {"vessel": self.name, "address": self.machine["address"], "hull": self.machine["hull"],
                "quay": self.machine["quay"], "driftwood": self.machine["driftwood"], "watch": self.watch,
                "tally": self.tally, "helm": self.helm, "recall_s": None, "loads": loads}

    def brief(self, report):
        return f"{report['watch']}/{report['tally']} (helm {report['helm']}, {len(report['loads'])} loads)"

    async def report_loop(self):
        nodes = list(self.d.node_names)
        at = random.randrange(len(nodes))
        client, client_node = None, None
        interval = self.d.workers["report_s"]
        next_at, last_at = now() + random.uniform(0, 0.3), -1e9
        while True:
            while True:  # until the report is due, or something has changed
                due = max(next_at, last_at + 0.5) if not self.wake.is_set() else last_at + 0.5
                if now() >= due:
                    break
                try:
                    async with asyncio.timeout(max(due - now(), 0.001)):
                        if self.wake.is_set():
                            await asyncio.sleep(60)
                        await self.wake.wait()
                except TimeoutError:
                    pass
            self.wake.clear()
            node = nodes[at % len(nodes)]
            if client_node != node:
                if client:
                    client.close()
                client, client_node = Client(self.d.route(self.machine["quay"], node)), node
            sent_at, watch = now(), self.watch
            report = self.report()
            self.reported_helm = self.helm
            last_at = sent_at
            next_at = sent_at + interval * random.uniform(0.75, 1.25)
            answer = await client.ask("POST", "/checkin", report, 4.0)
            if watch != self.watch:
                continue  # responses to reports of an earlier session are dropped
            status = answer[0] if answer else None
            if status == 200:
                body = json.loads(answer[1])
                self.d.on_checkin(self, node, report, sent_at, answer[1], body)
                helm = body.get("helm")
                self.d.record(self.name, f"report {self.brief(report)} to {node}: 200, helm {helm}, "
                                         f"{len(body.get('signals', []))} signals")
                if helm is None or helm < self.helm:
                    self.d.record(self.name, f"dropped an answer of {node} under {helm}, highest {self.helm}")
                    continue
                self.lease_from = max(self.lease_from, sent_at)
                self.saw(helm)
                for command in body.get("signals", []):
                    self.carry_out(command, f"answer of {node}")
                continue
            self.d.on_refusal(self, node, report, answer)
            self.d.record(self.name, f"report {self.brief(report)} to {node}: " + (
                f"{status} {answer[1].decode(errors='replace')[:120]}" if answer else "no answer"))
            target = None
            if status == 421:
                client.close()
                try:
                    target = json.loads(answer[1]).get("harbormaster")
                except ValueError:
                    pass
            if target in nodes and target != node:
                at = nodes.index(target)
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                at += 1
                await asyncio.sleep(1.0)
            next_at = now()

    def saw(self, helm):
        if helm > self.helm:
            self.helm = helm
            if now() >= self.helm_change_at + self.d.workers["lease_s"] / 2:
                self.helm_change_at = now()
                self.wake.set()

    # ---- commands

    async def handle_direct(self, method, path, query, body):
        await self.d.direct_link(self)
        if self.dead:
            return None
        if method == "GET" and path == "/status":
            return 200, self.report()
        if "helm" not in body or "watch" not in body:
            return 400, {"error": "helm or watch is missing"}
        if body["helm"] < self.helm or body["watch"] != self.watch:
            return 409, self.report()
        self.saw(body["helm"])
        for command in body.get("signals", []):
            self.carry_out(command, "direct command")
        return 200, self.report()

    def carry_out(self, command, source):
        load, launch, kind = command["load"], command["launch"], command["signal"]
        self.d.record(self.name, f"{kind} {load} launch {launch} ({source})")
        task = self.tasks.get((load, launch))
        if kind == "run":
            self.d.on_run(self, load, launch, source)
            if task:
                return
            job = self.d.jobs.get(load.split("/")[0])
            task = {"status": "exited", "cause": None}
            if job is None:
                task["cause"] = "unknown"
            elif any(other == load and held["status"] != "exited" for (other, _), held in self.tasks.items()):
                task["cause"] = "in_use"
            elif not self.has_room(job):
                task["cause"] = "no_room"
            else:
                task["status"] = "fetching"
                asyncio.ensure_future(self.run((load, launch), task, job))
            self.tasks[(load, launch)] = task
            self.wake.set()
        elif kind == "stop":
            if task and task["status"] != "exited":
                task["status"], task["cause"] = "exited", "halted"
                self.d.ledger.ends(load, self.name, "stopped")
                self.wake.set()
        elif kind == "reap":
            if task and task["status"] == "exited":
                del self.tasks[(load, launch)]
                self.wake.set()

    def has_room(self, job):
        hull = self.d.hulls[self.machine["hull"]]
        for amount in ("cores", "gpus", "memory_gb"):
            used = sum(self.d.jobs[load.split("/")[0]][amount] for (load, _), task in self.tasks.items()
                       if task["status"] != "exited")
            if used + job[amount] > hull[amount] + 1e-6:
                return False
        return True

    async def run(self, key, task, job):
        """A task from its start to its end, which its machine may also bring about earlier."""
        load, image = key[0], job["manifest"]
        if image not in self.images:
            if image not in self.fetching:
                self.fetching[image] = asyncio.ensure_future(asyncio.sleep(self.d.fetch_s))
            await asyncio.shield(self.fetching[image])
            self.images.add(image)
        here = lambda: self.tasks.get(key) is task and task["status"] != "exited"
        if not here():
            return
        task["status"] = "running"
        self.d.ledger.begins(load, self.name)
        self.wake.set()
        if self.d.fails(self, load):
            await asyncio.sleep(0.3)
            if here():
                task["status"], task["cause"] = "exited", "error"
                self.d.ledger.ends(load, self.name, "failed")
                self.wake.set()
            return
        # The result of a completed task is kept: started again, it exits at once.
        run_s = 0.0 if load in self.d.done else self.d.run_s(load, job)
        if run_s is None:
            return
        await asyncio.sleep(run_s)
        if here():
            task["status"], task["cause"] = "exited", "done"
            self.d.done.add(load)
            self.d.ledger.ends(load, self.name, "done")
            self.wake.set()


# ------------------------------------------------------------------------------------------------------ deployment

class Deployment:
    """Controllers, stand-ins and the links between them. `nodes`: name -> zone, in the order of their numbers."""

    def __init__(self, folder, nodes, zones, workers, state, cloud, resources, teams, hulls, capacity,
                 fetch_s=0.5, log_level=os.environ.get("CASE_LOG_LEVEL", "info")):
        self.folder, self.nodes, self.node_names, self.zones = folder, nodes, list(nodes), zones
        self.workers, self.state_limits, self.cloud_limits = workers, state, cloud
        self.resources, self.teams, self.capacity, self.fetch_s = resources, teams, capacity, fetch_s
        self.hulls, self.log_level = {hull["label"]: hull for hull in hulls}, log_level
        self.record = Record(os.path.join(folder, "record.txt"))
        self.ledger = Ledger(self.record)
        self.jobs, self.done, self.processes = {}, set(), {}
        self.host = f"127.{random.randrange(80, 250)}.{random.randrange(1, 250)}.{random.randrange(1, 250)}"
        self.tmp = tempfile.TemporaryDirectory(prefix="dockpier-review-")
        self.links = {}  # (from, to) -> Link; from: node or ("zone", zone); to: node, "state" or "cloud"
        self.direct_cut = {}  # zone -> Event that is set while direct commands get through
        self.http = {}

    # Hooks of a case.
    def on_checkin(self, worker, node, report, sent_at, raw, body):
        pass

    def on_refusal(self, worker, node, report, answer):
        pass

    def on_run(self, worker, load, launch, source):
        pass

    def fails(self, worker, load):
        """Whether a task that the worker starts now fails."""
        return False

    def run_s(self, load, job):
        """How long a task runs once it has its image; None: until it is stopped."""
        return None

    async def direct_link(self, worker):
        await self.direct_cut[worker.machine["quay"]].wait()

    def route(self, zone, node):
        return self.links[(("zone", zone), node)].address

    async def start(self):
        def free_port():
            with socket.socket() as probe:
                probe.bind((self.host, 0))
                return probe.getsockname()[1]

        self.state = StateService(self.state_limits, self.record)
        asyncio.ensure_future(self.state.keep())
        catalog = {"hulls": list(self.hulls.values())}
        self.cloud = Cloud(catalog, self.capacity, self.cloud_limits["list_lag_s"], self.record,
                           self._start_worker)
        self.public = {node: (self.host, free_port()) for node in self.nodes}
        self.peer = {node: (self.host, free_port()) for node in self.nodes}
        _, cloud_address = await serve_http(self.host, self.cloud.handle)
        for node in self.nodes:
            _, state_address = await serve_http(self.host, self.state.handler(node))
            self.links[(node, "state")] = await Link(state_address).start(self.host)
            self.links[(node, "cloud")] = await Link(cloud_address).start(self.host)
            for other in self.nodes:
                if other != node:
                    self.links[(node, other)] = await Link(self.peer[other]).start(self.host)
        for zone in self.zones:
            self.direct_cut[zone] = asyncio.Event()
            self.direct_cut[zone].set()
            for node in self.nodes:
                self.links[(("zone", zone), node)] = await Link(self.public[node]).start(self.host)
        for node in self.nodes:
            self.http[node] = Client(self.public[node])

    async def _start_worker(self, machine):
        await asyncio.sleep(random.uniform(0.8, 1.6))
        return await Worker(machine, self).start(self.host)

    # ---- controllers

    def settings(self, node):
        text = lambda address: f"{address[0]}:{address[1]}"
        members = [{"node_name": other, "site": self.nodes[other],
                    "peer_addr": text(self.links[(node, other)].address)}
                   for other in self.nodes if other != node]
        return {"node_name": node, "site": self.nodes[node], "public_addr": text(self.public[node]),
                "peer_bind": text(self.peer[node]), "members": members,
                "external": {"cloud": text(self.links[(node, "cloud")].address),
                             "state": text(self.links[(node, "state")].address)},
                "deployment": {"nodes": len(self.nodes), "zones": self.zones, "teams": self.teams,
                               "objectives": [], "workers": self.workers, "state": self.state_limits,
                               "cloud": self.cloud_limits, "resources": self.resources, "skew_ms": 1000.0}}

    def start_node(self, node, program=None):
        """Starts a controller with the run command of the deploy file; `program`: another version of it."""
        path = os.path.join(self.tmp.name, f"{node}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(node), file)
        with open(os.path.join(REPO, "deploy", "service.toml"), "rb") as file:
            command = shlex.split(tomllib.load(file)["run"])
        if not os.path.exists(os.path.join(REPO, command[0])):
            raise CannotRun("the program is not built")
        command[0] = program or command[0]
        keep = os.environ.get("KEEP_LOGS")  # a folder for the controllers' logs, with times
        environment = dict(os.environ, LOG_LEVEL=self.log_level)
        output = subprocess.PIPE if keep else subprocess.DEVNULL
        self.processes[node] = subprocess.Popen(command + [path], cwd=REPO, stdin=subprocess.DEVNULL,
                                                stdout=output, stderr=subprocess.STDOUT, env=environment,
                                                preexec_fn=end_with_parent)
        if keep:
            log = open(os.path.join(keep, f"{node}.log"), "a", encoding="utf-8", buffering=1)
            copy = lambda pipe: [log.write(f"{self.record.time(now())} {line.decode()}") for line in pipe]
            threading.Thread(target=copy, args=(self.processes[node].stdout,), daemon=True).start()
        self.record(node, f"process started, id {self.processes[node].pid}")

    def kill_node(self, node):
        process = self.processes.pop(node)
        process.kill()
        process.wait()
        self.record(node, "process killed")

    def check_processes(self):
        """Names of the controllers that have ended by themselves."""
        return [node for node, process in self.processes.items() if process.poll() is not None]

    def stop(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.tmp.cleanup()

    async def ask(self, node, method, path, body=None, timeout=2.0):
        """One request of a user or operator to a node, on a connection of its own."""
        client = Client(self.public[node])
        try:
            answer = await client.ask(method, path, body, timeout)
        finally:
            client.close()
        if answer is None:
            return None, None
        try:
            return answer[0], json.loads(answer[1])
        except ValueError:
            return answer[0], None

    async def leader(self):
        """The node that says that it leads; None: not exactly one."""
        views = await asyncio.gather(*(self.ask(node, "GET", "/overview") for node in self.processes))
        leaders = [view["node"] for status, view in views if status == 200 and view["leader"] == view["node"]]
        return leaders[0] if len(leaders) == 1 else None

    async def wait_for(self, what, condition, seconds):
        until = now() + seconds
        while now() < until:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.1)
        raise CannotRun(f"not reached within {seconds} s: {what}")

    async def submit(self, uid, **fields):
        job = {"uid": uid, "cargo": "class", "crew": self.teams[0]["name"], "rig": "sweep",
               "precedence": "normal", "loads": 1, "cores": 1.0, "gpus": 0.0, "memory_gb": 1.0,
               "manifest": "img-01", "pull_gb": 0.2, "hulls": None, "quay": None, "same_place": False,
               "apart": False, "driftwood": True, "passage_s": 60.0, "logbook_s": 0.0, "stow_s": 0.0,
               "tide_s": None, **fields}
        self.jobs[uid] = job  # users upload the description before they submit
        until = now() + 20
        while now() < until:
            for node in list(self.processes):
                status, answer = await self.ask(node, "POST", "/submissions", job, 5.0)
                self.record("user", f"submit {uid} ({job['rig']}, {job['loads']} tasks) to {node}: {status} {answer}")
                if status in (200, 201):
                    return
                if status in (400, 422):
                    raise CannotRun(f"{uid} is refused: {answer}")
                await asyncio.sleep(0.3)
        raise CannotRun(f"{uid} is not accepted")

    # ---- troubles

    def cut_zone(self, zone, up):
        """Cuts a zone off from everything outside it, or ends the cut."""
        inside = [node for node, at in self.nodes.items() if at == zone]
        for (start, end), link in self.links.items():
            start_in = start in inside or start == ("zone", zone)
            end_in = end in inside
            if start_in != end_in:
                link.heal() if up else link.cut()
        # Controllers inside still reach the workers of their zone; commands from outside are held.
        self.direct_cut[zone].set() if up else self.direct_cut[zone].clear()
        self.record("TROUBLE", f"zone {zone} is {'connected again' if up else 'cut off from everything'}")

    def cut_node(self, node, to, up):
        """Cuts a controller off from `to` ("state", "peers"), in both directions, or ends the cut."""
        for (start, end), link in self.links.items():
            hit = "state" in to and (start, end) == (node, "state") or "peers" in to and (
                start == node and end in self.nodes or end == node and start in self.nodes)
            if hit:
                link.heal() if up else link.cut()
        self.record("TROUBLE", f"{node} {'reaches again' if up else 'has lost'} {' and '.join(to)}")


def main(case):
    """Runs `case() -> whether the rule was broken` and exits: 1 broken, 0 held, 2 could not run."""
    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            code = 1 if await case() else 0
        except (CannotRun, asyncio.CancelledError) as why:
            print(f"could not run: {why}")
            code = 2
        except Exception:  # noqa: BLE001: a fault of the test itself is no verdict
            traceback.print_exc()
            code = 2
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(code)  # the stand-ins' connections need no orderly end

    asyncio.run(run())
