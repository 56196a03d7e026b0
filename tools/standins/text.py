"""Tokens of the stand-in engine, and the answers that it generates.

A token is a word delimited by white space. The hash of a block includes the hash of
the previous block, so that equal hashes mean equal prefixes.
"""

import hashlib
import struct
import zlib
from collections.abc import Sequence
from typing import Any

BLOCK_TOKENS = 16


def prompt_words(messages: Sequence[dict[str, Any]]) -> list[str]:
    """Render chat messages as the words that the engine prefills."""
    words: list[str] = []
    for message in messages:
        words.append(f"<{message['role']}>")
        words.extend(str(message["content"]).split())
    return words


def token_ids(words: Sequence[str]) -> list[int]:
    """Return one 32-bit token number for each word."""
    return [zlib.crc32(word.encode()) for word in words]


def block_hashes(tokens: Sequence[int]) -> list[int]:
    """Return the chained 64-bit hash of each full block of tokens.

    Examples
    --------
    >>> long, short = block_hashes(range(40)), block_hashes(range(16))
    >>> len(long), long[0] == short[0]
    (2, True)
    """
    hashes = []
    parent = 0
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = struct.pack(
            f"<Q{BLOCK_TOKENS}I", parent, *tokens[start : start + BLOCK_TOKENS]
        )
        digest = hashlib.blake2b(block, digest_size=8).digest()
        parent = int.from_bytes(digest, "little")
        hashes.append(parent)
    return hashes


def answer_words(last_message: str, n_tokens: int) -> list[str]:
    """Return the words of the engine's answer to a request.

    Parameters
    ----------
    last_message : str
        Content of the last message of the request.
    n_tokens : int
        Number of words.

    Returns
    -------
    list of str
        Words that contain a digest of the message and their position, so that a
        receiver can verify that the answer is its own and that no word is missing.

    Examples
    --------
    >>> answer_words("check leg 4", 2)
    ['040be7bf-0', '040be7bf-1']
    """
    tag = hashlib.blake2b(last_message.encode(), digest_size=4).hexdigest()
    return [f"{tag}-{position}" for position in range(n_tokens)]


def answer_text(last_message: str, n_tokens: int) -> str:
    """Return the text of the engine's answer to a request; see `answer_words`."""
    return " ".join(answer_words(last_message, n_tokens))
