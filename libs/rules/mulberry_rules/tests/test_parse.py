"""Tests for the rule parser."""

import hashlib

import pytest

import mulberry_core as core
import mulberry_rules as rules


def _key_hash(team: str) -> str:
    return hashlib.sha256(f"demo-key-{team}".encode()).hexdigest()


BASE = f"""\
# A comment line needs no requester.
edited-from 12
team cooperativas key sha256:{_key_hash("cooperativas")} weight 3   # asked by Marta Ajú
team tiendas key sha256:{_key_hash("tiendas")}                      # asked by Marta Ajú
model cedro-chico cost 1.0 quality 0.80    # asked by Marta Ajú   money per 1,000 tokens
model cedro-grande cost 12.0 quality 0.96  # asked by Marta Ajú
version cedro-chico 2026-01                # asked by Marta Ajú
version cedro-grande 2026-02               # asked by Marta Ajú
version cedro-grande 2026-03               # asked by Marta Ajú
withdraw cedro-grande 2026-01              # asked by Marta Ajú
allow cooperativas cedro-grande            # asked by Marta Ajú
allow tiendas cedro-grande 2026-02         # asked by Marta Ajú
allow tiendas service taller-app           # asked by Marta Ajú
cascade planes from cedro-chico to cedro-grande quality 0.90  # asked by Marta Ajú
rollout cedro-grande from 2026-02 to 2026-03 steps 1% 5% 25% 100% every 30m expose 50  # asked by Marta Ajú
service taller-app                         # asked by Marta Ajú
kind stand-plan chat planes priority 3 deadline 120s  # asked by Marta Ajú
kind deposit call taller-app POST /deposits priority 1 deadline 10s once  # asked by Marta Ajú
kind stock-lookup call taller-app GET /stock/* priority 1 deadline 2s  # asked by Marta Ajú
limit cooperativas 20 requests/s 4000 tokens/s  # asked by Marta Ajú
"""


def _parsed(text: str) -> rules.Rules:
    parsed = rules.parse_rules(text)
    assert isinstance(parsed, rules.Rules), str(parsed)
    return parsed


def test_every_rule_is_read() -> None:
    """Guards against a rule whose values are lost or swapped."""
    parsed = _parsed(BASE)
    assert parsed.edited_from == 12
    assert parsed.teams_by_name["cooperativas"].weight == 3.0
    assert parsed.team_name_by_key_hash[_key_hash("tiendas")] == "tiendas"
    assert parsed.models_by_name["cedro-grande"].cost_per_1k_tokens == 12.0
    assert parsed.allows("cooperativas", "cedro-grande", "2026-03")
    assert not parsed.allows("tiendas", "cedro-grande", "2026-03")
    assert parsed.allows_service("tiendas", "taller-app")
    assert not parsed.allows_service("cooperativas", "taller-app")
    assert parsed.is_withdrawn("cedro-grande", "2026-01")
    assert parsed.default_version("cedro-grande") == "2026-02"
    assert parsed.cascades_by_name["planes"].models == (
        "cedro-chico",
        "cedro-grande",
    )
    rollout = parsed.rollouts_by_model["cedro-grande"]
    assert rollout.steps == (0.01, 0.05, 0.25, 1.0)
    assert (rollout.step_s, rollout.max_exposed) == (1800.0, 50)
    assert not rollout.held
    deposit = parsed.kind_for_call("taller-app", "POST", "/deposits")
    assert isinstance(deposit, rules.Kind)
    assert not deposit.idempotent
    limit = parsed.limits_by_team["cooperativas"]
    assert (limit.requests_per_s, limit.tokens_per_s) == (20.0, 4000.0)
    line = parsed.lines_by_number[5]
    assert (line.asked_by, line.reason) == (
        "Marta Ajú",
        "money per 1,000 tokens",
    )


def test_withdrawal_overrides_the_version_line() -> None:
    """Guards against an emergency withdrawal without effect."""
    text = BASE + "withdraw cedro-grande 2026-03  # asked by Marta Ajú\n"
    parsed = _parsed(text)
    assert parsed.is_withdrawn("cedro-grande", "2026-03")
    assert parsed.default_version("cedro-grande") == "2026-02"


