"""The bodies of callers' model requests, checked and translated for the engine."""

import json
from typing import Any

import xxhash
from attrs import field, frozen
from returns.result import Failure, Result, Success
from wasabilb_core.errors import Error, ErrorKind
from wasabilb_core.tickets import Variant

MAX_TOKENS = 131_072
DEFAULT_MAX_TOKENS = 256
# Engines cache prompts in blocks of about this many characters.
PREFIX_BLOCK_CHARS = 64
MAX_PREFIXES = 32
# English text has about four characters per token.
CHARS_PER_TOKEN = 4

# Sampling parameters that pass to the engine unchanged.
_SAMPLING_KEYS = ("temperature", "top_p", "stop", "seed", "presence_penalty", "frequency_penalty")


@frozen(kw_only=True)
class ModelPrompt:
    """Checked body of a model request.

    Parameters
    ----------
    model, prompt : str
        Model deployment and text of the prompt.
    max_tokens : int
        Maximum tokens of the whole answer.
    is_stream, is_chat : bool
        Form of the answer.
    sampling_params : dict
        Sampling parameters for the engine.
    """

    model: str
    prompt: str
    max_tokens: int
    is_stream: bool
    is_chat: bool
    sampling_params: dict[str, Any] = field(factory=dict)

    @property
    def prompt_tokens(self) -> int:
        """Return the estimated number of tokens of the prompt."""
        return max(1, len(self.prompt) // CHARS_PER_TOKEN)

    @property
    def prefix_hashes(self) -> tuple[int, ...]:
        """Return the hash of each prefix of whole blocks, the shortest first."""
        hasher = xxhash.xxh3_64(self.model.encode())
        hashes: list[int] = []
        for stop in range(PREFIX_BLOCK_CHARS, len(self.prompt) + 1, PREFIX_BLOCK_CHARS):
            if len(hashes) == MAX_PREFIXES:
                break
            hasher.update(self.prompt[stop - PREFIX_BLOCK_CHARS : stop].encode())
            hashes.append(hasher.intdigest())
        return tuple(hashes)

    @property
    def shared_parts(self) -> tuple[int, ...]:
        """Return the parts that other prompts may share: the prefixes but for the whole prompt."""
        hashes = self.prefix_hashes
        is_whole = len(self.prompt) == len(hashes) * PREFIX_BLOCK_CHARS
        return hashes[:-1] if is_whole else hashes

    def to_engine_body(self, variant: Variant) -> bytes:
        """Return the engine's request without the fields that differ between attempts."""
        body = {
            **self.sampling_params,
            "model": variant.model,
            "adapter": variant.adapter,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
        }
        return json.dumps(body).encode()


def parse_prompt(raw: bytes, *, is_chat: bool) -> Result[ModelPrompt, Error]:
    """Read the body of a completion or chat request."""
    try:
        data = json.loads(raw)
    except (ValueError, RecursionError):
        return _bad_request("the body is not JSON")
    if not isinstance(data, dict):
        return _bad_request("the body: expected a JSON object")
    model = data.get("model")
    if not isinstance(model, str) or not model:
        return _bad_request("model: expected a string")
    prompt = _to_chat_text(data.get("messages")) if is_chat else data.get("prompt")
    if not isinstance(prompt, str):
        expected = (
            "messages: expected a list of {role, content}"
            if is_chat
            else "prompt: expected a string"
        )
        return _bad_request(expected)
    limit = data.get("max_tokens", data.get("max_completion_tokens", DEFAULT_MAX_TOKENS))
    if type(limit) is not int or not 0 < limit <= MAX_TOKENS:
        return _bad_request(f"max_tokens: expected an integer from 1 to {MAX_TOKENS}")
    is_stream = data.get("stream", False)
    if not isinstance(is_stream, bool):
        return _bad_request("stream: expected true or false")
    if data.get("n", 1) != 1:
        return _bad_request("n: only one answer a request is supported")
    try:
        prompt.encode()
    except UnicodeEncodeError:
        return _bad_request("the prompt contains unpaired surrogates")
    return Success(
        ModelPrompt(
            model=model,
            prompt=prompt,
            max_tokens=limit,
            is_stream=is_stream,
            is_chat=is_chat,
            sampling_params={name: data[name] for name in _SAMPLING_KEYS if name in data},
        )
    )


def _to_chat_text(messages: Any) -> str | None:
    """Return the text of a chat, one line per message, or None when it is malformed."""
    if not isinstance(messages, list) or not messages:
        return None
    lines = []
    for message in messages:
        role = message.get("role") if isinstance(message, dict) else None
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(role, str) or not isinstance(content, str):
            return None
        lines.append(f"{role}: {content}")
    return "\n".join(lines)


def _bad_request(detail: str) -> Failure[Error]:
    return Failure(Error(kind=ErrorKind.BAD_REQUEST, detail=detail))
