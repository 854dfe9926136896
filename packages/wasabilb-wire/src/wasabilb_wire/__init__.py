"""Messages and links between wasabilb processes."""
