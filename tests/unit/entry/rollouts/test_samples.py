from __future__ import annotations

import json

from ibisspring_entry.rollouts.samples import LabelRun, Sample, add_run, build_batch


def test_weight_swap_within_a_sample_gives_two_runs() -> None:
    runs: tuple[LabelRun, ...] = ()
    for version, count in ((3, 2), (3, 1), (4, 5)):
        runs = add_run(runs, version, count)

    assert runs == (LabelRun(3, 0, 3), LabelRun(4, 3, 8))


def test_missing_label_is_not_derived_from_the_neighbouring_run() -> None:
    assert add_run((LabelRun(3, 0, 3),), None, 2) is None


def test_batch_encoding_is_deterministic_and_labels_have_the_oldest_version() -> None:
    sample = Sample("t/1/1/g/0.1", "g", 0, "p", (1, 2, 3), (LabelRun(4, 0, 1), LabelRun(3, 1, 3)))

    first = build_batch("t", 1, (sample,))
    second = build_batch("t", 1, (sample,))

    assert first == second
    assert first.labels[0].oldest_version == 3
    body = json.loads(first.payload)
    assert body["digest"] == first.digest
    assert body["samples"][0]["runs"] == [
        {"version": 4, "from": 0, "to": 1},
        {"version": 3, "from": 1, "to": 3},
    ]
