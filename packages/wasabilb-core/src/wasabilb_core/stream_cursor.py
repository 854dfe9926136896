"""Position tracking in an answer, to detect lost and repeated items and a missing end."""

from attrs import frozen
from returns.result import Failure, Result, Success

from wasabilb_core.errors import Error, ErrorKind


@frozen(kw_only=True)
class AcceptedPart:
    """Accepted part of an answer, with the number of leading items received before."""

    skip: int


class StreamCursor:
    """Tracks the position in one answer over all its attempts.

    Parameters
    ----------
    position : int
        Index of the next missing item (token or byte).
    """

    def __init__(self, *, position: int = 0) -> None:
        self.position = position
        self.is_ended = False

    def on_part(self, *, position: int, count: int) -> Result[AcceptedPart, Error]:
        """Accept a part of `count` items that starts at `position`.

        Fails with `STREAM_BROKEN` if items are missing before it or if the answer has ended.
        """
        if self.is_ended and position + count > self.position:
            return _broken("a part arrived after the end of the answer")
        if position > self.position:
            return _broken(f"items {self.position} to {position - 1} are missing")
        skip = min(self.position - position, count)
        self.position = max(self.position, position + count)
        return Success(AcceptedPart(skip=skip))

    def on_end(self, *, position: int) -> Result[None, Error]:
        """Accept the end of the answer, which must be at the cursor."""
        if position != self.position:
            return _broken(f"the answer ends at {position}, received up to {self.position}")
        self.is_ended = True
        return Success(None)


def _broken(detail: str) -> Failure[Error]:
    return Failure(Error(kind=ErrorKind.STREAM_BROKEN, detail=detail))
