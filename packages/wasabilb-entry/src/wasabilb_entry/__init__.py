"""Entry process and operators' commands of wasabilb."""
