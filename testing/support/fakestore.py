"""In-process object API for tests: conditional writes with every kind of fault."""

import asyncio
import random

import attrs
import result
from masticpost_store import client, objects


@attrs.define(kw_only=True)
class FaultPlan:
    """Shares of calls that go wrong; drawn from a seeded generator.

    `lost` writes take effect without an answer, `late` ones take effect some calls
    later, `dropped` ones never do; the caller cannot tell these three apart.
    """

    seed: int = 0
    refused: float = 0.0
    lost: float = 0.0
    late: float = 0.0
    dropped: float = 0.0
    stale: float = 0.0


@attrs.define(kw_only=True)
class LateWrite:
    """A write that is still on its way."""

    after_calls: int
    name: str
    value: bytes
    version: str | None
    labels: dict[str, str]


class Server:
    """The truth: objects with versions, and the past for stale reads."""

    def __init__(self, plan: FaultPlan | None = None) -> None:
        self.plan = plan or FaultPlan()
        self.random = random.Random(self.plan.seed)
        self.objects: dict[str, objects.StoredObject] = {}
        self.past: list[dict[str, objects.StoredObject]] = [{}]
        self.version = 0
        self.late: list[LateWrite] = []
        self.is_down = False

    def write(
        self, name: str, value: bytes, version: str | None, labels: dict[str, str]
    ) -> client.ObjectResult:
        """Apply a conditional write; no version means a create."""
        known = self.objects.get(name)
        matches = known is None if version is None else known is not None
        if matches and version is not None:
            matches = known.version == version
        if not matches:
            return result.Err(objects.Fault(kind=objects.FaultKind.CONFLICT))
        self.version += 1
        obj = objects.StoredObject(
            name=name, value=value, version=str(self.version), labels=labels
        )
        self.objects = {**self.objects, name: obj}
        self.past.append(self.objects)
        return result.Ok(obj)

    def tick(self) -> None:
        """Let late writes arrive."""
        for item in list(self.late):
            item.after_calls -= 1
            if item.after_calls <= 0:
                self.late.remove(item)
                self.write(item.name, item.value, item.version, item.labels)

    def view(self) -> dict[str, objects.StoredObject]:
        """Return the objects as a read sees them."""
        if self.random.random() < self.plan.stale:
            return self.random.choice(self.past[-4:])
        return self.objects


class FakeClient(client.Client):
    """A client of `Server`; each call yields to the loop once."""

    def __init__(self, server: Server) -> None:
        super().__init__(url="http://fake", namespace="test")
        self.server = server

    async def _enter(self) -> bool:
        await asyncio.sleep(0)
        self.server.tick()
        if self.server.is_down:
            return False
        return self.server.random.random() >= self.server.plan.refused

    async def get(self, name: str) -> client.ObjectResult:
        """Read one object, maybe stale."""
        if not await self._enter():
            return _refused()
        obj = self.server.view().get(name)
        if obj is None:
            return result.Err(objects.Fault(kind=objects.FaultKind.MISSING))
        return result.Ok(obj)

    async def list(self, labels: dict[str, str]) -> result.Result:
        """List by label, maybe stale."""
        if not await self._enter():
            return _refused()
        found = tuple(
            obj
            for obj in self.server.view().values()
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
        if not await self._enter():
            return _refused()
        kept = {key: obj for key, obj in self.server.objects.items() if key != name}
        self.server.objects = kept
        self.server.past.append(kept)
        return result.Ok(None)

    async def _write(
        self, name: str, value: bytes, version: str | None, labels: dict[str, str]
    ) -> client.ObjectResult:
        if not await self._enter():
            return _refused()
        plan, draw = self.server.plan, self.server.random.random()
        if draw < plan.lost:
            self.server.write(name, value, version, labels)
            return _not_known()
        if draw < plan.lost + plan.late:
            calls = self.server.random.randint(1, 6)
            self.server.late.append(
                LateWrite(
                    after_calls=calls,
                    name=name,
                    value=value,
                    version=version,
                    labels=labels,
                )
            )
            return _not_known()
        if draw < plan.lost + plan.late + plan.dropped:
            return _not_known()
        return self.server.write(name, value, version, labels)


def _refused() -> result.Err[objects.Fault]:
    return result.Err(objects.Fault(kind=objects.FaultKind.NOT_PROCESSED))


def _not_known() -> result.Err[objects.Fault]:
    return result.Err(objects.Fault(kind=objects.FaultKind.NOT_KNOWN))