def test_defaults_of_optional_clauses() -> None:
    """Guards against defaults that differ from the documented ones."""
    text = BASE.replace("expose 50", "expose 50 hold").replace(
        "20 requests/s ", ""
    )
    parsed = _parsed(text.replace("\n", "\r\n"))
    assert parsed.rollouts_by_model["cedro-grande"].held
    limit = parsed.limits_by_team["cooperativas"]
    assert limit.requests_per_s is core.Missing.UNLIMITED
    assert parsed.teams_by_name["tiendas"].weight == 1.0


_ASKED_BY = "  # asked by Marta Ajú"
_ZEROS = "0" * 64

#: Line added to `BASE`, offending text, part of the message.
_ADDED_LINE_ERRORS = [
    ("service bodega", "", "who asked"),
    ("service bodega # for the stock", "# for the stock", "who asked"),
    ("teem a" + _ASKED_BY, "teem", "not a rule"),
    ("edited-from 3", "edited-from", "stands already on line 2"),
    ("team a" + _ASKED_BY, "a", "no key"),
    ("team a key demo-key-a" + _ASKED_BY, "demo-key-a", "not a SHA-256 hash"),
    (f"team Ajú key sha256:{_ZEROS}" + _ASKED_BY, "Ajú", "not a valid name"),
    (f"team a key sha256:{_ZEROS} weight 0" + _ASKED_BY, "0", "out of range"),
    (
        f"team a key sha256:{_ZEROS} weight nan" + _ASKED_BY,
        "nan",
        "not a number",
    ),
    (
        f"team a key sha256:{_ZEROS} key sha256:{_ZEROS}" + _ASKED_BY,
        f"sha256:{_ZEROS}",
        "key twice",
    ),
    (
        f"team a key sha256:{_key_hash('tiendas')}" + _ASKED_BY,
        f"sha256:{_key_hash('tiendas')}",
        "line 4 has the same key",
    ),
    (
        "team a key sha256:" + hashlib.sha256().hexdigest() + _ASKED_BY,
        "sha256:" + hashlib.sha256().hexdigest(),
        "empty key",
    ),
    (
        "service taller-app" + _ASKED_BY,
        "taller-app",
        "line 16 has this rule",
    ),
    ("model m cost 1 quality 0.5" + _ASKED_BY, "m", "no version"),
    ("model m quality 0.5" + _ASKED_BY, "", "`cost` is missing"),
    ("model service cost 1 quality 1" + _ASKED_BY, "service", "fixed meaning"),
    ("version cedro 1" + _ASKED_BY, "cedro", "no model of this name"),
    ("withdraw cedro-grande" + _ASKED_BY, "", "the version is missing"),
    ("allow nadie cedro-chico" + _ASKED_BY, "nadie", "no team of this name"),
    ("allow tiendas cedro" + _ASKED_BY, "cedro", "no model of this name"),
    ("allow tiendas planes" + _ASKED_BY, "planes", "a cascade, not a model"),
    ("allow tiendas service x" + _ASKED_BY, "x", "no service of this name"),
    ("allow tiendas cedro-chico 9" + _ASKED_BY, "9", "no version of this name"),
    ("allow tiendas cedro-chico 2026-01 x" + _ASKED_BY, "x", "does not belong"),
    (
        "cascade c from cedro-chico quality 0.9" + _ASKED_BY,
        "",
        "`to` is missing",
    ),
    (
        "cascade c from cedro-grande to cedro-chico quality 0.9" + _ASKED_BY,
        "cedro-chico",
        "cheaper than cedro-grande",
    ),
    (
        "cascade c from cedro-chico to cedro-chico quality 0.9" + _ASKED_BY,
        "cedro-chico",
        "twice in the cascade",
    ),
    (
        "rollout cedro-chico from 2026-01 to 7 steps 1% every 1s expose 1"
        + _ASKED_BY,
        "7",
        "no version of this name",
    ),
    (
        "kind default chat planes priority 1 deadline 1s" + _ASKED_BY,
        "default",
        "fixed",
    ),
    (
        "kind k chat nada priority 1 deadline 1s" + _ASKED_BY,
        "nada",
        "no model or",
    ),
    (
        "kind k priority 1 deadline 1s" + _ASKED_BY,
        "k",
        "either `chat` or `call`",
    ),
    (
        "kind k chat planes priority 1 deadline 1s once" + _ASKED_BY,
        "once",
        "calls",
    ),
    (
        "kind k chat planes priority 0 deadline 1s" + _ASKED_BY,
        "0",
        "out of range",
    ),
    (
        "kind k chat planes priority 1 deadline 10" + _ASKED_BY,
        "10",
        "not a duration",
    ),
    (
        "kind k call taller-app get /x priority 1 deadline 1s" + _ASKED_BY,
        "get",
        "not an HTTP method",
    ),
    (
        "kind k call taller-app GET x priority 1 deadline 1s" + _ASKED_BY,
        "x",
        "not a path",
    ),
    (
        "kind k call taller-app GET /stock/boards priority 1 deadline 1s"
        + _ASKED_BY,
        "k",
        "kind stock-lookup on line 19 takes all calls",
    ),
    ("limit tiendas" + _ASKED_BY, "", "the limit is missing"),
    ("limit tiendas 5 words/s" + _ASKED_BY, "words/s", "the unit"),
    ("limit nadie 5 tokens/s" + _ASKED_BY, "nadie", "no team of this name"),
    ("service a\x07" + _ASKED_BY, "\\x07", "cannot be printed"),
]


