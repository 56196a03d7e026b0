"""Decides which version of the configuration is in force.

Versions only rise, whatever the store returns. After the store has returned from an
older copy, it may hold an older version for a while, and another content may get a
version that is known already.
"""


class ConfigurationVersions:
    """Version in force, and what peers have in force.

    Attributes
    ----------
    version : int or None
        Version in force.

    Examples
    --------
    >>> versions = ConfigurationVersions()
    >>> [versions.accept(version, 0, epoch=1) for version in (3, 3, 2, 4)]
    [True, False, False, True]
    >>> versions.accept(4, digest=9, epoch=2)
    True
    """

    __slots__ = (
        "_digest",
        "_epoch",
        "_peer_version",
        "_was_as_new_as_peers",
        "version",
    )

    def __init__(self) -> None:
        self.version: int | None = None
        self._digest = 0
        self._epoch = 0
        self._peer_version = 0
        self._was_as_new_as_peers = False

    @property
    def digest(self) -> int:
        """Number that identifies version and content, of 63 bits."""
        return ((self.version or 0) & 0x7FFF_FFFF) << 32 | self._digest

    @property
    def is_outdated(self) -> bool:
        """Whether this process has never had as new a version as its peers.

        One that starts while the store holds an old copy must not decide by it: routes
        and keys in it may have been removed since.
        """
        if self._was_as_new_as_peers or self.version is None:
            return False
        return self.version < self._peer_version

    def accept(self, version: int, digest: int, epoch: int) -> bool:
        """Return whether a configuration is to be put in force, and record it.

        Parameters
        ----------
        version : int
            Its version.
        digest : int
            Checksum of its content, of 32 bits.
        epoch : int
            Epoch of the store from which it was read.
        """
        if self.version is not None:
            is_other = digest != self._digest and epoch > self._epoch
            if (version, is_other) <= (self.version, False):
                return False
        self.version, self._digest, self._epoch = version, digest, epoch
        self.observe_peers(self._peer_version)
        return True

    def observe_peers(self, newest_version: int) -> None:
        """Record the newest version that any live peer has in force; 0 for none."""
        self._peer_version = newest_version
        if self.version is not None and 0 < newest_version <= self.version:
            self._was_as_new_as_peers = True
