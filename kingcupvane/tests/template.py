"""Renders `deploy/settings.toml` as the platform does.

Placeholders `{{a.b}}` and `{{a.b|json}}` return a value of the platform's
fields. A section `{{#a.b}} .. {{/a.b}}` is left out where there is no value or
where it is false, and is rendered for each entry of a table, else once.
"""

import json
import re
from pathlib import Path
from typing import Any

SETTINGS_TEMPLATE = Path(__file__).parents[2] / "deploy" / "settings.toml"
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
PLACEHOLDER = re.compile(r"\{\{(@|[\w.]+)(\|json)?\}\}")


def render(template: str, fields: dict[str, Any]) -> str:
    """Returns a template with its sections and placeholders filled in.

    Args:
        template: Text of the template.
        fields: Values by name; nested tables are reached with dots.
    """

    def render_section(match: re.Match) -> str:
        name, text = match.groups()
        value = _look_up(name, fields)
        if value is None or value is False:
            return ""
        if not isinstance(value, dict):
            return render(text, fields)
        return "".join(
            render(text, fields | {"@": key, ".": entry})
            for key, entry in value.items()
        )

    def render_placeholder(match: re.Match) -> str:
        value = _look_up(match[1], fields)
        if match[2] or isinstance(value, bool | dict):
            return json.dumps(value)
        return "" if value is None else str(value)

    return PLACEHOLDER.sub(
        render_placeholder, SECTION.sub(render_section, template)
    )


def _look_up(name: str, fields: dict[str, Any]) -> Any:
    if name in ("@", "."):
        return fields.get(name)
    value: Any = fields
    for part in name.split("."):
        if isinstance(value, list):
            index = int(part)
            value = value[index] if index < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value
