"""Set-up shared by all scenarios."""

from hypothesis import settings

# Each run uses the same examples, so that its result is reproducible.
settings.register_profile("ci", derandomize=True, deadline=None, max_examples=200)
settings.load_profile("ci")
