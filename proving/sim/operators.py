"""Operators of a simulated run, who submit valid, concurrent and invalid configuration changes."""

from quillring.kernel.errors import Conflict
from quillring.quorum.parts import CONFIG_PART


class Operators:
    """Actions of operators; the subclass provides `sim` and `monitor`."""

    def adopt(self, change, label):
        """Process: submit a configuration change to a random core; return (answer, error)."""
        sim = self.sim
        node = sim.chance.choice(sim.up_nodes("core") or sim.up_nodes("edge"))
        command = {
            "do": "layout.adopt",
            "id": f"{label} {sim.env.now}",
            "whole": False,
            "base_version": node.find("layout").version,
            "change": change,
        }
        answer, error = yield from sim.run_coroutine(
            node, node.find("ownership").submit(CONFIG_PART, command)
        )
        if answer:
            self.monitor.accept(answer["version"])
        return answer, error

    def race_operators(self):
        """Two operators change the configuration concurrently; each version has one winner."""
        changes = [
            {
                "classes": {},
                "entries": {
                    f"extra-{i}": {
                        "service": "words",
                        "class": next(iter(self.sim.configuration["classes"])),
                    }
                },
            }
            for i in (1, 2)
        ]
        tasks = [self.sim.env.process(self.adopt(c, f"op{i}")) for i, c in enumerate(changes)]
        outcomes = yield self.sim.env.all_of(tasks)
        answers = [answer for answer, _ in outcomes.values() if answer]
        versions = [answer["version"] for answer in answers]
        if len({*versions}) < len(versions):
            self.sim.history.violate(f"two operators won version {versions}")
        if any(isinstance(t, Conflict) for _, t in outcomes.values()):
            self.sim.history.count("operator conflicts")

    def bad_configuration(self):
        """An operator submits an entry that names an unknown service; it must be refused."""
        change = {"entries": {"dangling": {"service": "none", "class": "none"}}}
        answer, _ = yield from self.adopt(change, "bad")
        if answer:
            self.sim.history.violate("an invalid layout was adopted")

    def empty_zone(self):
        """A domain is emptied and later refilled, even if the outcome of emptying is unknown."""
        zone = self.sim.chance.choice(["north", "east", "south", "west"])
        answer, error = yield from self.adopt({"domains": {zone: {"emptied": True}}}, "empty")
        self.sim.history.note(f"empty {zone}: {'accepted' if answer else error}")
        if answer:
            self.sim.history.emptied.setdefault(zone, self.sim.env.now)
        yield self.sim.env.timeout(self.sim.chance.uniform(6, 10))
        self.sim.history.emptied.pop(zone, None)
        for _ in range(20):
            answer, _ = yield from self.adopt({"domains": {zone: {"emptied": False}}}, "fill")
            if answer:
                self.sim.history.emptied.pop(zone, None)
                return
            yield self.sim.env.timeout(0.5)
