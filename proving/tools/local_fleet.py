"""Starts and stops the processes of a deployment on loopback addresses; for tests."""

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

OUTPUT_TAIL_CHARACTERS = 2000
MAX_ANSWER_CHARACTERS = 2000


class ProcessExited(Exception):
    """A process of the fleet exited without being stopped or killed by the fleet."""

    def __init__(self, name, code, output_tail):
        super().__init__(
            f"{name} exited unexpectedly with code {code}; last output:\n{output_tail}"
        )
        self.name = name
        self.code = code


class LocalFleet:
    """The processes of one deployment, each controlled by its name."""

    def __init__(self, example, run_folder, free_ports=False, only=None):
        self.example = pathlib.Path(example)
        self.run_folder = pathlib.Path(run_folder).absolute()
        shutil.rmtree(self.run_folder / "data", ignore_errors=True)
        self.run_folder.mkdir(parents=True, exist_ok=True)
        self.cuts_file = self.run_folder / "cuts.json"
        self.cuts_file.write_text("[]")
        self.full_disks_file = self.run_folder / "full.json"
        self.full_disks_file.write_text("[]")
        self.processes = {}
        self.ports = ReservedPorts()
        self.answers = {}
        rows = [json.loads(p.read_text()) for p in sorted(self.example.glob("settings/*.json"))]
        self.settings = {row["name"]: row for row in rows if only is None or row["name"] in only}
        replica_rows = json.loads((self.example / "replicas.json").read_text())
        self.replicas = {r["name"]: r for r in replica_rows if only is None or r["name"] in only}
        if free_ports:
            self._assign_free_ports()
        for row in self.settings.values():
            row["log_file"] = str(self.run_folder / f"{row['name']}.log")
            if "folder" in row:
                row["folder"] = str(self.run_folder / "data" / row["name"])

    def _assign_free_ports(self):
        new_addresses = {}
        for row in [*self.settings.values(), *self.replicas.values()]:
            for field in ("address", "http_address"):
                if field in row:
                    new_addresses[row[field]] = self.ports.reserve(row[field].rsplit(":", 1)[0])
                    row[field] = new_addresses[row[field]]
        for row in self.settings.values():
            row["seeds"] = [
                new_addresses[seed] for seed in row["seeds"] if seed in new_addresses
            ] or [row["address"]]

    def names(self, role):
        """Return the names of the nodes of a role."""
        return [name for name, row in self.settings.items() if row["role"] == role]

    def http(self, name):
        """Return the HTTP address of a node."""
        return self.settings[name]["http_address"]

    def start(self, name):
        """Start the process of a node or replica."""
        out_file = open(self.run_folder / f"{name}.out", "ab")
        if name in self.settings:
            row = self.settings[name]
            path = self.run_folder / f"{name}.json"
            path.write_text(json.dumps(row))
            arguments = [
                "-m",
                "proving.tools.fault_injection",
                row["role"],
                "--settings",
                str(path),
            ]
        else:
            row = self.replicas[name]
            nodes = [self.http(n) for n in self.settings if not n.startswith("store")]
            first_node_index = sorted(self.replicas).index(name) % len(nodes)
            arguments = ["-m", "proving.tools.standin"]
            for field in ("name", "service", "domain", "address", "slots"):
                arguments += [f"--{field}", str(row[field])]
            for node in nodes[first_node_index:] + nodes[:first_node_index]:
                arguments += ["--node", node]
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=out_file,
            stderr=out_file,
            start_new_session=True,
            env={
                **os.environ,
                "PROVING_CUTS": str(self.cuts_file),
                "PROVING_FULL": str(self.full_disks_file),
            },
        )

    def start_all(self):
        """Start every process."""
        for name in [*self.settings, *self.replicas]:
            self.start(name)

    def signal(self, name, number):
        """Send a signal to a running process."""
        self.processes[name].send_signal(number)

    def restart_exited_processes(self):
        """Restart every process that exited, as a platform does; return their names."""
        exited_names = [name for name, p in self.processes.items() if p.poll() is not None]
        for name in exited_names:
            self.start(name)
        return exited_names

    def kill(self, name):
        """Kill a process with SIGKILL, so that it cannot clean up, as in a power loss."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name, seconds=60):
        """Stop a process with SIGTERM; return its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(seconds)

    def cut(self, *pairs):
        """Cut exactly these pairs of nodes, in both directions; no pairs heals all cuts."""
        addresses = [[self.settings[n]["address"] for n in pair] for pair in pairs]
        new_file = self.cuts_file.with_suffix(".new")
        new_file.write_text(json.dumps([*addresses, *(pair[::-1] for pair in addresses)]))
        new_file.replace(self.cuts_file)

    def set_full_disks(self, names):
        """Make the disks of exactly these stores behave as full."""
        new_file = self.full_disks_file.with_suffix(".new")
        new_file.write_text(json.dumps([self.settings[name]["folder"] for name in names]))
        new_file.replace(self.full_disks_file)

    def stop_all(self):
        """Kill all running processes and release the ports."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes = {}
        self.ports.close()

    def ask(self, name, method, path, body=None):
        """Send a request to a node; record the response, which a timed-out wait reports."""
        status, answer = ask(self.http(name), method, path, body)
        self.answers[f"{name} {method} {path}"] = (status, answer)
        return status, answer

    def check_running(self):
        """Raise ProcessExited if a process exited that the fleet neither stopped nor killed."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                raise ProcessExited(name, process.returncode, self._output_tail(name))

    def _output_tail(self, name):
        paths = [self.run_folder / f"{name}{ending}" for ending in (".log", ".out")]
        texts = [path.read_text(errors="replace") for path in paths if path.exists()]
        return "\n".join(text[-OUTPUT_TAIL_CHARACTERS:] for text in texts)

    def wait_for(self, description, is_done, seconds=90):
        """Wait until `is_done()`; TimeoutError with the last responses after `seconds`.

        The default limit is generous because speed is not tested. ProcessExited if a process exits.
        """
        self.answers = {}
        end_time = time.monotonic() + seconds
        while not is_done():
            self.check_running()
            if time.monotonic() > end_time:
                raise TimeoutError(f"{description}; see {self.run_folder}{self._last_answers()}")
            time.sleep(0.1)

    def _last_answers(self):
        lines = [
            f"{request}: {status} {answer}" for request, (status, answer) in self.answers.items()
        ]
        return "".join(f"\n{line[:MAX_ANSWER_CHARACTERS]}" for line in lines)

    def found(self):
        """Found the fleet, apply the example layout and wait until every edge is ready."""
        cores = self.names("core")
        store_count = len(self.names("store"))

        def knows_stores():
            status, answer = self.ask(cores[0], "GET", "/v1/members")
            roles = [m["role"] for m in answer.get("members", ())] if status == 200 else []
            return roles.count("store") == store_count

        self.wait_for("all stores known", knows_stores)
        self.wait_for(
            "founded", lambda: self.ask(cores[0], "POST", "/v1/found", {"parts": 4})[0] == 200
        )
        configuration = json.loads((self.example / "layout.json").read_text())
        body = {"base_version": 0, "layout": configuration, "whole": True, "id": "first"}
        self.wait_for(
            "layout applied", lambda: self.ask(cores[0], "PUT", "/v1/layout", body)[0] == 200
        )
        self.wait_ready()

    def wait_fully_replicated(self):
        """Wait until every part has three stores with all of its data."""
        edge = self.names("edge")[0]
        self.wait_for(
            "all parts fully replicated",
            lambda: self.ask(edge, "GET", "/v1/whole")[1].get("is_whole"),
        )

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
