"""Agent beside each backend server of wasabilb."""
