"""Generates the sample settings and release notes of two users.

Each fleet has the size that the users' requirements name: three regions of two
data centres, nine entries, four services of 12 to 16 targets each, and eight
client accounts. To fit on one machine, all addresses are loopback addresses,
all targets run in one process, and latency between regions isn't simulated.
"""

import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec

from kingcupvane.request.authentication import hash_key

HOST = "127.0.0.1"
ENTRIES_BY_DATA_CENTRE = (2, 1, 2, 1, 2, 1)
SLOTS = (3, 4)


@dataclass(frozen=True, kw_only=True)
class ServicePlan:
    """A service: its routes in TOML, number of targets and service time."""

    name: str
    routes: str
    targets: int
    service_s: float


@dataclass(frozen=True, kw_only=True)
class SamplePlan:
    """One user's fleet; accounts are tuples of name, rate and burst."""

    name: str
    regions: tuple[str, ...]
    first_port: int
    services: tuple[ServicePlan, ...]
    accounts: tuple[tuple[str, float, float], ...]


RHEINFALL = SamplePlan(
    name="rheinfall",
    regions=("zurich", "frankfurt", "london"),
    first_port=21000,
    services=(
        ServicePlan(
            name="treaty",
            routes='{ prefix = "/positions" }',
            targets=16,
            service_s=0.02,
        ),
        ServicePlan(
            name="submission",
            routes='{ prefix = "/status" }, { prefix = "/help", open = true }',
            targets=12,
            service_s=0.01,
        ),
        ServicePlan(
            name="bordereaux",
            routes='{ prefix = "/files" }',
            targets=12,
            service_s=0.05,
        ),
        ServicePlan(
            name="claims",
            routes='{ prefix = "/bookings", at_most_once = true },'
            ' { prefix = "/cessions", at_most_once = true }',
            targets=14,
            service_s=0.03,
        ),
    ),
    accounts=(
        ("aare-re", 120.0, 240.0),
        ("bodan-mutual", 100.0, 200.0),
        ("churfirst-broking", 60.0, 120.0),
        ("dornach-cedants", 20.0, 60.0),
        ("emme-assurance", 20.0, 60.0),
        ("furka-brokers", 10.0, 40.0),
        ("glarus-life", 10.0, 40.0),
        ("hasli-marine", 10.0, 40.0),
    ),
)
GUILD = SamplePlan(
    name="guild",
    regions=("south-east", "south-west", "islands"),
    first_port=23000,
    services=(
        ServicePlan(
            name="fault-codes",
            routes='{ prefix = "/codes" }, { prefix = "/public", open = true }',
            targets=16,
            service_s=0.005,
        ),
        ServicePlan(
            name="warranty",
            routes='{ prefix = "/claims", at_most_once = true }',
            targets=12,
            service_s=0.03,
        ),
        ServicePlan(
            name="firmware",
            routes='{ prefix = "/licences", at_most_once = true }',
            targets=12,
            service_s=0.02,
        ),
        ServicePlan(
            name="traces",
            routes='{ prefix = "/logs" }',
            targets=14,
            service_s=0.04,
        ),
    ),
    accounts=(
        ("amber-cycles", 150.0, 300.0),
        ("brook-bikes", 120.0, 240.0),
        ("coast-wheels", 40.0, 80.0),
        ("dale-motors", 20.0, 60.0),
        ("east-spokes", 20.0, 60.0),
        ("fen-repairs", 10.0, 40.0),
        ("gorse-garage", 10.0, 40.0),
        ("haven-electric", 10.0, 40.0),
    ),
)


def to_toml_item(array: str, **values: object) -> str:
    """Returns one item of an array of tables, as TOML."""
    lines = [f"[[{array}]]"]
    for name, value in values.items():
        lines.append(f"{name} = {msgspec.json.encode(value).decode()}")
    return "\n".join(lines) + "\n\n"


def sample_key(account: str) -> str:
    """Returns the predictable key of a sample account; real ones are random."""
    return f"{account}-1_sample-only"


