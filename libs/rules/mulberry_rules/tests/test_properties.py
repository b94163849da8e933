"""Property tests: the parsers never raise, and values round-trip."""

import pathlib
import re
import string

import hypothesis
import json5
import pytest
from hypothesis import strategies as st

import mulberry_core as core
import mulberry_rules as rules

_EXAMPLES = pathlib.Path(__file__).parents[4] / "examples"
_RULE_TEXTS = [
    (_EXAMPLES / name).read_text()
    for name in ("colmenas.rules", "dienst.rules")
]
_SETTINGS_TEXT = (_EXAMPLES / "settings.json").read_text()

#: Without a deadline, the load of the machine cannot fail a test.
_NO_DEADLINE = hypothesis.settings(deadline=None)

#: Words of rules, with valid and nearly valid values.
_WORDS = st.one_of(
    st.sampled_from(
        [
            "edited-from",
            "team",
            "model",
            "version",
            "withdraw",
            "allow",
            "cascade",
            "rollout",
            "service",
            "kind",
            "limit",
            "key",
            "weight",
            "cost",
            "quality",
            "from",
            "to",
            "steps",
            "every",
            "expose",
            "hold",
            "chat",
            "call",
            "once",
            "priority",
            "deadline",
            "requests/s",
            "tokens/s",
            "GET",
            "POST",
            "/a",
            "/a/*",
            "a",
            "b",
            "c",
            "1",
            "2",
            "0",
            "-1",
            "1e9",
            "0.5",
            "5%",
            "0%",
            "101%",
            "%",
            "10s",
            "0s",
            "5",
            "m",
            "999999999999999999999",
            "nan",
            "inf",
            "sha256:",
            "#",
            "asked",
            "by",
        ]
    ),
    st.just("sha256:" + "0" * 64),
    st.text(alphabet=string.printable, max_size=6),
    st.text(max_size=4),
)
_LINES = st.lists(_WORDS, max_size=10).map(" ".join)


def _check_result(text: str) -> None:
    parsed = rules.parse_rules(text)
    if isinstance(parsed, rules.Rules):
        rules.diff_rules(rules.EMPTY_RULES, parsed)
        assert rules.diff_rules(parsed, parsed) == ()
        return
    assert parsed.errors
    line_count = text.count("\n") + 1
    for error in parsed.errors:
        assert 1 <= error.line <= line_count
        assert error.column >= 1
        assert error.message
        assert error.suggestion
        str(error)


@_NO_DEADLINE
@hypothesis.given(st.text())
def test_no_text_makes_the_parser_raise(text: str) -> None:
    """Guards against a saved file that crashes an instance."""
    _check_result(text)


@_NO_DEADLINE
@hypothesis.given(st.lists(_LINES, max_size=12).map("\n".join))
def test_nearly_valid_rules_do_not_raise(text: str) -> None:
    """Guards against exceptions on nearly valid rules."""
    _check_result(f"edited-from 1\n{text}")


@_NO_DEADLINE
@hypothesis.given(st.sampled_from(_RULE_TEXTS), st.data(), st.integers(1, 4))
def test_edited_examples_do_not_raise(
    text: str, data: st.DataObject, changes: int
) -> None:
    """Guards against exceptions on mistyped or truncated files."""
    for _ in range(changes):
        start = data.draw(st.integers(0, len(text)))
        end = min(len(text), start + data.draw(st.integers(0, 40)))
        text = text[:start] + data.draw(_WORDS) + text[end:]
    _check_result(text)


@_NO_DEADLINE
@hypothesis.given(st.sampled_from(_RULE_TEXTS), st.data())
def test_files_with_missing_lines_do_not_raise(
    text: str, data: st.DataObject
) -> None:
    """Guards against checks that assume the presence of a line."""
    lines = text.split("\n")
    kept = data.draw(
        st.lists(st.booleans(), min_size=len(lines), max_size=len(lines))
    )
    _check_result(
        "\n".join(line for line, keep in zip(lines, kept, strict=True) if keep)
    )


