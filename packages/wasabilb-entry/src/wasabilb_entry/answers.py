"""Formats of answers and errors for callers."""

import json
import math
import time
from typing import Any

from wasabilb_core.errors import Error

from wasabilb_entry.prompts import ModelPrompt

PROBLEM_TYPE_PREFIX = "urn:wasabilb:problem:"
DONE_EVENT = b"data: [DONE]\n\n"


def to_problem(error: Error, *, request_id: str) -> dict[str, Any]:
    """Return the problem document of an error (RFC 9457)."""
    problem: dict[str, Any] = {
        "type": PROBLEM_TYPE_PREFIX + error.kind.value,
        "title": error.answer.title,
        "status": error.answer.status,
        "detail": error.detail,
        "outcome": error.effective_outcome.value,
        "retry_helps": error.answer.retry_helps,
        "request_id": request_id,
    }
    if error.retry_after_s is not None:
        problem["retry_after_s"] = round(error.retry_after_s, 3)
    return problem


def to_retry_after(error: Error) -> str | None:
    """Return the value of `Retry-After` in whole seconds (RFC 9110, section 10.2.3)."""
    if error.retry_after_s is None:
        return None
    return str(max(1, math.ceil(error.retry_after_s)))


def to_error_event(error: Error, *, request_id: str) -> bytes:
    """Return the server-sent event that ends a stream without its whole answer."""
    problem = json.dumps(to_problem(error, request_id=request_id))
    return f"event: error\ndata: {problem}\n\n".encode()


class CompletionFormatter:
    """Formats one completion for the completion or the chat interface."""

    def __init__(self, *, prompt: ModelPrompt, request_id: str) -> None:
        self._prompt = prompt
        created = int(time.time())
        name = "chatcmpl" if prompt.is_chat else "cmpl"
        self._id = f"{name}-{request_id}"
        self._created = created
        kind = "chat.completion.chunk" if prompt.is_chat else "text_completion"
        # Only the text differs from event to event, so the rest is serialized once.
        self._prefix = (
            f'data: {{"id":{json.dumps(self._id)},"object":"{kind}","created":{created},'
            f'"model":{json.dumps(prompt.model)},"choices":[{{"index":0,'
        )

    def to_event(self, text: str) -> bytes:
        """Return the event of some tokens."""
        content = json.dumps(text)
        field = f'"delta":{{"content":{content}}}' if self._prompt.is_chat else f'"text":{content}'
        return f'{self._prefix}{field},"finish_reason":null}}]}}\n\n'.encode()

    def to_end_event(self, reason: str) -> bytes:
        """Return the last event before `[DONE]`."""
        field = '"delta":{}' if self._prompt.is_chat else '"text":""'
        return f'{self._prefix}{field},"finish_reason":{json.dumps(reason)}}}]}}\n\n'.encode()

    def to_body(self, text: str, reason: str, tokens: int) -> dict[str, Any]:
        """Return the answer as one object."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        if self._prompt.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        prompt_tokens = self._prompt.prompt_tokens
        return {
            "id": self._id,
            "object": "chat.completion" if self._prompt.is_chat else "text_completion",
            "created": self._created,
            "model": self._prompt.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": tokens,
                "total_tokens": prompt_tokens + tokens,
            },
        }
