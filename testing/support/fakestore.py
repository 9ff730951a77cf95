"""In-process object API for tests, with conditional writes and injected faults."""

import asyncio
import random

import attrs
import result
from masticpost_store import client, objects


@attrs.define(kw_only=True)
class FaultPlan:
    """Shares of calls that fail, drawn from a seeded generator.

    `refused` calls fail as not processed, which the caller can tell. `lost` writes
    take effect without an answer, `late` ones take effect some calls later, `dropped`
    ones never do; the caller cannot tell these three apart. `stale` reads return one of
    the last states.
    """

    seed: int = 0
    refused: float = 0.0
    lost: float = 0.0
    late: float = 0.0
    dropped: float = 0.0
    stale: float = 0.0


@attrs.define(kw_only=True)
class LateWrite:
    """A delayed write, applied after `calls_left` further calls."""

    calls_left: int
    name: str
    value: bytes
    version: str | None
    labels: dict[str, str]


class Server:
    """State of the object API: versioned objects, and past states for stale reads."""

    def __init__(self, plan: FaultPlan | None = None) -> None:
        self.plan = plan or FaultPlan()
        self.rng = random.Random(self.plan.seed)
        self.objects: dict[str, objects.StoredObject] = {}
        self.history: list[dict[str, objects.StoredObject]] = [{}]
        self.version = 0
        self.late_writes: list[LateWrite] = []
        self.is_down = False

    def write(
        self, name: str, value: bytes, version: str | None, labels: dict[str, str]
    ) -> client.ObjectResult:
        """Apply a conditional write; `version` is None for a create."""
        existing = self.objects.get(name)
        matches = existing is None if version is None else existing is not None
        if matches and version is not None:
            matches = existing.version == version
        if not matches:
            return result.Err(objects.Fault(kind=objects.FaultKind.CONFLICT))
        self.version += 1
        obj = objects.StoredObject(
            name=name, value=value, version=str(self.version), labels=labels
        )
        self.objects = {**self.objects, name: obj}
        self.history.append(self.objects)
        return result.Ok(obj)

    def process_late_writes(self) -> None:
        """Count a call and apply the delayed writes that are due."""
        for write in list(self.late_writes):
            write.calls_left -= 1
            if write.calls_left <= 0:
                self.late_writes.remove(write)
                self.write(write.name, write.value, write.version, write.labels)

    def read_snapshot(self) -> dict[str, objects.StoredObject]:
        """Return the objects as a read sees them, possibly stale."""
        if self.rng.random() < self.plan.stale:
            return self.rng.choice(self.history[-4:])
        return self.objects


class FakeClient(client.Client):
    """Client of `Server`; each call yields to the event loop once."""

    def __init__(self, server: Server) -> None:
        super().__init__(url="http://fake", namespace="test")
        self.server = server

    async def _accept_call(self) -> bool:
        await asyncio.sleep(0)
        self.server.process_late_writes()
        if self.server.is_down:
            return False
        return self.server.rng.random() >= self.server.plan.refused

    async def get(self, name: str) -> client.ObjectResult:
        """Read one object, possibly stale."""
        if not await self._accept_call():
            return _not_processed()
        obj = self.server.read_snapshot().get(name)
        if obj is None:
            return result.Err(objects.Fault(kind=objects.FaultKind.MISSING))
        return result.Ok(obj)

    async def list(self, labels: dict[str, str]) -> result.Result:
        """List objects by label, possibly stale."""
        if not await self._accept_call():
            return _not_processed()
        found = tuple(
            obj
            for obj in self.server.read_snapshot().values()
            if labels.items() <= obj.labels.items()
        )
        return result.Ok(objects.Listing(objects=found, version="0"))

    async def create(
        self, name: str, value: bytes, labels: dict[str, str]
    ) -> client.ObjectResult:
        """Create an object."""
        return await self._write(name, value, None, labels)

    async def update(
        self, name: str, value: bytes, version: str, labels: dict[str, str]
    ) -> client.ObjectResult:
        """Replace an object."""
        return await self._write(name, value, version, labels)

    async def delete(self, name: str) -> result.Result[None, objects.Fault]:
        """Delete an object."""
        if not await self._accept_call():
            return _not_processed()
        remaining = {
            key: obj for key, obj in self.server.objects.items() if key != name
        }
        self.server.objects = remaining
        self.server.history.append(remaining)
        return result.Ok(None)

    async def _write(
        self, name: str, value: bytes, version: str | None, labels: dict[str, str]
    ) -> client.ObjectResult:
        if not await self._accept_call():
            return _not_processed()
        plan, drawn = self.server.plan, self.server.rng.random()
        if drawn < plan.lost:
            self.server.write(name, value, version, labels)
            return _unknown_outcome()
        if drawn < plan.lost + plan.late:
            calls = self.server.rng.randint(1, 6)
            self.server.late_writes.append(
                LateWrite(
                    calls_left=calls,
                    name=name,
                    value=value,
                    version=version,
                    labels=labels,
                )
            )
            return _unknown_outcome()
        if drawn < plan.lost + plan.late + plan.dropped:
            return _unknown_outcome()
        return self.server.write(name, value, version, labels)


def _not_processed() -> result.Err[objects.Fault]:
    return result.Err(objects.Fault(kind=objects.FaultKind.NOT_PROCESSED))


def _unknown_outcome() -> result.Err[objects.Fault]:
    return result.Err(objects.Fault(kind=objects.FaultKind.NOT_KNOWN))
