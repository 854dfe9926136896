"""Runtime shared by the wasabilb processes."""
