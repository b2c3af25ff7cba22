import json

from click.testing import CliRunner

from quillring.kernel.settings import find_faults
from quillring.verbs.cli import main
from tests.settings_rows import EDGE_SETTINGS


def test_valid_settings_have_no_faults():
    assert find_faults(EDGE_SETTINGS) == []


def test_all_faults_are_reported_at_once_with_exit_code_2(tmp_path):
    path = tmp_path / "edge.json"
    faulty_settings = {
        **EDGE_SETTINGS,
        "role": "edge",
        "domain": "NORTH",
        "address": "127.0.0.999:1",
        "extra": 1,
    }
    path.write_text(json.dumps(faulty_settings))
    outcome = CliRunner().invoke(main, ["edge", "--settings", str(path)])
    assert outcome.exit_code == 2
    lines = outcome.stderr.strip().splitlines()
    assert len(lines) == 3
    assert any("extra" in line for line in lines)
    assert any("domain" in line for line in lines)
    assert any("127.0.0.999:1" in line for line in lines)


def test_store_requires_a_data_folder_and_edge_rejects_one():
    assert find_faults({**EDGE_SETTINGS, "role": "store"}) == [
        "folder: a store needs a data folder"
    ]
    assert find_faults({**EDGE_SETTINGS, "folder": "x"}) == [
        "folder: a process of role edge has no data folder"
    ]
