"""Steps about the check of the fault matrix."""

import copy
import tempfile
from pathlib import Path

import check_matrix
from behave import given, then, when

TABLE = {
    "faults": {"killed": "k", "lost": "l"},
    "flows": {"f": ["s"]},
    "cells": [
        {"flow": "f", "faults": ["killed"], "scenario": "x.feature: A {fault}"},
        {"flow": "f", "faults": ["lost"], "none": "It cannot be lost."},
    ],
}
FEATURE = """
Feature: x
  Scenario Outline: A <effect>
    Given it is <effect>
    Examples:
      | effect | turn |
      | killed | 1    |
      | killed | 2    |
"""


@given("a matrix of two cells, one with a scenario that passed")
def step_matrix(context):
    context.matrix = copy.deepcopy(TABLE)
    context.passed = ["passed", "passed"]


@when("it is changed so that {mistake}")
def step_change(context, mistake):
    cells = context.matrix["cells"]
    pair = {"step": "p", "faults": ["killed", "unknown"], "none": "n"}
    changes = {
        "nothing is wrong": lambda: None,
        "a cell has no entry": lambda: cells.pop(),
        "a cell has an empty reason": lambda: cells[1].update(none=" "),
        "a cell has a scenario and a reason": lambda: cells[1].update(
            scenario="x.feature: A killed"
        ),
        "a cell is given twice": lambda: cells.append(dict(cells[1])),
        "an entry names an unknown step": lambda: cells[1].update(steps=["s", "t"]),
        "a pair names an unknown fault": lambda: context.matrix.update(pairs=[pair]),
        "a scenario does not exist": lambda: cells[0].update(scenario="x.feature: B"),
        "a scenario failed": lambda: context.passed.__setitem__(slice(2), ["failed"] * 2),
        "one of two examples failed": lambda: context.passed.__setitem__(0, "failed"),
        "a scenario was not run": lambda: context.passed.clear(),
        "a scenario was skipped": lambda: context.passed.__setitem__(slice(2), ["skipped"] * 2),
    }
    changes[mistake]()


@then('the check of the matrix reports "{problem}"')
def step_problem(context, problem):
    problems = problems_of(context)
    assert len(problems) == 1 and problem in problems[0], problems


@then('the check of the matrix reports ""')
def step_no_problem(context):
    assert problems_of(context) == []


def problems_of(context):
    """Return the problems that the check finds in the table and the results."""
    matrix = check_matrix.read_matrix(context.matrix)
    elements = [
        {"type": "scenario", "name": f"A killed -- @1.{turn} ", "status": status}
        for turn, status in enumerate(context.passed)
    ]
    results = [{"location": "features/x.feature:2", "elements": elements}]
    with tempfile.TemporaryDirectory() as folder:
        features = Path(folder) / "features"
        features.mkdir()
        (features / "x.feature").write_text(FEATURE, encoding="utf-8")
        missing = check_matrix.missing_scenarios(matrix, Path(folder))
    found = matrix.problems + missing
    return found or check_matrix.unpassed_scenarios(matrix, check_matrix.scenario_statuses(results))
