"""Check that names of the operators' platform occur only in its adapter and the adapter's tests."""

import re
import sys
from pathlib import Path

# Headers, calls, published items and settings as they appear on the wire.
PLATFORM_NAMES = re.compile(
    r"X-Wasabilb-|Server-(Leaving|Limit)|kv-(key|range|watch)|op/config|op/version|platformStore|stage-(put|get)|"
    r"internalPorts|coldLeftMs|trafficSplit|WASABILB_SETTINGS"
)
SOURCES = ("packages", "features", "bench", "tools")
ALLOWED_FILES = (
    "features/steps/platform_adapter_steps.py",
    "features/steps/platform_config_entries_steps.py",
    "features/steps/platform_entries_steps.py",
    "features/steps/platform_examples.py",
    "features/steps/platform_report_steps.py",
    "features/steps/platform_runner_entries_steps.py",
    "features/steps/platform_settings_steps.py",
    "tools/check_platform.py",
)


def main() -> int:
    """Print each line that holds such a name and return the exit status."""
    root = Path(__file__).resolve().parent.parent
    problems = []
    for folder in SOURCES:
        for path in sorted((root / folder).rglob("*.py")):
            name = path.relative_to(root).as_posix()
            if name in ALLOWED_FILES:
                continue
            for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
                if PLATFORM_NAMES.search(line):
                    problems.append(f"{name}:{number}: a name of the platform outside platform/")
    print("\n".join(problems) if problems else "platform: its names stay in the adapter")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
