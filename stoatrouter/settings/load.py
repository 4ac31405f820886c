"""Loads settings from files, unifies them with a shipped schema and converts them to typed records."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from pathlib import Path
from typing import Any, Generic, TypeVar

import msgspec

from stoatrouter.settings import syntax as s
from stoatrouter.settings.errors import Fault, SettingsError
from stoatrouter.settings.evaluate import Evaluation
from stoatrouter.settings.parser import parse
from stoatrouter.settings.vertex import Conjunct, Scope, Vertex

Record = TypeVar("Record")
SCHEMAS = Path(__file__).parent / "schemas"
MODULE_FILE = Path("cue.mod", "module.cue")
NO_DIRECTORY = Path("/nonexistent")  # directory of a text that is not a file; nothing can be imported from it
MAX_FILES = 256  # files of the package and its imports together; more are a fault


@dataclass(slots=True, frozen=True)
class Loaded(Generic[Record]):
    """Typed settings, with the place of each field's path in the files."""

    record: Record
    places: dict[str, s.Place]
    digests: dict[Path, str]  # hex SHA-256 of the files as they were read

    @property
    def files(self) -> tuple[Path, ...]:
        """Return all files that were read, the operator's main file first."""
        return tuple(self.digests)

    def unchanged(self) -> bool:
        """Return whether the files still have the contents that were read; False if one is unreadable."""
        try:
            return all(
                hashlib.sha256(file.read_bytes()).hexdigest() == digest
                for file, digest in self.digests.items()
            )
        except OSError:
            return False

    def place(self, path: str) -> s.Place:
        """Return the place of a path, or of the nearest path above it."""
        while path not in self.places and path:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self.places.get(path) or s.Place(str(self.files[0]) if self.files else "", 1)


@dataclass(slots=True)
class Reader:
    """Reads files, each once, and the packages that they import; collects the faults."""

    files: dict[Path, s.File] = field(default_factory=dict)
    digests: dict[Path, str] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    packages: dict[Path, Vertex] = field(default_factory=dict)
    importing: list[Path] = field(default_factory=list)  # packages being imported, the outermost first

    def read(self, path: Path) -> s.File | None:
        """Return the tree of one file; record faults and return None if it cannot be read."""
        start = s.Place(str(path), 1)
        try:
            if len(self.files) >= MAX_FILES:
                raise SettingsError(Fault(start, "", "too many files", f"the limit is {MAX_FILES}"))
            data = path.read_bytes()
            self.files[path] = parse(data.decode("utf-8"), str(path))
            self.digests[path] = hashlib.sha256(data).hexdigest()
            return self.files[path]
        except OSError as error:
            self.faults.append(Fault(start, "", f"cannot be read: {error.strerror or error}"))
        except UnicodeDecodeError:
            self.faults.append(Fault(start, "", "is not valid UTF-8"))
        except SettingsError as error:
            self.faults += error.faults
        return None

    def read_instance(self, path: Path) -> list[s.File]:
        """Return a file and, if it names a package, the other files of that package in its directory."""
        first = self.read(path)
        if first is None:
            return []
        if first.package is None:
            return [first]
        siblings = [other for other in sorted(path.parent.glob("*.cue")) if other != path]
        return [first, *self.read_package(siblings, first.package)]

    def read_package(self, paths: Iterable[Path], package: str) -> list[s.File]:
        """Return those of some files that belong to a package and can be read."""
        files = (self.read(path) for path in paths if read_package_name(path) == package)
        return [file for file in files if file is not None]

    def conjuncts(self, files: Iterable[s.File], root: Vertex, directory: Path) -> list[Conjunct]:
        """Return the conjuncts of files on a vertex; each file can refer to the fields of all of them."""
        files = list(files)
        names = frozenset(declared.label for file in files for declared in file.body.fields)
        conjuncts = []
        for file in files:
            packages = {entry.name: self.import_package(entry, directory) for entry in file.imports}
            imports = {name: vertex for name, vertex in packages.items() if vertex is not None}
            conjuncts.append(Conjunct(file.body, Scope(None, root, names, imports)))
        return conjuncts

    def import_package(self, entry: s.Import, directory: Path) -> Vertex | None:
        """Return the package that an import names; record a fault and return None if there is none."""
        path, _, package = entry.path.partition(":")
        target = self.find_package(entry, path, directory)
        if target is None:
            return None
        if target in self.importing:
            self.faults.append(Fault(entry.at, "", f"import {entry.path!r} is part of an import cycle"))
            return None
        if target not in self.packages:
            package = package or target.name
            files = self.read_package(sorted(target.glob("*.cue")), package)
            if not files:
                what = f"import {entry.path!r}: no file of package {package!r} in {target}"
                self.faults.append(Fault(entry.at, "", what))
            vertex = Vertex("", None)
            self.importing.append(target)
            vertex.conjuncts = self.conjuncts(files, vertex, target)
            self.importing.pop()
            self.packages[target] = vertex
        return self.packages[target]

    def find_package(self, entry: s.Import, path: str, directory: Path) -> Path | None:
        """Return the directory of an imported package, below the directory with cue.mod/module.cue.

        Records a fault and returns None if there is no module, or if the path does not belong to it.
        """
        root = next(
            (above for above in (directory, *directory.parents) if (above / MODULE_FILE).is_file()), None
        )
        module = read_module_name(root / MODULE_FILE) if root is not None else None
        if root is None or module is None:
            what = f"import {entry.path!r}: found no cue.mod/module.cue above this file"
            remedy = 'create one with module: "NAME" to import directories beside cue.mod'
            self.faults.append(Fault(entry.at, "", what, remedy))
            return None
        if path != module and not path.startswith(module + "/"):
            what = f"import {entry.path!r} does not belong to module {module!r}"
            self.faults.append(Fault(entry.at, "", what, "only directories beside cue.mod can be imported"))
            return None
        return root / path.removeprefix(module).lstrip("/")


