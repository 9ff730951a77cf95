"""The registry of the bench's arms."""

import collections.abc

from masticpost_common import registry

Arm = collections.abc.Callable[[dict[str, object]], collections.abc.Awaitable[int]]
ARMS: registry.Registry[Arm] = registry.Registry(kind="bench arm")
