#!/usr/bin/env python3
"""Checks that each package includes only packages it declares as dependencies."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ROOT / "packages"


def declared_dependencies() -> dict[str, set[str]]:
    """Returns the packages in packages/CMakeLists.txt with their dependencies.

    A package may depend only on packages declared before it; exits otherwise.
    """
    text = (PACKAGES / "CMakeLists.txt").read_text()
    result: dict[str, set[str]] = {}
    for name, deps in re.findall(r"tanagerloom_package\((\w+) DEPS ([^)]*)\)", text):
        packages = {d for d in deps.split() if (PACKAGES / d).is_dir()}
        unknown = packages - result.keys()
        if unknown:
            sys.exit(f"package {name} depends on {sorted(unknown)}, declared after it")
        result[name] = packages
    return result


def main() -> int:
    """Prints each include of an undeclared dependency; returns 1 if there is one."""
    allowed = declared_dependencies()
    problems = 0
    for name, deps in allowed.items():
        for path in sorted((PACKAGES / name).rglob("*")):
            if path.suffix not in (".h", ".cc"):
                continue
            for include in re.findall(r'#include "(\w+)/', path.read_text()):
                if include in allowed and include != name and include not in deps:
                    print(f"{path.relative_to(ROOT)} includes {include}, "
                          f"which is not a dependency of {name}")
                    problems += 1
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
