"""Rule files: read, checked and made into a table. This is the I/O of the package."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from stoatrouter.expressions.environment import Environment
from stoatrouter.matching.cache import Cache
from stoatrouter.matching.flaws import Flaw, TableError
from stoatrouter.matching.inputs import HTTP
from stoatrouter.matching.loader import Loader
from stoatrouter.matching.records import Rule, Rules, Team
from stoatrouter.matching.table import Table
from stoatrouter.matching.vocabulary import Bucket, Vocabulary
from stoatrouter.settings import Fault, Loaded, Place, SettingsError, load

RULES, TEAM = "rules.#Rules", "rules.#Team"


@dataclass(slots=True, frozen=True)
class Sources:
    """The files of a table as they were read: the operator's, and the teams' by scope."""

    operator: Loaded[Rules]
    teams: dict[str, Loaded[Team]]

    @property
    def files(self) -> tuple[Path, ...]:
        """All files that were read."""
        return (*self.operator.files, *(file for team in self.teams.values() for file in team.files))

    @property
    def epoch(self) -> str:
        """A short digest of the files' contents; equal contents have the same one."""
        digests = {
            f.name: d for loaded in (self.operator, *self.teams.values()) for f, d in loaded.digests.items()
        }
        return hashlib.sha256(repr(sorted(digests.items())).encode()).hexdigest()[:12]

    def place(self, path: str) -> Place:
        """The file and line of a path of the table."""
        parts = path.split(".", 2)
        if (
            len(parts) == 3
            and parts[0] == "scopes"
            and parts[1] in self.teams
            and parts[2].startswith("rules")
        ):
            return self.teams[parts[1]].place(parts[2])
        return self.operator.place(path)

    def fault(self, flaw: Flaw) -> Fault:
        """A flaw with its file and line."""
        inner = f"{flaw.at}: " if flaw.at else ""
        return Fault(self.place(flaw.path), flaw.path, inner + flaw.what, flaw.remedy)


class Files:
    """Reads rule files; a team's file is read again only where it has changed."""

    def __init__(self) -> None:
        self.teams: dict[Path, Loaded[Team]] = {}

    def read(self, path: Path) -> Sources:
        """Read an operator's rule file and the team files that it names; raises SettingsError."""
        operator: Loaded[Rules] = load(path, Rules, RULES)
        faults: list[Fault] = []
        teams: dict[str, Loaded[Team]] = {}
        for name, scope in operator.record.scopes.items():
            if scope.file is None:
                continue
            at = operator.place(f"scopes.{name}.file")
            if scope.rules:
                faults.append(Fault(at, f"scopes.{name}", "it has rules and a file", "leave one of them out"))
            # Guards the operator's part: a team's file is read by itself and can say nothing of scopes.
            try:
                teams[name] = self.team(path.parent / scope.file)
            except SettingsError as error:
                faults += error.faults
        if faults:
            raise SettingsError(*faults)
        self.teams = {path: team for path, team in self.teams.items() if team in teams.values()}
        return Sources(operator, teams)

    def team(self, path: Path) -> Loaded[Team]:
        """A team's file; it is read again only if it has changed. Raises SettingsError."""
        known = self.teams.get(path)
        if known is None or not known.unchanged():
            known = self.teams[path] = load(path, Team, TEAM)
        return known


@dataclass(slots=True)
class Tables:
    """Makes the tables of one rule file; what has not changed is taken from the previous one."""

    path: Path
    words: Vocabulary
    environment: Environment = HTTP
    buckets: Mapping[str, Bucket] | None = None
    files: Files = field(default_factory=Files)
    cache: Cache = field(default_factory=Cache)

    def load(self) -> tuple[Table, Sources]:
        """The table of the files as they are now; raises SettingsError with all faults."""
        sources = self.files.read(self.path)
        rules: dict[str, Sequence[Rule]] = {name: team.record.rules for name, team in sources.teams.items()}
        try:
            loader = Loader(self.words, self.environment, self.cache, self.buckets)
            return loader.load(sources.operator.record, rules, sources.epoch), sources
        except TableError as error:
            raise SettingsError(*(sources.fault(flaw) for flaw in error.flaws)) from None
