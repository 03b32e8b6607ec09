#!/usr/bin/env python3
"""Checks that packages/base/events.h and docs/events.md list the same events."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main() -> int:
    """Prints duplicate numbers and differences; returns 1 if there are any."""
    code = (ROOT / "packages/base/events.h").read_text()
    defined = re.findall(r'\{(\d+),\s*Severity::k(\w+),\s*"(\w+)"\s*\}', code)
    docs = (ROOT / "docs/events.md").read_text()
    listed = re.findall(r"^\| (\d+) \| (\w+) \| `(\w+)` \|", docs, re.M)
    numbers = [number for number, _, _ in defined]
    problems = [f"event {n} is defined twice" for n in set(numbers) if numbers.count(n) > 1]
    code_set = {(n, severity.lower(), name) for n, severity, name in defined}
    docs_set = set(listed)
    problems += [f"not in docs/events.md: {e}" for e in sorted(code_set - docs_set)]
    problems += [f"not in events.h: {e}" for e in sorted(docs_set - code_set)]
    print("\n".join(problems), end="\n" if problems else "")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
