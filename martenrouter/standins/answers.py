"""What a stand-in engine answers: a function of the prompt and a seed, so that every token can be checked."""
import xxhash


def tokens_of(text):
    """Tokens of a text: four bytes each, the last one may be shorter."""
    return -(-len(text.encode()) // 4)


def chain_of(messages):
    """(hash, tokens up to and with it) for each message: what a reader can have kept of a prompt."""
    chain, total, running = [], 0, xxhash.xxh64()
    for message in messages:
        text = message.get("content") or ""
        running.update(("%s:%s\n" % (message.get("role"), text)).encode())
        total += tokens_of(text)
        chain.append((running.hexdigest(), total))
    return chain


def digest_of(messages):
    return chain_of(messages)[-1][0]


def length(seed, digest, max_tokens, usual=24):
    """Tokens of the answer: half to one and a half of the usual, never over the ceiling."""
    return max(1, min(max_tokens, usual // 2 + xxhash.xxh32_intdigest(("%s len %s" % (seed, digest)).encode()) % (usual + 1)))


def token(seed, digest, index):
    return " " + xxhash.xxh32_hexdigest(("%s %s %d" % (seed, digest, index)).encode())[:5]


def answer(seed, messages, max_tokens, usual=24):
    """All tokens of the answer to a prompt."""
    digest = digest_of(messages)
    return [token(seed, digest, i) for i in range(length(seed, digest, max_tokens, usual))]
