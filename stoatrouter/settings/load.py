"""Settings from files: read, unified with the schema that is shipped, and turned into typed records."""

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
MOST_FILES = 256  # of one package, and of imports together


@dataclass(slots=True, frozen=True)
class Loaded(Generic[Record]):
    """Typed settings, and where in the files each field's path stands."""

    record: Record
    places: dict[str, s.Place]
    digests: dict[Path, str]  # of the files, as they were read

    @property
    def files(self) -> tuple[Path, ...]:
        return tuple(self.digests)

    def unchanged(self) -> bool:
        """Whether the files still hold what was read."""
        try:
            return all(hashlib.sha256(f.read_bytes()).hexdigest() == d for f, d in self.digests.items())
        except OSError:
            return False

    def place(self, path: str) -> s.Place:
        """Where a path stands, or what is nearest above it."""
        while path not in self.places and path:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self.places.get(path) or s.Place(str(self.files[0]) if self.files else "", 1)


@dataclass(slots=True)
class Reader:
    """Reads files, each once, and what they import."""

    files: dict[Path, s.File] = field(default_factory=dict)
    digests: dict[Path, str] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    packages: dict[Path, Vertex] = field(default_factory=dict)
    open: list[Path] = field(default_factory=list)

    def read(self, path: Path) -> s.File | None:
        try:
            if len(self.files) >= MOST_FILES:
                raise SettingsError(
                    Fault(s.Place(str(path), 1), "", "too many files", f"{MOST_FILES} at most")
                )
            data = path.read_bytes()
            self.files[path] = parse(data.decode("utf-8"), str(path))
            self.digests[path] = hashlib.sha256(data).hexdigest()
            return self.files[path]
        except OSError as error:
            self.faults.append(Fault(s.Place(str(path), 1), "", f"cannot be read: {error.strerror or error}"))
        except UnicodeDecodeError:
            self.faults.append(Fault(s.Place(str(path), 1), "", "is not UTF-8"))
        except SettingsError as error:
            self.faults += error.faults
        return None

    def instance(self, path: Path) -> list[s.File]:
        """A file, and if it names a package, the files beside it that name the same."""
        first = self.read(path)
        if first is None or first.package is None:
            return [first] if first is not None else []
        found = [first]
        for other in sorted(path.parent.glob("*.cue")):
            if (
                other != path
                and package_of(other) == first.package
                and (file := self.read(other)) is not None
            ):
                found.append(file)
        return found

    def conjuncts(self, files: Iterable[s.File], root: Vertex, folder: Path) -> list[Conjunct]:
        """What files say of a vertex; names of one file's fields are known in all of them."""
        files = list(files)
        names = frozenset(f.label for file in files for f in file.body.fields)
        made = []
        for file in files:
            imports = {
                name: found
                for name, path, at in file.imports
                if (found := self.imported(path, at, folder)) is not None
            }
            made.append(Conjunct(file.body, Scope(None, root, names, imports)))
        return made

    def imported(self, path: str, at: s.Place, folder: Path) -> Vertex | None:
        """The package that an import names: a folder below the one with cue.mod/module.cue."""
        root = next((f for f in (folder, *folder.parents) if (f / "cue.mod" / "module.cue").is_file()), None)
        module = module_name(root / "cue.mod" / "module.cue") if root is not None else None
        if root is None or module is None:
            self.faults.append(
                Fault(
                    at,
                    "",
                    f"import {path!r}: there is no cue.mod/module.cue above this file",
                    'one that says module: "NAME" makes the folders beside cue.mod importable',
                )
            )
            return None
        inner, _, package = path.partition(":")
        if inner != module and not inner.startswith(module + "/"):
            self.faults.append(
                Fault(
                    at,
                    "",
                    f"import {path!r} is not of the module {module!r}",
                    "only folders beside cue.mod can be imported",
                )
            )
            return None
        wanted = root / inner.removeprefix(module).lstrip("/")
        if wanted in self.open:
            self.faults.append(Fault(at, "", f"import {path!r} leads back to itself"))
            return None
        if wanted not in self.packages:
            vertex = Vertex("", None)
            package = package or wanted.name
            files = [
                file
                for f in sorted(wanted.glob("*.cue"))
                if package_of(f) == package and (file := self.read(f)) is not None
            ]
            if not files:
                self.faults.append(
                    Fault(at, "", f"import {path!r}: no file of package {package!r} in {wanted}")
                )
            self.open.append(wanted)
            vertex.conjuncts = self.conjuncts(files, vertex, wanted)
            self.open.pop()
            self.packages[wanted] = vertex
        return self.packages[wanted]


