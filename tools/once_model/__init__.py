"""Model checker of the core protocol, and runs of the real core checked against the model."""
