"""Settings of the entry process and of the agent, read from TOML.

The metadata of each field contains its check and its meaning, from which `docs/settings.md` is
generated.
"""

import types
from collections.abc import Iterator
from typing import Any, TypeVar, get_args, get_origin

import attrs
from attrs import field, frozen
from returns.result import Failure, Result, Success

from wasabilb_core._settings_sections import (
    AdminSettings,
    CallerSettings,
    EngineSettings,
    LimitSettings,
    LinkSettings,
    LogSettings,
    MetricSettings,
    PlatformSettings,
    PolicySettings,
    ServiceSettings,
    SpreadSettings,
    TimeoutSettings,
    WeightSettings,
    about,
)
from wasabilb_core._value_checks import (
    NAME_PATTERN,
    check_address,
    check_host_port,
    is_loopback,
    matches,
)
from wasabilb_core.toml_check import Problem, line_of, read_toml, structure

__all__ = [
    "AdminSettings",
    "AgentSettings",
    "CallerSettings",
    "EngineSettings",
    "EntrySettings",
    "LimitSettings",
    "LinkSettings",
    "LogSettings",
    "MetricSettings",
    "PlatformSettings",
    "PolicySettings",
    "ServiceSettings",
    "SpreadSettings",
    "TimeoutSettings",
    "WeightSettings",
    "check_host_port",
    "parse_settings",
    "plaintext_warnings",
    "sections_of",
]

_NAME = matches(NAME_PATTERN, "letters, digits, '-' or '_' (at most 63)")


@frozen(kw_only=True)
class _ProcessSettings:
    """Settings that all processes have."""

    host: str = field(metadata=about("Name of this host, unique in the fleet.", check=_NAME))
    region: str = field(metadata=about("Region of this host.", check=_NAME))
    failure_domain: str = field(metadata=about("Failure domain of this host.", check=_NAME))
    listen: str = field(
        metadata=about(
            "`IP:PORT` on which links from other processes are accepted.", check=check_address
        )
    )
    seeds: list[str] = field(
        factory=list,
        metadata=about(
            "Link addresses (`IP:PORT`) of peers from which a starting process requests tickets.",
            check=check_address,
        ),
    )
    platform: PlatformSettings
    admin: AdminSettings = field(factory=AdminSettings)
    policy: PolicySettings = field(factory=PolicySettings)
    limits: LimitSettings = field(factory=LimitSettings)
    links: LinkSettings = field(factory=LinkSettings)
    timeouts: TimeoutSettings = field(factory=TimeoutSettings)
    metrics: MetricSettings = field(factory=MetricSettings)
    log: LogSettings = field(factory=LogSettings)


@frozen(kw_only=True)
class EntrySettings(_ProcessSettings):
    """Settings of an entry process."""

    callers: CallerSettings
    spread: SpreadSettings = field(factory=SpreadSettings)


@frozen(kw_only=True)
class AgentSettings(_ProcessSettings):
    """Settings of an agent; exactly one of `engine` and `service` is given."""

    engine: EngineSettings | None = None
    service: ServiceSettings | None = None
    spread: SpreadSettings = field(factory=SpreadSettings)
    weights: WeightSettings = field(factory=WeightSettings)


S = TypeVar("S", EntrySettings, AgentSettings)


def parse_settings(text: str, cls: type[S]) -> Result[S, tuple[Problem, ...]]:
    """Parse and check settings, or fail with every problem in them.

    Parameters
    ----------
    text : str
        TOML text.
    cls : type
        `EntrySettings` or `AgentSettings`.
    """
    parsed = read_toml(text)
    if not isinstance(parsed, Success):
        return Failure(parsed.failure())
    data: dict[str, Any] = parsed.unwrap()
    built: Result[S, tuple[Problem, ...]] = structure(text, data, cls)
    problems = list(built.failure()) if isinstance(built, Failure) else []
    reported_paths = {problem.path for problem in problems}
    problems.extend(
        Problem(path=path, line=line_of(text, path), message=message)
        for path, message in (*_value_problems(data, cls, ""), *_cross_field_problems(data, cls))
        if path not in reported_paths
    )
    if problems:
        return Failure(tuple(sorted(problems, key=lambda problem: (problem.line, problem.path))))
    return built