def read_package_name(path: Path) -> str | None:
    """Return the package that a file's first clause names, or None; the file is not parsed."""
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                text = line.partition("//")[0].strip()
                if text:
                    keyword, _, name = text.partition(" ")
                    return name.strip() if keyword == "package" else None
    except OSError:
        pass
    return None


def read_module_name(path: Path) -> str | None:
    """Return the module path in a cue.mod/module.cue, without its version; None if it has none."""
    file = Reader().read(path)
    for declared in file.body.fields if file is not None else ():
        value = declared.value
        if declared.label == "module" and isinstance(value, s.Atom) and isinstance(value.value, str):
            return value.value.partition("@")[0]
    return None


@lru_cache(maxsize=16)
def load_schema(name: str) -> s.File:
    """Return a shipped schema; its places have file names in angle brackets."""
    path = SCHEMAS / f"{name}.cue"
    return parse(path.read_text(), f"<{path.name}>")


def load(path: Path, record: type[Record], definition: str) -> Loaded[Record]:
    """Load an operator's file, the other files of its package and their imports.

    Args:
        path: The operator's file.
        record: The type of the result's record.
        definition: A shipped schema and a definition in it, such as 'rules.#Rules'.

    Raises:
        SettingsError: All faults, each with file, line and the field's path.
    """
    reader = Reader()
    files = reader.read_instance(path)
    return unify(reader, files, path.parent, record, definition)


def load_text(text: str, name: str, record: type[Record], definition: str) -> Loaded[Record]:
    """Load settings from a text, which cannot import; `name` is its file name in faults.

    Raises:
        SettingsError: All faults, as for `load`.
    """
    reader = Reader()
    try:
        files = [parse(text, name)]
    except SettingsError as error:
        reader.faults += error.faults
        files = []
    return unify(reader, files, NO_DIRECTORY, record, definition)


def unify(
    reader: Reader, files: list[s.File], directory: Path, record: type[Record], definition: str
) -> Loaded[Record]:
    """Unify files with a definition of a shipped schema and convert the result to a record.

    Raises:
        SettingsError: All faults of the reader or, if it has none, all faults of the unification.
    """
    root = Vertex("", None)
    root.conjuncts = reader.conjuncts(files, root, directory)
    if reader.faults:
        raise SettingsError(*reader.faults)
    name, _, label = definition.partition(".")
    shipped = load_schema(name)
    shipped_root = Vertex("", None)
    scope = Scope(None, shipped_root, frozenset(declared.label for declared in shipped.body.fields))
    shipped_root.conjuncts = [Conjunct(shipped.body, scope)]
    root.conjuncts.append(Conjunct(s.Reference(s.Place(f"<{name}.cue>", 1), label), scope))
    evaluation = Evaluation()
    evaluation.expand(shipped_root)
    try:
        return convert(evaluation, reader, root, record)
    finally:
        for vertex in (root, shipped_root, *reader.packages.values()):
            vertex.release()


def convert(evaluation: Evaluation, reader: Reader, root: Vertex, record: type[Record]) -> Loaded[Record]:
    """Convert a vertex to a record.

    Raises:
        SettingsError: All faults of the vertex, or the schema allows a value that the record's type does not.
    """
    places: dict[str, s.Place] = {}
    faults, data = evaluation.collect_data(root, places)
    if faults:
        raise SettingsError(*faults)
    try:
        converted = msgspec.convert(data, record)
    except msgspec.ValidationError as error:
        what = f"the schema allows a value that the program cannot use: {error}"
        raise SettingsError(Fault(root.at, "", what)) from None
    return Loaded(converted, places, reader.digests)


def load_data(text: str) -> Any:
    """Return the plain data of a text, evaluated without a schema; for tests and tools.

    Raises:
        SettingsError: All faults, with places in a file called `text`.
    """
    reader = Reader()
    root = Vertex("", None)
    root.conjuncts = reader.conjuncts([parse(text, "text")], root, NO_DIRECTORY)
    if reader.faults:
        raise SettingsError(*reader.faults)
    faults, data = Evaluation().collect_data(root, {})
    if faults:
        raise SettingsError(*faults)
    return data
