"""Hashes of prompt prefixes, to find requests that share a prefix."""

from collections import OrderedDict
from collections.abc import Sequence
from hashlib import blake2b

# Prefixes of 256, 512, ... 8192 characters; about four characters are a token.
FIRST_PREFIX_CHARS = 256
N_PREFIXES = 6
CHARS_PER_TOKEN = 4


class SeenPrefixes:
    """Bounded set of the prefixes that this entry has seen most recently.

    It shows how much of a prompt is shared with other requests. A prefix is
    dropped after `max_prefixes` others were seen since its last occurrence.

    Parameters
    ----------
    max_prefixes : int
        Number of stored prefixes; each takes about 100 bytes.
    """

    __slots__ = ("_max_prefixes", "_seen")

    def __init__(self, max_prefixes: int = 10_000) -> None:
        self._max_prefixes = max_prefixes
        self._seen: OrderedDict[int, None] = OrderedDict()

    def observe(self, hashes: Sequence[int]) -> int:
        """Add the prefixes of a prompt.

        Parameters
        ----------
        hashes : sequence of int
            As returned by `prefix_hashes`, shortest prefix first.

        Returns
        -------
        int
            How many of them were seen before; the value of
            `RequestFacts.n_seen_prefixes`.
        """
        n_seen = 0
        for prefix in hashes:
            if prefix in self._seen:
                n_seen += 1
                self._seen.move_to_end(prefix)
            else:
                self._seen[prefix] = None
        while len(self._seen) > self._max_prefixes:
            self._seen.popitem(last=False)
        return n_seen


def prefix_hashes(text: str) -> tuple[int, ...]:
    """Hash the prefixes of a prompt; each is twice as long as the one before.

    Parameters
    ----------
    text : str
        The prompt, including the system message.

    Returns
    -------
    tuple of int
        One 63-bit number for each complete prefix of 256, 512, ... 8192
        characters, shortest first; the same in every process.

    Examples
    --------
    >>> prefix_hashes("short")
    ()
    >>> a, b = prefix_hashes("x" * 600), prefix_hashes("x" * 300)
    >>> len(a), a[0] == b[0]
    (2, True)
    """
    digest = blake2b(digest_size=8)
    hashes: list[int] = []
    start, end = 0, FIRST_PREFIX_CHARS
    while end <= len(text) and len(hashes) < N_PREFIXES:
        digest.update(text[start:end].encode("utf-8", "surrogatepass"))
        hashes.append(int.from_bytes(digest.digest(), "big") >> 1)
        start, end = end, 2 * end
    return tuple(hashes)
