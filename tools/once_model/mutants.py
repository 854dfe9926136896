"""Mutants of the real core, to show that the checks detect them."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

import attrs
from wasabilb_core import once, ownership
from wasabilb_core.once import Ledger
from wasabilb_core.ownership import OnceOwnership
from wasabilb_core.registry import Registry

MUTANTS: Registry[Any] = Registry(kind="mutant")
Patch = tuple[Any, str, Any]


def _mutant(name: str) -> Callable[[Callable[[], Patch]], Callable[[], Patch]]:
    return MUTANTS.register(name)


@contextmanager
def apply_mutant(name: str) -> Iterator[None]:
    """Apply a mutant to the core within the context."""
    target, attribute, replacement = MUTANTS.create(name).unwrap()
    with mock.patch.object(target, attribute, replacement):
        yield


def _patch_after(cls: type, method: str, change: Callable[..., None]) -> Patch:
    original = getattr(cls, method)

    def run(self: Any, *args: Any, **kwargs: Any) -> Any:
        result = original(self, *args, **kwargs)
        change(self, *args)
        return result

    return cls, method, run


@_mutant("a release is forgotten")
def _no_floor() -> Patch:
    return _patch_after(OnceOwnership, "on_release", lambda self, *_: setattr(self, "_floor", 0))


@_mutant("releases are not awaited")
def _no_release() -> Patch:
    return OnceOwnership, "_release_error", lambda self, now: None


@_mutant("a release carries no records")
def _no_records() -> Patch:
    def without_records(self: Any, answer: Any, *_: Any) -> Any:
        return attrs.evolve(answer, has_records=True, opaque_age_s=1e9)

    return OnceOwnership, "_with_records", without_records


@_mutant("a new incarnation trusts old keys")
def _no_barrier() -> Patch:
    def reset_barriers(self: Any, *_: Any) -> None:
        self._barrier = self._opaque_barrier = -1e9

    return _patch_after(OnceOwnership, "__init__", reset_barriers)


@_mutant("a release never expires")
def _permanent_release() -> Patch:
    return OnceOwnership, "_has_lease", lambda self, host, now: host in self._leases


@_mutant("a cancel leaves no tombstone")
def _no_tombstone() -> Patch:
    original = Ledger.cancel

    def cancel(self: Any, request: Any, now: float, wall_now: float) -> Any:
        answer = original(self, request, now, wall_now)
        if isinstance(answer, once.Refused):
            self._entries.pop((request.fingerprint.account, request.key.text), None)
        return answer

    return Ledger, "cancel", cancel


@_mutant("a running call starts again")
def _starts_again() -> Patch:
    return Ledger, "start", lambda self, key, mark: (mark.account, key.text) in self._entries


@_mutant("a refusal counts as not run")
def _refusal_not_run() -> Patch:
    return once, "Unknown", once.Refused


@_mutant("the releaser's age is ignored")
def _no_uptime() -> Patch:
    original = OnceOwnership.on_released

    def with_large_uptime(self: Any, answer: Any, *args: Any) -> Any:
        return original(self, attrs.evolve(answer, uptime_s=1e9), *args)

    return OnceOwnership, "on_released", with_large_uptime


@_mutant("eviction raises no watermark")
def _no_watermark() -> Patch:
    def reset_watermarks(self: Any) -> None:
        self._caller_watermark_ms = self._issued_watermark_ms = -1

    return _patch_after(Ledger, "_evict", reset_watermarks)


@_mutant("keys of the future are accepted")
def _future_keys() -> Patch:
    return ownership, "FUTURE_S", 1e9


@_mutant("an issued key runs in any incarnation")
def _any_incarnation() -> Patch:
    original = Ledger._claim_error

    def claim_error(self: Any, request: Any, now: float, wall_now: float) -> Any:
        if isinstance(request.key, once.IssuedKey):
            request = attrs.evolve(
                request, key=attrs.evolve(request.key, incarnation=self._incarnation)
            )
        return original(self, request, now, wall_now)

    return Ledger, "_claim_error", claim_error
