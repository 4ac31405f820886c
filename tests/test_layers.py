"""Tests that imports point down the layers, from the entry point to the policy, and that none are circular.

The order is that of docs/ARCHITECTURE.md, "The layers". An import inside a function counts too; one for the
type checker alone does not, as it is never run.
"""

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent

# From the top down. A package may import those that come after it, never one that comes before it.
LAYERS = (
    "__main__",
    "cli",
    "lab",
    "head",
    "optional_fronts",
    "reload",
    "peering",
    "management",
    "fronts",
    "net",
    "importer",
    "config",
    "faults",
    "matching",
    "expressions",
    "settings",
    "history",
    "credit",
    "agreement",
    "membership",
    "core",
    "policy",
)


def type_checker_only(tree: ast.Module) -> set[int]:
    """Return the ids of the syntax nodes under `if TYPE_CHECKING:`."""
    blocks = [
        node
        for node in ast.walk(tree)
        if isinstance(node, ast.If) and isinstance(node.test, ast.Name) and node.test.id == "TYPE_CHECKING"
    ]
    return {id(inner) for block in blocks for statement in block.body for inner in ast.walk(statement)}


def imported_modules(path: Path, for_types: bool = False) -> set[str]:
    """Return the dotted names of the project's modules that a file imports at run time, or for types too."""
    tree = ast.parse(path.read_text())
    skipped = set() if for_types else type_checker_only(tree)
    found: set[str] = set()
    for node in ast.walk(tree):
        if id(node) in skipped:
            continue
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            found.update(imported_names(node))
    return {name for name in found if name.startswith("stoatrouter.")}


def imported_names(node: ast.ImportFrom) -> set[str]:
    """Return the submodules that a `from ... import` names, or else the module itself."""
    folder = ROOT.joinpath(*str(node.module).split("."))
    submodules = {
        f"{node.module}.{alias.name}"
        for alias in node.names
        if (folder / f"{alias.name}.py").exists() or (folder / alias.name).is_dir()
    }
    return submodules or {str(node.module)}


def package_imports(root: Path) -> dict[tuple[str, str], str]:
    """Return each pair of packages (importer, imported) under `root`/stoatrouter, with a file that has it."""
    pairs: dict[tuple[str, str], str] = {}
    for path in sorted((root / "stoatrouter").rglob("*.py")):
        parts = path.relative_to(root / "stoatrouter").with_suffix("").parts
        for module in imported_modules(path):
            pair = (parts[0], module.split(".")[1])
            if pair[0] != pair[1]:
                pairs.setdefault(pair, str(path.relative_to(root)))
    return pairs


def upward_imports(root: Path) -> list[str]:
    """Return a line for each pair of packages whose import points up or that names no known package."""
    violations = []
    for (importer, imported), file in package_imports(root).items():
        if importer not in LAYERS or imported not in LAYERS:
            violations.append(f"{file}: {importer} or {imported} is in no layer")
        elif LAYERS.index(importer) > LAYERS.index(imported):
            violations.append(f"{file}: {importer} must not import {imported}, which is above it")
    return violations


def module_imports(root: Path, package: str = "", for_types: bool = False) -> dict[str, set[str]]:
    """Map each module under `root`/stoatrouter/`package` to the project's modules that it imports."""
    graph: dict[str, set[str]] = {}
    for path in (root / "stoatrouter" / package).rglob("*.py"):
        name = ".".join(path.relative_to(root).with_suffix("").parts).removesuffix(".__init__")
        graph[name] = imported_modules(path, for_types)
    return graph


def test_no_modules_import_each_other_in_a_circle():
    TopologicalSorter(module_imports(ROOT)).prepare()


def test_a_circle_of_modules_is_found(tmp_path):
    folder = tmp_path / "stoatrouter" / "core"
    folder.mkdir(parents=True)
    (folder / "first.py").write_text("import stoatrouter.core.second\n")
    (folder / "second.py").write_text("import stoatrouter.core.first\n")
    with pytest.raises(CycleError):
        TopologicalSorter(module_imports(tmp_path)).prepare()


def test_no_types_of_the_decision_module_know_each_other_in_a_circle():
    """Guards against a request that holds its node while the node holds its requests."""
    TopologicalSorter(module_imports(ROOT, "policy", for_types=True)).prepare()


def test_every_import_between_packages_points_down():
    assert upward_imports(ROOT) == []


@pytest.mark.parametrize(
    "package, line",
    [
        ("core", "from stoatrouter.net.engine import Engine\n"),
        ("policy", "def decide():\n    from stoatrouter import config\n"),
        ("membership", "import stoatrouter.peering.fleet\n"),
    ],
)
def test_an_import_that_points_up_is_found(tmp_path, package, line):
    folder = tmp_path / "stoatrouter" / package
    folder.mkdir(parents=True)
    (folder / "module.py").write_text(line)
    assert len(upward_imports(tmp_path)) == 1


def test_an_import_for_the_type_checker_alone_is_not_counted(tmp_path):
    folder = tmp_path / "stoatrouter" / "core"
    folder.mkdir(parents=True)
    text = (
        "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from stoatrouter.net.engine import Engine\n"
    )
    (folder / "module.py").write_text(text)
    assert upward_imports(tmp_path) == []
