"""Requests to the engine stand-in and their expected answers.

The rules are those of src/standins/README.md.
"""

import hashlib
import json


def sha256(text):
    return hashlib.sha256(text if isinstance(text, bytes) else text.encode()).hexdigest()


def chat_body(model, prompt, max_tokens, stream):
    return {
        "model": model,
        "max_tokens": max_tokens,
        "stream": stream,
        "messages": [{"role": "user", "content": prompt}],
    }


def content_digest(model, prompt, max_tokens):
    return sha256(f"{model}\n{max_tokens}\n{prompt}")


def expected_answer(model, prompt, max_tokens):
    digest = content_digest(model, prompt, max_tokens)
    return "".join(f"w{sha256(f'{digest}:{i}')[:7]} " for i in range(max_tokens))


def read_events(body):
    """Splits a stream into (event name, data) pairs. Drops an event without its empty line."""
    events = []
    for block in body.decode(errors="replace").split("\n\n")[:-1]:
        name, data = "", []
        for line in block.split("\n"):
            if line.startswith("data:"):
                data.append(line[5:].strip())
            elif line.startswith("event:"):
                name = line[6:].strip()
        if data:
            events.append((name, "\n".join(data)))
    return events


def read_stream(body):
    """Returns the text of a stream, whether it has its end mark, and whether it has an error."""
    text, has_end, has_error = "", False, False
    for name, data in read_events(body):
        if data == "[DONE]":
            has_end = True
            continue
        try:
            event = json.loads(data)
        except ValueError:
            has_error = True
            continue
        if name == "error" or "error" in event:
            has_error = True
            continue
        for choice in event.get("choices", []):
            text += choice.get("delta", {}).get("content") or ""
    return text, has_end, has_error


def read_plain(body):
    try:
        return json.loads(body)["choices"][0]["message"]["content"] or ""
    except (ValueError, KeyError, IndexError, TypeError):
        return ""
