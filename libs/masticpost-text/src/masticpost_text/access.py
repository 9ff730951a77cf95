"""Access rules: which versions a customer may use."""

from masticpost_text import model


def allowed_versions(
    text: model.Text, cust: model.Customer, model_name: str
) -> list[model.Version]:
    """Return the active versions of a model that the customer may use."""
    return [
        ver
        for ver in text.versions_of(model_name)
        if ver.state == "active" and is_allowed(cust, ver)
    ]


def is_allowed(cust: model.Customer, ver: model.Version) -> bool:
    """Return whether the customer may use the version, regardless of its state."""
    if cust.models and ver.model not in cust.models:
        return False
    return not cust.versions or ver.name in cust.versions