@pytest.mark.parametrize(("line", "offending", "message"), _ADDED_LINE_ERRORS)
def test_invalid_added_line(line: str, offending: str, message: str) -> None:
    """Guards against an error that is missed or has the wrong position."""
    parsed = rules.parse_rules(BASE + line + "\n")
    assert isinstance(parsed, rules.RuleErrors)
    found = [error for error in parsed.errors if message in error.message]
    assert len(found) == 1, str(parsed)
    assert found[0].line == BASE.count("\n") + 1
    assert found[0].text == offending
    assert found[0].suggestion
    if offending and offending.isprintable() and offending[0] != "\\":
        assert line[found[0].column - 1 :].startswith(offending)


#: Text replaced in `BASE`, its replacement, line and part of the message.
_CHANGED_LINE_ERRORS = [
    ("edited-from 12\n", "", 3 - 1, "first rule must say"),
    ("edited-from 12", "edited-from -1", 2, "not a whole number"),
    ("1% 5% 25% 100%", "1% 25% 5% 100%", 15, "do not grow"),
    ("1% 5% 25% 100%", "1% 5% 101%", 15, "out of range"),
    ("1% 5% 25% 100%", "0% 5%", 15, "out of range"),
    ("to 2026-03", "to 2026-02", 15, "leads to the version it starts from"),
    ("every 30m", "every 0m", 15, "must be above zero"),
    ("cascade planes", "cascade cedro-chico", 14, "a model has the same name"),
]


@pytest.mark.parametrize(
    ("old", "new", "line", "message"), _CHANGED_LINE_ERRORS
)
def test_invalid_changed_line(
    old: str, new: str, line: int, message: str
) -> None:
    """Guards against an error in an existing rule that is missed."""
    assert old in BASE
    parsed = rules.parse_rules(BASE.replace(old, new))
    assert isinstance(parsed, rules.RuleErrors)
    found = [error for error in parsed.errors if message in error.message]
    assert [error.line for error in found] == [line], str(parsed)


def test_all_errors_are_reported_together() -> None:
    """Guards against reporting one error per submission."""
    text = BASE.replace("weight 3", "weight heavy").replace("30m", "soon")
    parsed = rules.parse_rules(text + "foo\nlimit nadie 5 tokens/s\n")
    assert isinstance(parsed, rules.RuleErrors)
    lines = [error.line for error in parsed.errors]
    assert lines == sorted(lines)
    assert set(lines) == {3, 15, 21, 22}