@_NO_DEADLINE
@hypothesis.given(st.sampled_from(_RULE_TEXTS), st.data())
def test_each_allowed_request_can_be_explained(
    text: str, data: st.DataObject
) -> None:
    """Guards against explanations that raise for some requests."""
    parsed = rules.parse_rules(text)
    assert isinstance(parsed, rules.Rules)
    words = st.one_of(
        st.sampled_from(sorted(parsed.teams_by_name)),
        st.sampled_from(sorted(parsed.kinds_by_name)),
        st.sampled_from(sorted(parsed.models_by_name)),
        st.text(max_size=5),
    )
    explained = rules.explain(parsed, data.draw(words), data.draw(words))
    assert explained.allowed == bool(explained.targets)
    assert explained.steps


_NAMES = st.text(string.ascii_lowercase + string.digits, min_size=1, max_size=8)
_PERCENTS = st.lists(
    st.integers(1, 10_000), min_size=1, max_size=6, unique=True
).map(sorted)


@_NO_DEADLINE
@hypothesis.given(
    _NAMES, _NAMES, _PERCENTS, st.integers(1, 999_999), st.integers(1, 10**6)
)
def test_rollout_round_trip(
    model: str, version: str, percents: list[int], seconds: int, exposed: int
) -> None:
    """Guards against numbers that parsing alters."""
    hypothesis.assume(model != "service")
    steps = " ".join(f"{percent / 100:.2f}%" for percent in percents)
    by = " # asked by x"
    text = "\n".join(
        [
            "edited-from 0",
            f"model {model} cost 1 quality 1{by}",
            f"version {model} {version}{by}",
            f"version {model} {version}-next{by}",
            f"rollout {model} from {version} to {version}-next "
            f"steps {steps} every {seconds}s expose {exposed}{by}",
        ]
    )
    parsed = rules.parse_rules(text)
    assert isinstance(parsed, rules.Rules), str(parsed)
    rollout = parsed.rollouts_by_model[model]
    assert rollout.steps == pytest.approx([p / 10_000 for p in percents])
    assert (rollout.step_s, rollout.max_exposed) == (seconds, exposed)
    assert parsed.lines_by_number[5].text == text.split("\n")[4][: -len(by)]


@_NO_DEADLINE
@hypothesis.given(st.sampled_from(_RULE_TEXTS), st.integers(0, 999_999_999))
def test_edited_from_round_trip(text: str, number: int) -> None:
    """Guards against a number update that changes anything else."""
    rebased = rules.with_edited_from(text, number)
    assert rules.edited_from(rebased) == number
    assert rules.same_content(rebased, text)
    parsed = rules.parse_rules(rebased)
    assert isinstance(parsed, rules.Rules)
    assert parsed.edited_from == number


@_NO_DEADLINE
@hypothesis.given(st.text(), st.integers(0, 99), st.text())
def test_no_text_makes_rebase_raise(
    text: str, number: int, accepted: str
) -> None:
    """Guards against a saved file that stops the file watcher."""
    rules.same_content(text, accepted)
    rules.rebase(text, number, lambda _: accepted)
    rules.rebase(f"edited-from 1\n{text}", number, lambda _: accepted)
    assert rules.edited_from(f"edited-from 7\n{text}") == 7
    rules.rebase(text, number, lambda _: core.Missing.UNSET)


@_NO_DEADLINE
@hypothesis.given(st.text())
def test_no_text_makes_the_settings_loader_raise(text: str) -> None:
    """Guards against a traceback when an instance starts."""
    rules.parse_settings(text, "/")


_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def _keys(text: str) -> list[str]:
    return sorted(set(re.findall(r'"([a-z_]+)":', text)))


@_NO_DEADLINE
@hypothesis.given(st.sampled_from(_keys(_SETTINGS_TEXT)), _JSON)
def test_any_value_of_a_setting_is_read_or_refused(
    key: str, value: object
) -> None:
    """Guards against values that raise or produce an incomplete error."""
    written = json5.dumps(value, quote_keys=True)
    text = re.sub(
        rf'"{key}": ("[^"]*"|[0-9.]+|true)',
        lambda match: f'"{key}": {written}',
        _SETTINGS_TEXT,
    )
    loaded = rules.parse_settings(text, "/")
    if isinstance(loaded, rules.SettingsErrors):
        assert loaded.errors
        for error in loaded.errors:
            assert error.key
            assert error.allowed, error
