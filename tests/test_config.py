"""A head's configuration: an invalid one is refused with the path, the fault and the allowed values."""

from __future__ import annotations

import copy
import json

import pytest

from stoatrouter import config
from stoatrouter.faults import find_faults
from tests.peers import config_data, node_list

VALID = config_data(node_list(1))


def changed(path: str, value: object) -> dict:
    """Return the valid configuration with the value at a path replaced, or deleted for `...`."""
    data = copy.deepcopy(VALID)
    *parents, last = [int(part) if part.isdigit() else part for part in path.split(".")]
    container = data
    for part in parents:
        container = container[part]
    if value is ...:
        del container[last]
    else:
        container[last] = value
    return data


def test_a_way_of_getting_the_list_that_is_not_known_is_refused_in_words(tmp_path):
    data = config_data({"generation": 1, "reset": True, "instances": []})
    data["settings"] = data["settings"] | {"RegistryMode": "gossip"}
    (tmp_path / "config.json").write_text(json.dumps(data))
    message = "settings.RegistryMode: found 'gossip' .allowed: automatic, subscribe"
    with pytest.raises(config.ConfigError, match=message):
        config.load({"NODE_CONFIG": str(tmp_path / "config.json")})


def test_a_good_one_is_read_and_nothing_is_found_wrong_with_it(tmp_path):
    (tmp_path / "c.json").write_text(json.dumps(VALID))
    assert config.load({"NODE_CONFIG": str(tmp_path / "c.json")}).name == "n0"
    assert find_faults(VALID) == []


@pytest.mark.parametrize(
    ("path", "value", "words"),
    [
        ("settings", ..., "settings: found nothing (allowed: fields)"),
        ("settings.Classes", ..., "settings.Classes: found nothing (allowed: a list)"),
        ("settings.Classes.1.Promise", ..., "Classes[1].Promise: found nothing (allowed: a whole number"),
        ("settings.Classes.1.Promise", "soon", "Classes[1].Promise: found 'soon' (allowed: a whole"),
        ("settings.Classes.0.Promise", -5, "settings.Classes[0].Promise: found -5 (allowed: a whole"),
        ("settings.Classes.0.Effect", "maybe", "found 'maybe' (allowed: retryable, dedup, fragile)"),
        ("settings.Contracts.0.Guaranteed", -1, "settings.Contracts[0].Guaranteed: found -1 (allowed: a"),
        ("settings.Limits.MostTries", 0, "settings.Limits.MostTries: found 0 (allowed: a whole number"),
        ("settings.Balancers", 0, "settings.Balancers: found 0"),
        ("settings.Contracts", [], "settings.Contracts: found none (allowed: one or more)"),
    ],
)
def test_a_bad_one_is_refused_with_place_fault_and_what_would_be_right(tmp_path, path, value, words):
    (tmp_path / "c.json").write_text(json.dumps(changed(path, value)))
    with pytest.raises(config.ConfigError) as refused:
        config.load({"NODE_CONFIG": str(tmp_path / "c.json")})
    assert words in str(refused.value) and "\n" not in str(refused.value)