class SampleWriter:
    """Writes the sample files of one fleet."""

    def __init__(self, *, plan: SamplePlan, folder: Path):
        """Assigns addresses, regions and data centres; writes nothing."""
        self._plan = plan
        self._folder = folder
        self._last_port = plan.first_port
        self._store_address = self._next_address()
        self._locations = [
            (region, f"{region}-{number}")
            for region in plan.regions
            for number in (1, 2)
        ]
        self._entries = list(self._plan_entries())
        self._targets = list(self._plan_targets())

    def _next_address(self) -> str:
        self._last_port += 1
        return f"{HOST}:{self._last_port}"

    def _plan_entries(self):
        pairs = zip(self._locations, ENTRIES_BY_DATA_CENTRE, strict=True)
        for (region, data_centre), count in pairs:
            for number in range(1, count + 1):
                yield {
                    "name": f"entry-{data_centre}-{number}",
                    "region": region,
                    "data_centre": data_centre,
                    "caller_address": self._next_address(),
                    "peer_address": self._next_address(),
                }

    def _plan_targets(self):
        for service in self._plan.services:
            for number in range(service.targets):
                region, data_centre = self._locations[
                    number % len(self._locations)
                ]
                yield {
                    "name": f"{service.name}-{number + 1}",
                    "service": service.name,
                    "version": f"{service.name}-v1",
                    "region": region,
                    "data_centre": data_centre,
                    "address": self._next_address(),
                    "slots": SLOTS[number % len(SLOTS)],
                }

    def write(self) -> None:
        """Writes all files of the sample."""
        (self._folder / "entries").mkdir(parents=True, exist_ok=True)
        (self._folder / "notes").mkdir(exist_ok=True)
        self._write_file("secret", "for these samples only\n")
        self._write_file("store.toml", f'address = "{self._store_address}"\n')
        self._write_file("operator.toml", self._operator_settings())
        self._write_file("targets.toml", self._target_settings())
        for entry in self._entries:
            self._write_file(
                f"entries/{entry['name']}.toml", self._entry_settings(entry)
            )
        self._write_file("notes/base.toml", self._base_note())
        self._write_file("notes/withdraw-key.toml", self._withdrawal_note())

    def _write_file(self, name: str, text: str) -> None:
        (self._folder / name).write_text(text, encoding="utf-8")

    def _seeds_toml(self) -> str:
        seeds = [entry["peer_address"] for entry in self._entries]
        return msgspec.json.encode(seeds).decode()

    def _common_settings(self) -> str:
        return (
            f'peer_secret_file = "samples/{self._plan.name}/secret"\n'
            f"seeds = {self._seeds_toml()}\n"
        )

    def _operator_settings(self) -> str:
        return (
            f"{self._common_settings()}\n"
            f'[store]\naddress = "{self._store_address}"\n'
        )

    def _entry_settings(self, entry: dict) -> str:
        lines = [
            f"{name} = {msgspec.json.encode(value).decode()}"
            for name, value in entry.items()
        ]
        own_settings = "\n".join(lines)
        return (
            f"{own_settings}\n{self._common_settings()}\n"
            f'[store]\naddress = "{self._store_address}"\n\n'
            "[lookup]\nttl_s = 2.0\n"
        )

    def _target_settings(self) -> str:
        service_s_by_name = {s.name: s.service_s for s in self._plan.services}
        return "".join(
            to_toml_item(
                "targets",
                name=target["name"],
                address=target["address"],
                version=target["version"],
                slots=target["slots"],
                service_s=service_s_by_name[target["service"]],
            )
            for target in self._targets
        )

    def _base_note(self) -> str:
        sections = [f'change_id = "{self._plan.name}-base"\n\n']
        sections.extend(
            to_toml_item("add.entries", **entry) for entry in self._entries
        )
        for service in self._plan.services:
            sections.append(
                f'[[add.services]]\nname = "{service.name}"\n'
                f"routes = [{service.routes}]\n\n"
            )
            sections.append(
                to_toml_item(
                    "add.versions",
                    name=f"{service.name}-v1",
                    service=service.name,
                )
            )
        sections.extend(to_toml_item("add.targets", **t) for t in self._targets)
        for name, rate, burst in self._plan.accounts:
            sections.append(
                to_toml_item("add.accounts", name=name, rate=rate, burst=burst)
            )
            sections.append(
                to_toml_item(
                    "add.keys",
                    name=f"{name}-1",
                    account=name,
                    sha256=hash_key(sample_key(name)),
                )
            )
        return "".join(sections)

    def _withdrawal_note(self) -> str:
        account = self._plan.accounts[-1][0]
        return (
            f'change_id = "{self._plan.name}-withdraw-key"\n\n'
            f'[withdraw]\nkeys = ["{account}-1"]\n'
        )


def build(folder: Path) -> None:
    """Writes the samples of both users into folders below `folder`."""
    for plan in (RHEINFALL, GUILD):
        SampleWriter(plan=plan, folder=folder / plan.name).write()


if __name__ == "__main__":
    build(Path(sys.argv[1]) if sys.argv[1:] else Path(__file__).parent)
