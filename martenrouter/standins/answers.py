"""What a stand-in engine answers: a function of the prompt and a seed, so that every token can be checked."""

import xxhash


def tokens_of(text):
    """Tokens of a text: four bytes each, the last one may be shorter."""
    return -(-len(text.encode()) // 4)


def text_of(message):
    """All of a message that is read: its content and what it asks of tools."""
    calls = "".join(
        "%s%s" % (call["function"]["name"], call["function"]["arguments"])
        for call in message.get("tool_calls") or ()
    )
    return (message.get("content") or "") + calls


def chain_of(messages):
    """(hash, tokens up to and with it) for each message: what a reader can have kept of a prompt."""
    chain, total, running = [], 0, xxhash.xxh64()
    for message in messages:
        text = text_of(message)
        running.update(("%s:%s\n" % (message.get("role"), text)).encode())
        total += tokens_of(text)
        chain.append((running.hexdigest(), total))
    return chain


def digest_of(messages):
    return chain_of(messages)[-1][0]


def length(seed, digest, max_tokens, usual=24):
    """Tokens of the answer: half to one and a half of the usual, never over the ceiling."""
    return max(
        1,
        min(
            max_tokens,
            usual // 2 + xxhash.xxh32_intdigest(("%s len %s" % (seed, digest)).encode()) % (usual + 1),
        ),
    )


def token(seed, digest, index):
    return " " + xxhash.xxh32_hexdigest(("%s %s %d" % (seed, digest, index)).encode())[:5]


TOKEN_SIZE = 6  # characters of a token, so that an answer so far can be counted


def plan(seed, messages, max_tokens, usual=24, tools=(), goes_on=False):
    """What one step of an answer holds: (tokens, tool calls as (name, arguments), tokens that are there
    already).

    With tools, up to two steps ask for one or two of them before the answer ends; which and what is a
    function of the prompt. `goes_on`: the last message is this step's text so far; the rest of the same step
    follows.
    """
    so_far = len(messages[-1].get("content") or "") // TOKEN_SIZE if goes_on else 0
    base = messages[:-1] if goes_on else messages
    digest, cap = digest_of(base), max_tokens + so_far
    asked = max(
        i for i, message in enumerate(base) if message["role"] != "assistant" and message["role"] != "tool"
    )
    steps = sum(bool(message.get("tool_calls")) for message in base[asked:])
    chance = xxhash.xxh32_intdigest(("%s steps %s" % (seed, digest_of(base[: asked + 1]))).encode())
    if not tools or steps >= chance % 3:
        return [token(seed, digest, i) for i in range(length(seed, digest, cap, usual))], [], so_far
    chance = xxhash.xxh32_intdigest(("%s calls %s" % (seed, digest)).encode())
    calls = [
        (tools[(chance + i) % len(tools)], {"meter": "%s-%d" % (digest[:8], i)})
        for i in range(1 + chance % 2)
    ]
    return [token(seed, digest, i) for i in range(min(3 + chance % 5, cap))], calls, so_far


def said(text, calls):
    """The assistant's message of a step that ended with tool calls, as a front passes it on."""
    message = {
        "role": "assistant",
        "tool_calls": [
            {"id": "call_%d" % i, "type": "function", "function": {"name": name, "arguments": arguments}}
            for i, (name, arguments) in enumerate(calls)
        ],
    }
    return {**message, "content": text} if text else message
