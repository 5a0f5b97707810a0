"""The newest document version and roster epoch known of each service."""

from hashlib import blake2b
from typing import NamedTuple

from ._digests import DIGEST_BYTES


class ServiceVersion(NamedTuple):
    """What is known to exist of a service.

    :param version: version of the document, 0 before the first one.
    :param epoch: epoch of the roster, 0 before the first one.
    """

    version: int = 0
    epoch: int = 0

    def newer(self, other):
        """Whether the document or the roster is newer than that of another."""
        return self.version > other.version or self.epoch > other.epoch

    def join(self, other):
        """Gives the higher version and the higher epoch."""
        return ServiceVersion(
            max(self.version, other.version), max(self.epoch, other.epoch)
        )


class ServiceVersions:
    """Keeps the highest version and epoch of each service."""

    def __init__(self):
        self._service_versions = {}
        self._digest = 0

    def __contains__(self, service):
        return service in self._service_versions

    def __len__(self):
        return len(self._service_versions)

    @property
    def digest(self):
        """Number that is equal at processes with the same headlines."""
        return self._digest

    def get(self, service):
        """Gives the :class:`ServiceVersion` of a service."""
        return self._service_versions.get(service, NONE)

    def merge(self, service, headline):
        """Takes a headline from elsewhere.

        :param headline: :class:`ServiceVersion`.
        :return: whether it is news.
        """
        known = self.get(service)
        if not headline.newer(known):
            return False
        joined = known.join(headline)
        self._service_versions[service] = joined
        self._digest ^= _hash(service, known) ^ _hash(service, joined)
        return True

    def dump(self):
        """Gives all headlines as a dict from service to version and epoch."""
        return dict(self._service_versions)


NONE = ServiceVersion()


def _hash(service, headline):
    if headline == NONE:
        return 0
    text = f"{service} {headline.version} {headline.epoch}".encode()
    return int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest())