def plaintext_warnings(settings: EntrySettings | AgentSettings) -> tuple[str, ...]:
    """Return one line for each listener that is reachable from other hosts without TLS."""
    warnings = []
    if not settings.links.tls_cert and not is_loopback(settings.listen):
        warnings.append(f"links on {settings.listen} are plain text")
    if isinstance(settings, EntrySettings):
        callers = settings.callers
        if not callers.tls_cert and not is_loopback(callers.listen):
            warnings.append(f"callers' connections on {callers.listen} are plain text")
    return tuple(warnings)


def sections_of(cls: type) -> Iterator[tuple[str, type]]:
    """Yield the name and the class of each section of a settings class."""
    for attribute in attrs.fields(cls):
        section = _section_class(attribute.type)
        if section is not None:
            yield attribute.name, section


def _section_class(hint: Any) -> type | None:
    options = get_args(hint) if get_origin(hint) is types.UnionType else (hint,)
    return next((option for option in options if attrs.has(option)), None)


def _value_problems(data: dict[str, Any], cls: type, path: str) -> Iterator[tuple[str, str]]:
    for attribute in attrs.fields(cls):
        value = data.get(attribute.name)
        value_path = f"{path}.{attribute.name}".lstrip(".")
        section = _section_class(attribute.type)
        if section is not None:
            if isinstance(value, dict):
                yield from _value_problems(value, section, value_path)
            continue
        check = attribute.metadata["check"]
        is_list = isinstance(value, list)
        for index, item in enumerate(value if isinstance(value, list) else [value]):
            message = check(item) if check is not None and item is not None else None
            if message:
                yield (f"{value_path}[{index}]" if is_list else value_path), message


def _cross_field_problems(data: dict[str, Any], cls: type) -> Iterator[tuple[str, str]]:
    yield from _tls_problems(data, "links", data.get("listen"), ("tls_cert", "tls_key", "tls_ca"))
    if issubclass(cls, EntrySettings):
        callers = data.get("callers")
        address = callers.get("listen") if isinstance(callers, dict) else None
        yield from _tls_problems(data, "callers", address, ("tls_cert", "tls_key"))
    elif ("engine" in data) == ("service" in data):
        count = "both are" if "engine" in data else "none is"
        path = "service" if "service" in data else ""
        yield path, f"expected exactly one of [engine] and [service], {count} given"
    limits = data.get("limits")
    chunk, frame = LimitSettings().chunk_bytes, LimitSettings().frame_bytes
    if isinstance(limits, dict):
        chunk, frame = limits.get("chunk_bytes", chunk), limits.get("frame_bytes", frame)
    # A chunk is sent in one frame, together with its header.
    if isinstance(chunk, int) and isinstance(frame, int) and chunk + 1024 > frame:
        yield "limits.chunk_bytes", f"expected at most frame_bytes - 1024 = {frame - 1024}"


def _tls_problems(
    data: dict[str, Any], name: str, address: Any, keys: tuple[str, ...]
) -> Iterator[tuple[str, str]]:
    section = data.get(name, {})
    if not isinstance(section, dict):
        return
    missing = [key for key in keys if not section.get(key)]
    if missing and len(missing) < len(keys):
        yield f"{name}.{missing[0]}", f"expected all of {', '.join(keys)} or none of them"
    is_exposed = (
        isinstance(address, str) and not check_address(address) and not is_loopback(address)
    )
    if is_exposed and len(missing) == len(keys) and section.get("allow_plaintext") is not True:
        path = "listen" if name == "links" else f"{name}.listen"
        expected = f"expected a loopback address, [{name}] tls_cert or allow_plaintext = true"
        yield path, f"{address} is reachable from other hosts without TLS; {expected}"
