"""Test oracle: the expected answers of an engine, computed by pure functions."""

import functools
import hashlib
import re

from wasabilb_core.tickets import Variant

_LENGTH_HINT = re.compile(r"\[len=(\d+)\]")
_VARIANT = re.compile(r"(?P<model>[^+@]+)(?:\+(?P<adapter>[^@]+))?@(?P<version>.+)")

# Answers without a hint have 8 to 71 tokens, as short chat answers have.
_MIN_TOKENS = 8
_TOKEN_RANGE = 64


def parse_variant(text: str) -> Variant:
    """Return the variant of `model[+adapter]@version`, the format of `str(Variant)`."""
    match = _VARIANT.fullmatch(text)
    if match is None:
        raise ValueError(f"not a variant: {text!r}")
    return Variant(model=match["model"], adapter=match["adapter"] or "", version=match["version"])


def natural_length(prompt: str) -> int:
    """Return the length of an unlimited answer: the hint `[len=N]`, else a hash of the prompt."""
    hint = _LENGTH_HINT.search(prompt)
    if hint:
        return int(hint[1])
    return _MIN_TOKENS + hashlib.blake2b(prompt.encode(), digest_size=1).digest()[0] % _TOKEN_RANGE


def answer_length(prompt: str, max_tokens: int) -> int:
    """Return the number of tokens of the complete answer."""
    return min(natural_length(prompt), max_tokens)


def finish_reason(prompt: str, max_tokens: int) -> str:
    """Return `length` if `max_tokens` truncates the answer, else `stop`."""
    return "length" if natural_length(prompt) > max_tokens else "stop"


@functools.lru_cache(maxsize=4096)
def _seed(model: str, adapter: str, version: str, prompt: str) -> "hashlib.blake2b":
    parts = "\0".join((model, adapter, version, prompt))
    return hashlib.blake2b(parts.encode(), digest_size=4)


def token_text(model: str, adapter: str, version: str, prompt: str, i: int) -> str:
    """Return the text of token `i`, counted from 0 at the start of the complete answer."""
    state = _seed(model, adapter, version, prompt).copy()
    state.update(i.to_bytes(8, "little"))
    return f" {state.hexdigest()}"


def answer_text(variant: Variant, prompt: str, max_tokens: int, start: int = 0) -> str:
    """Return the text of an answer from position `start` to its end."""
    return "".join(
        token_text(variant.model, variant.adapter, variant.version, prompt, i)
        for i in range(start, answer_length(prompt, max_tokens))
    )
