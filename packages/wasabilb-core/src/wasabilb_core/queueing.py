"""Public names of the run queue policies and of the types that they take."""

from wasabilb_core import _short_first
from wasabilb_core._queue_base import QUEUES, Job, Preempt, QueuePolicy

ShortFirst = _short_first.ShortFirst
ShortFirstOptions = _short_first.ShortFirstOptions

__all__ = ["QUEUES", "Job", "Preempt", "QueuePolicy", "ShortFirst", "ShortFirstOptions"]
