"""A prompt's length in tokens, guessed before any engine has told it: bytes over what a token of the group
usually holds, learnt from the engines' own counts."""


class Lengths:
    START = 4.0  # bytes a token, about what common vocabularies give for running text
    LEAST, MOST = 0.5, 32.0  # outside this a count is an engine's mistake, not a language

    def __init__(self):
        self.ratios = {}  # group -> [bytes a token, counts seen]

    def guess(self, group, size):
        """`size`: bytes of the prompt. Tokens, at least one."""
        return max(int(size / self.ratios.get(group, (self.START, 0))[0]), 1)

    def told(self, group, size, tokens):
        """An engine counted `tokens` for `size` bytes."""
        if tokens <= 0 or not self.LEAST <= size / tokens <= self.MOST:
            return
        ratio, seen = self.ratios.get(group, (self.START, 0))
        seen = min(seen + 1, 64)  # by then a new count moves the guess by a sixty-fourth
        self.ratios[group] = ratio + (size / tokens - ratio) / seen, seen
