"""Newest known document version and roster epoch of each service."""

from hashlib import blake2b
from typing import NamedTuple

from ._digests import DIGEST_BYTES


class ServiceVersion(NamedTuple):
    """Newest known document version and roster epoch of a service.

    :param version: version of the document, 0 before the first one.
    :param epoch: epoch of the roster, 0 before the first one.
    """

    version: int = 0
    epoch: int = 0

    def is_newer_than(self, other):
        """Returns whether the document or the roster is newer than in ``other``."""
        return self.version > other.version or self.epoch > other.epoch

    def combine(self, other):
        """Returns the higher version and the higher epoch of both."""
        return ServiceVersion(
            max(self.version, other.version), max(self.epoch, other.epoch)
        )


class ServiceVersions:
    """Stores the highest version and epoch of each service."""

    def __init__(self):
        self._service_versions = {}
        self._digest = 0

    def __contains__(self, service):
        return service in self._service_versions

    def __len__(self):
        return len(self._service_versions)

    @property
    def digest(self):
        """Digest of all versions; equal at processes with the same versions."""
        return self._digest

    def get(self, service):
        """Returns the :class:`ServiceVersion` of a service."""
        return self._service_versions.get(service, NO_VERSION)

    def merge(self, service, service_version):
        """Merges a version that another process sent.

        :param service_version: :class:`ServiceVersion`.
        :return: whether its document version or roster epoch is newer.
        """
        known = self.get(service)
        if not service_version.is_newer_than(known):
            return False
        combined = known.combine(service_version)
        self._service_versions[service] = combined
        self._digest ^= _hash(service, known) ^ _hash(service, combined)
        return True

    def dump(self):
        """Returns a dict from service to :class:`ServiceVersion`."""
        return dict(self._service_versions)


NO_VERSION = ServiceVersion()


def _hash(service, service_version):
    if service_version == NO_VERSION:
        return 0
    text = f"{service} {service_version.version} {service_version.epoch}".encode()
    return int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest())
