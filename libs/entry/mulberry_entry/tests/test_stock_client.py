"""Tests with the unmodified `openai` Python client."""

from collections.abc import Iterator

import openai
import pytest

from mulberry_entry.tests import harness


@pytest.fixture
def entry() -> Iterator[harness.Harness]:
    started = harness.Harness()
    started.add_engine("engine-1")
    yield started
    started.stop()


def _client(entry: harness.Harness, key: str = harness.KEY) -> openai.OpenAI:
    return openai.OpenAI(
        api_key=key, base_url=f"http://{entry.address}/v1", max_retries=0
    )


def test_whole_and_streamed_answers_and_model_list(
    entry: harness.Harness,
) -> None:
    """Guards against answers that the `openai` client cannot parse."""
    client = _client(entry)
    assert "m" in [model.id for model in client.models.list()]
    complete = client.chat.completions.create(
        model="m", messages=[{"role": "user", "content": "hola"}]
    )
    text = complete.choices[0].message.content
    assert text
    assert complete.usage
    assert complete.usage.completion_tokens == 5
    streamed = client.chat.completions.create(
        model="m", messages=[{"role": "user", "content": "hola"}], stream=True
    )
    contents = [
        chunk.choices[0].delta.content or ""
        for chunk in streamed
        if chunk.choices
    ]
    assert "".join(contents) == text
    cascade = client.chat.completions.create(
        model="both",
        messages=[{"role": "user", "content": "hola"}],
        stream=True,
    )
    assert list(cascade)[-1].choices[0].finish_reason == "stop"


def test_refusals_map_to_protocol_errors(entry: harness.Harness) -> None:
    """Guards against refusals that the client cannot distinguish."""
    messages: list[openai.types.chat.ChatCompletionMessageParam] = [
        {"role": "user", "content": "hola"}
    ]
    with pytest.raises(openai.AuthenticationError):
        _client(entry, "wrong").chat.completions.create(
            model="m", messages=messages
        )
    with pytest.raises(openai.NotFoundError) as unknown:
        _client(entry).chat.completions.create(model="x", messages=messages)
    assert unknown.value.code == "unknown_model"
    entry.set_faults("engine-1", garble_at=2)
    with pytest.raises(openai.APIError):
        list(
            _client(entry).chat.completions.create(
                model="m", messages=messages, stream=True
            )
        )
