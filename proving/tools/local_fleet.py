"""The local fleet: starts and stops every process of a deployment on loopback; a test aid."""

import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time

from proving.tools.callers import ask
from proving.tools.reserved_ports import ReservedPorts

LAST_WORDS = 2000
LONGEST_ANSWER = 2000


class ProcessEnded(Exception):
    """A process of the fleet ended though nobody here stopped it."""

    def __init__(self, name, code, last_words):
        super().__init__(f"{name} ended by itself, exit code {code}; its last words:\n{last_words}")
        self.name = name
        self.code = code


class LocalFleet:
    """The processes of one deployment, each started, stopped, frozen or killed by name."""

    def __init__(self, example, run_folder, free_ports=False, only=None):
        self.example = pathlib.Path(example)
        self.run_folder = pathlib.Path(run_folder).absolute()
        shutil.rmtree(self.run_folder / "data", ignore_errors=True)
        self.run_folder.mkdir(parents=True, exist_ok=True)
        self.cuts_file = self.run_folder / "cuts.json"
        self.cuts_file.write_text("[]")
        self.full_file = self.run_folder / "full.json"
        self.full_file.write_text("[]")
        self.processes = {}
        self.ports = ReservedPorts()
        self.answers = {}
        rows = [json.loads(p.read_text()) for p in sorted(self.example.glob("settings/*.json"))]
        self.settings = {row["name"]: row for row in rows if only is None or row["name"] in only}
        replica_rows = json.loads((self.example / "replicas.json").read_text())
        self.replicas = {r["name"]: r for r in replica_rows if only is None or r["name"] in only}
        if free_ports:
            self._move_ports()
        for row in self.settings.values():
            row["log_file"] = str(self.run_folder / f"{row['name']}.log")
            if "folder" in row:
                row["folder"] = str(self.run_folder / "data" / row["name"])

    def _move_ports(self):
        moved = {}
        for row in [*self.settings.values(), *self.replicas.values()]:
            for field in ("address", "http_address"):
                if field in row:
                    moved[row[field]] = self.ports.take(row[field].rsplit(":", 1)[0])
                    row[field] = moved[row[field]]
        for row in self.settings.values():
            row["seeds"] = [moved[seed] for seed in row["seeds"] if seed in moved] or [
                row["address"]
            ]

    def names(self, role):
        """Return the names of the nodes of a role."""
        return [name for name, row in self.settings.items() if row["role"] == role]

    def http(self, name):
        """Return the HTTP address of a node."""
        return self.settings[name]["http_address"]

    def start(self, name):
        """Start one process."""
        out_file = open(self.run_folder / f"{name}.out", "ab")
        if name in self.settings:
            row = self.settings[name]
            path = self.run_folder / f"{name}.json"
            path.write_text(json.dumps(row))
            words = ["-m", "proving.tools.fault_injection", row["role"], "--settings", str(path)]
        else:
            row = self.replicas[name]
            nodes = [self.http(n) for n in self.settings if not n.startswith("store")]
            turn = sorted(self.replicas).index(name) % len(nodes)
            words = ["-m", "proving.tools.standin"]
            for field in ("name", "service", "domain", "address", "slots"):
                words += [f"--{field}", str(row[field])]
            for node in nodes[turn:] + nodes[:turn]:
                words += ["--node", node]
        self.processes[name] = subprocess.Popen(
            [sys.executable, *words],
            stdout=out_file,
            stderr=out_file,
            start_new_session=True,
            env={
                **os.environ,
                "PROVING_CUTS": str(self.cuts_file),
                "PROVING_FULL": str(self.full_file),
            },
        )

    def start_all(self):
        """Start every process."""
        for name in [*self.settings, *self.replicas]:
            self.start(name)

    def signal(self, name, number):
        """Send a signal to one of the processes started here."""
        self.processes[name].send_signal(number)

    def keep_running(self):
        """Start every process anew that ended as planned, as a platform does; return the names."""
        ended_names = [name for name, p in self.processes.items() if p.poll() is not None]
        for name in ended_names:
            self.start(name)
        return ended_names

    def kill(self, name):
        """Kill a process as a power cut would."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name, seconds=60):
        """Stop a process as planned; return its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(seconds)

    def cut(self, *pairs):
        """Cut the pairs of nodes both ways; no pairs heals all."""
        addresses = [[self.settings[n]["address"] for n in pair] for pair in pairs]
        fresh_file = self.cuts_file.with_suffix(".new")
        fresh_file.write_text(json.dumps([*addresses, *(pair[::-1] for pair in addresses)]))
        fresh_file.replace(self.cuts_file)

    def fill(self, names):
        """Let the disks of these stores be full, and all others have room."""
        fresh_file = self.full_file.with_suffix(".new")
        fresh_file.write_text(json.dumps([self.settings[name]["folder"] for name in names]))
        fresh_file.replace(self.full_file)

    def stop_all(self):
        """End everything that still runs, and let go of the ports."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes = {}
        self.ports.close()

    def ask(self, name, method, path, body=None):
        """Ask a node, and remember its answer for the report of a wait that was in vain."""
        status, answer = ask(self.http(name), method, path, body)
        self.answers[f"{name} {method} {path}"] = (status, answer)
        return status, answer

    def check_running(self):
        """Raise ProcessEnded if a process ended that was neither stopped nor killed from here."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                raise ProcessEnded(name, process.returncode, self._last_words(name))

    def _last_words(self, name):
        paths = [self.run_folder / f"{name}{ending}" for ending in (".log", ".out")]
        texts = [path.read_text(errors="replace") for path in paths if path.exists()]
        return "\n".join(text[-LAST_WORDS:] for text in texts)

    def wait_for(self, what, is_done, seconds=90):
        """Wait until the condition holds; a generous limit, no assertion on how long."""
        self.answers = {}
        end_time = time.monotonic() + seconds
        while not is_done():
            self.check_running()
            if time.monotonic() > end_time:
                raise TimeoutError(f"{what}; see {self.run_folder}{self._last_answers()}")
            time.sleep(0.1)

    def _last_answers(self):
        lines = [f"{asked}: {status} {answer}" for asked, (status, answer) in self.answers.items()]
        return "".join(f"\n{line[:LONGEST_ANSWER]}" for line in lines)

    def found(self):
        """Found the fleet and apply the example layout; wait until every edge is ready."""
        cores = self.names("core")
        store_count = len(self.names("store"))

        def knows_stores():
            status, answer = self.ask(cores[0], "GET", "/v1/members")
            roles = [m["role"] for m in answer.get("members", ())] if status == 200 else []
            return roles.count("store") == store_count

        self.wait_for("stores known", knows_stores)
        self.wait_for(
            "founded", lambda: self.ask(cores[0], "POST", "/v1/found", {"parts": 4})[0] == 200
        )
        configuration = json.loads((self.example / "layout.json").read_text())
        body = {"base_version": 0, "layout": configuration, "whole": True, "id": "first"}
        self.wait_for("layout", lambda: self.ask(cores[0], "PUT", "/v1/layout", body)[0] == 200)
        self.wait_ready()

    def wait_whole(self):
        """Wait until every part has three stores that hold everything."""
        edge = self.names("edge")[0]
        self.wait_for("whole", lambda: self.ask(edge, "GET", "/v1/whole")[1].get("is_whole"))

    def wait_ready(self):
        """Wait until every running edge is ready and knows every running replica."""
        running_replicas = {n for n in self.replicas if n in self.processes}

        def is_ready(name):
            if self.ask(name, "GET", "/v1/ready")[0] != 200:
                return False
            _, answer = self.ask(name, "GET", "/v1/replicas")
            return running_replicas <= {
                r["name"] for r in answer.get("replicas", ()) if r["may_get_work"]
            }

        for name in self.names("edge"):
            if name in self.processes:
                self.wait_for(f"{name} ready", lambda name=name: is_ready(name))
