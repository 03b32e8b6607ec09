#!/usr/bin/env python3
"""Checks that no two headers define a type of the same name in one namespace.

Programs link code of all packages. Two types of one name would share the
functions that the compiler generates for them, such as those of containers,
and so read each other's memory.
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = ("packages", "platform", "apps")
NAMESPACE = re.compile(r"^namespace ([\w:]+) \{")
END = re.compile(r"^\}  // namespace ([\w:]+)")
TYPE = re.compile(r"^(?:struct|enum class|enum|class) (\w+)\b[^;]*$")


def defined_types(path: pathlib.Path) -> list[str]:
    """Returns the qualified names of the types that a header defines."""
    out = []
    namespaces: list[str] = []
    for line in path.read_text().splitlines():
        if match := NAMESPACE.match(line):
            namespaces.append(match[1])
        elif END.match(line):
            namespaces.pop()
        elif match := TYPE.match(line):
            out.append("::".join([*namespaces, match[1]]))
    return out


def main() -> int:
    first: dict[str, pathlib.Path] = {}
    errors = []
    for folder in FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.h")):
            if "generated" in path.parts:
                continue
            for name in defined_types(path):
                if name in first:
                    errors.append(f"{path.relative_to(ROOT)}: {name} is also defined in "
                                  f"{first[name].relative_to(ROOT)}")
                first.setdefault(name, path)
    for it in errors:
        print(it, file=sys.stderr)
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