def package_of(path: Path) -> str | None:
    """The package that a file names, by its first words."""
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                text = line.partition("//")[0].strip()
                if text:
                    word, _, name = text.partition(" ")
                    return name.strip() if word == "package" else None
    except OSError:
        pass
    return None


def module_name(path: Path) -> str | None:
    """What cue.mod/module.cue says."""
    reader = Reader()
    file = reader.read(path)
    for given in file.body.fields if file is not None else ():
        if given.label == "module" and isinstance(given.value, s.Atom) and isinstance(given.value.value, str):
            return given.value.value.partition("@")[0]
    return None


@lru_cache(maxsize=16)
def schema(name: str) -> s.File:
    """A schema that the program ships; its places begin with '<'."""
    path = SCHEMAS / f"{name}.cue"
    return parse(path.read_text(), f"<{path.name}>")


def load(path: Path, record: type[Record], definition: str) -> Loaded[Record]:
    """Read an operator's file and what belongs to it; `definition` is like 'rules.#Rules' of the schema.

    Raises SettingsError with everything that is wrong, each with file, line and the field's path.
    """
    reader = Reader()
    files = reader.instance(path)
    return unify(reader, files, path.parent, record, definition)


def load_text(text: str, name: str, record: type[Record], definition: str) -> Loaded[Record]:
    """The same for a text that is no file; it imports nothing."""
    reader = Reader()
    try:
        files = [parse(text, name)]
    except SettingsError as error:
        reader.faults += error.faults
        files = []
    return unify(reader, files, Path("/nonexistent"), record, definition)


def unify(
    reader: Reader, files: list[s.File], folder: Path, record: type[Record], definition: str
) -> Loaded[Record]:
    root = Vertex("", None)
    root.conjuncts = reader.conjuncts(files, root, folder)
    if reader.faults:
        raise SettingsError(*reader.faults)
    name, _, wanted = definition.partition(".")
    shipped, shipped_root = schema(name), Vertex("", None)
    names = frozenset(f.label for f in shipped.body.fields)
    shipped_root.conjuncts = [Conjunct(shipped.body, Scope(None, shipped_root, names))]
    root.conjuncts.append(
        Conjunct(s.Reference(s.Place(f"<{name}.cue>", 1), wanted), shipped_root.conjuncts[0].scope)
    )
    evaluation = Evaluation()
    evaluation.expand(shipped_root)
    try:
        return made_of(evaluation, reader, root, record)
    finally:
        for vertex in (root, shipped_root, *reader.packages.values()):
            vertex.release()


def made_of(evaluation: Evaluation, reader: Reader, root: Vertex, record: type[Record]) -> Loaded[Record]:
    """The record of a vertex that is to have no flaw."""
    places: dict[str, s.Place] = {}
    faults, data = evaluation.finish(root, places)
    if faults:
        raise SettingsError(*faults)
    try:
        made = msgspec.convert(data, record)
    except msgspec.ValidationError as error:
        what = f"the schema lets through what the program cannot use: {error}"
        raise SettingsError(Fault(root.at, "", what)) from None
    return Loaded(made, places, reader.digests)


def data_of(text: str) -> Any:
    """The plain data of a text without any schema; for tests and tools."""
    reader, root = Reader(), Vertex("", None)
    root.conjuncts = reader.conjuncts([parse(text, "text")], root, Path("/nonexistent"))
    if reader.faults:
        raise SettingsError(*reader.faults)
    faults, data = Evaluation().finish(root, {})
    if faults:
        raise SettingsError(*faults)
    return data
