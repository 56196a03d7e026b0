"""Validates the docstrings of public functions and classes with numpydoc."""

import ast
import sys
from pathlib import Path

from numpydoc.validate import validate

# GL01 and GL02 concern blank lines, which the formatter sets. The groups EX, SA and ES
# ask for sections that are useful only in the documentation of a public library.
IGNORED_PREFIXES = ("EX", "SA", "ES", "YD")
IGNORED = {"GL01", "GL02", "GL03", "GL08", "RT01", "RT02", "RT03", "PR01", "PR02"}
IGNORED |= {"PR06", "PR08", "PR09", "SS05", "SS06"}


def public_names(path: Path, root: Path) -> list[str]:
    """List the dotted names of public functions and classes in one module.

    Parameters
    ----------
    path : Path
        The module's file.
    root : Path
        The directory that holds the top-level package.

    Returns
    -------
    list of str
        Dotted names of the module's public top-level definitions.
    """
    module = ".".join(path.relative_to(root).with_suffix("").parts)
    module = module.removesuffix(".__init__")
    definitions = (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return [
        f"{module}.{node.name}"
        for node in tree.body
        if isinstance(node, definitions) and not node.name.startswith("_")
    ]


def main() -> int:
    """Print every fault and return the exit status of the process."""
    root = Path(__file__).resolve().parent.parent / "src"
    faults = []
    n_checked = 0
    for path in sorted(root.rglob("*.py")):
        for name in public_names(path, root):
            n_checked += 1
            for code, text in validate(name)["errors"]:
                if code in IGNORED or code.startswith(IGNORED_PREFIXES):
                    continue
                faults.append(f"{name}: {code} {text}")
    print("\n".join(faults))
    print(f"{n_checked} docstrings checked, {len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