def test_misspelled_name_gets_a_suggestion() -> None:
    """Guards against errors without a useful suggestion."""
    parsed = rules.parse_rules(BASE + "limit tienda 5 tokens/s" + _ASKED_BY)
    assert isinstance(parsed, rules.RuleErrors)
    assert "`tiendas`" in parsed.errors[0].suggestion


_ANY_RULE = "service a # asked by b\n"
_MANY_KINDS = "\n".join(
    f"kind k{number} chat planes priority 1 deadline 1s # asked by x"
    for number in range(1_000)
)
_TOO_LARGE = [
    (_ANY_RULE * 100_000, 1, "characters"),
    (_ANY_RULE * 20_000, 1, "more than 10000 rules"),
    ("edited-from 0\n" + "#\x00\n" * 1000, 501, "500 more errors"),
    ("x\n" * 9_000, 501, "more errors from here on"),
    (BASE + _MANY_KINDS, 1, "more than 1000 kinds"),
]


@pytest.mark.parametrize(("text", "count", "message"), _TOO_LARGE)
def test_oversized_file_is_rejected(
    text: str, count: int, message: str
) -> None:
    """Guards against a file that blocks a voter for minutes."""
    parsed = rules.parse_rules(text)
    assert isinstance(parsed, rules.RuleErrors)
    assert len(parsed.errors) <= count
    assert any(message in error.message for error in parsed.errors)


def test_from_version_of_a_rollout_can_be_withdrawn() -> None:
    """Guards against rejecting an emergency withdrawal as an error."""
    parsed = _parsed(BASE + "withdraw cedro-grande 2026-02 # asked by Inés\n")
    assert parsed.is_withdrawn("cedro-grande", "2026-02")
    assert parsed.default_version("cedro-grande") == "2026-03"


def test_diff_is_empty_for_equal_rules() -> None:
    """Guards against reporting changed comments or `edited-from`."""
    other = BASE.replace("edited-from 12", "edited-from 13")
    other = other.replace("# A comment", "\n# Another")
    assert rules.diff_rules(_parsed(BASE), _parsed(other)) == ()


_DIFFS = [
    ("weight 3", "weight 4", "weight changes from 3 to 4"),
    ("cost 12.0", "cost 11.0", "cost changes from 12"),
    (
        "version cedro-grande 2026-03 ",
        "withdraw cedro-grande 2026-03 ",
        "is withdrawn",
    ),
    (
        "allow tiendas cedro-grande 2026-02",
        "allow tiendas cedro-grande",
        "may use all versions",
    ),
    ("allow tiendas service taller-app", "", "service taller-app is removed"),
    (
        "deadline 10s once",
        "deadline 10s",
        "may run again changes from no to yes",
    ),
    ("expose 50", "expose 50 hold", "held changes from no to yes"),
    ("4000 tokens/s", "", "tokens changes from 4000/s to unlimited"),
    ("quality 0.90", "quality 0.95", "Cascade planes: quality changes"),
]


@pytest.mark.parametrize(("old", "new", "sentence"), _DIFFS)
def test_diff_reports_each_change(old: str, new: str, sentence: str) -> None:
    """Guards against a change that the diff omits."""
    changed = BASE.replace(old, new)
    if not new:
        changed = "\n".join(
            line
            for line in changed.split("\n")
            if not line.strip().startswith("#") or "asked by" not in line
        )
    sentences = rules.diff_rules(_parsed(BASE), _parsed(changed))
    assert any(sentence in each for each in sentences), sentences


def test_diff_against_empty_rules_lists_everything() -> None:
    """Guards against an empty diff for the first file."""
    sentences = rules.diff_rules(rules.EMPTY_RULES, _parsed(BASE))
    for word in ("Team tiendas is added", "Version 2026-02", "Kind deposit"):
        assert any(word in sentence for sentence in sentences)
