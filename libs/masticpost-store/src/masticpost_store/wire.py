"""Types of the Kubernetes API as far as it is used: ConfigMaps with binary data.

Source: Kubernetes API reference, ConfigMap v1 core.
"""

import base64

import attrs

from masticpost_store import objects

VALUE_KEY = "value"


@attrs.define(kw_only=True)
class Metadata:
    """Object metadata; an empty `resourceVersion` makes a write unconditional."""

    name: str
    resourceVersion: str = ""  # noqa: N815
    labels: dict[str, str] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class ConfigMap:
    """A ConfigMap; its values are encoded as base64."""

    metadata: Metadata
    binaryData: dict[str, str] = attrs.field(factory=dict)  # noqa: N815
    apiVersion: str = "v1"  # noqa: N815
    kind: str = "ConfigMap"


@attrs.define(kw_only=True)
class ListMetadata:
    """Metadata of a list."""

    resourceVersion: str = ""  # noqa: N815


@attrs.define(kw_only=True)
class ConfigMapList:
    """A list of ConfigMaps."""

    metadata: ListMetadata
    items: list[ConfigMap] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class WatchEvent:
    """One event of a watch, sent as one line."""

    type: str
    object: ConfigMap


def pack(
    name: str, value: bytes, version: str = "", labels: dict[str, str] | None = None
) -> ConfigMap:
    """Return a ConfigMap that holds `value`."""
    return ConfigMap(
        metadata=Metadata(name=name, resourceVersion=version, labels=labels or {}),
        binaryData={VALUE_KEY: base64.b64encode(value).decode()},
    )


def unpack(cm: ConfigMap) -> objects.StoredObject:
    """Return the object that a ConfigMap holds."""
    return objects.StoredObject(
        name=cm.metadata.name,
        value=base64.b64decode(cm.binaryData.get(VALUE_KEY, "")),
        version=cm.metadata.resourceVersion,
        labels=cm.metadata.labels,
    )
