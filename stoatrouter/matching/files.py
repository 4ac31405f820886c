"""Reads rule files and compiles them to a table; the only module of the package that does I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from stoatrouter.expressions.environment import Environment
from stoatrouter.matching.cache import Cache
from stoatrouter.matching.diagnostics import Diagnostic, TableError
from stoatrouter.matching.inputs import HTTP_ENVIRONMENT
from stoatrouter.matching.records import Rule, Rules, Team
from stoatrouter.matching.table import Table
from stoatrouter.matching.table_compiler import TableCompiler
from stoatrouter.matching.vocabulary import Bucket, Vocabulary
from stoatrouter.settings import Fault, Loaded, Place, SettingsError, load

# Definitions of the schema, settings/schemas/rules.cue.
RULES_DEFINITION = "rules.#Rules"
TEAM_DEFINITION = "rules.#Team"
EPOCH_LENGTH = 12  # hex digits


@dataclass(slots=True, frozen=True)
class RuleSources:
    """The files of a table as they were read: the operator's file, and the teams' files by scope."""

    operator: Loaded[Rules]
    teams: dict[str, Loaded[Team]]

    @property
    def files(self) -> tuple[Path, ...]:
        """Return all files that were read."""
        return (*self.operator.files, *(file for team in self.teams.values() for file in team.files))

    @property
    def epoch(self) -> str:
        """Return a short digest of the files' names and contents; equal files have the same one."""
        digests = {file.name: digest for file, digest in self.operator.digests.items()}
        for team in self.teams.values():
            digests |= {file.name: digest for file, digest in team.digests.items()}
        return hashlib.sha256(repr(sorted(digests.items())).encode()).hexdigest()[:EPOCH_LENGTH]

    def find_place(self, path: str) -> Place:
        """Return the file and line of a path of the table."""
        match path.split(".", 2):
            case ["scopes", scope, rest] if scope in self.teams and rest.startswith("rules"):
                return self.teams[scope].place(rest)
            case _:
                return self.operator.place(path)

    def locate(self, diagnostic: Diagnostic) -> Fault:
        """Return a diagnostic as a fault with file and line."""
        position = f"{diagnostic.at}: " if diagnostic.at else ""
        return Fault(
            self.find_place(diagnostic.path),
            diagnostic.path,
            position + diagnostic.what,
            diagnostic.remedy,
        )


class RuleFileReader:
    """Reads rule files; a team's file is read again only if it has changed."""

    def __init__(self) -> None:
        """Create a reader that has not read any file."""
        self.teams: dict[Path, Loaded[Team]] = {}

    def read(self, path: Path) -> RuleSources:
        """Read an operator's rule file and the team files that it names; raises SettingsError."""
        operator: Loaded[Rules] = load(path, Rules, RULES_DEFINITION)
        faults: list[Fault] = []
        teams: dict[str, Loaded[Team]] = {}
        for name, scope in operator.record.scopes.items():
            if scope.file is None:
                continue
            if scope.rules:
                place = operator.place(f"scopes.{name}.file")
                faults.append(
                    Fault(
                        place, f"scopes.{name}", "the scope has both rules and a file", "remove one of them"
                    )
                )
            # A team's file is unified with its own schema, so that it cannot change the operator's scopes.
            try:
                teams[name] = self.read_team(path.parent / scope.file)
            except SettingsError as error:
                faults += error.faults
        if faults:
            raise SettingsError(*faults)
        self.teams = {path: team for path, team in self.teams.items() if team in teams.values()}
        return RuleSources(operator, teams)

    def read_team(self, path: Path) -> Loaded[Team]:
        """Return a team's file, read again only if it has changed; raises SettingsError."""
        team = self.teams.get(path)
        if team is None or not team.unchanged():
            team = self.teams[path] = load(path, Team, TEAM_DEFINITION)
        return team


@dataclass(slots=True)
class TableLoader:
    """Loads the tables of one rule file, reusing the unchanged parts of the previous load.

    Attributes:
        path: The operator's rule file.
        vocabulary: The classes, plans and bounds of the settings.
        environment: The variables that expressions may use.
        buckets: The buckets of the object front; None for the HTTP front.
        files: The reader, which keeps the team files it has read.
        cache: Compiled expressions and scopes.
    """

    path: Path
    vocabulary: Vocabulary
    environment: Environment = HTTP_ENVIRONMENT
    buckets: Mapping[str, Bucket] | None = None
    files: RuleFileReader = field(default_factory=RuleFileReader)
    cache: Cache = field(default_factory=Cache)

    def load(self) -> tuple[Table, RuleSources]:
        """Load the table from the current contents of the files; raises SettingsError with all faults."""
        sources = self.files.read(self.path)
        rules: dict[str, Sequence[Rule]] = {name: team.record.rules for name, team in sources.teams.items()}
        try:
            compiler = TableCompiler(self.vocabulary, self.environment, self.cache, self.buckets)
            return compiler.load(sources.operator.record, rules, sources.epoch), sources
        except TableError as error:
            raise SettingsError(*map(sources.locate, error.errors)) from None
