"""Messages between control processes, and between them and nodes.

Each message is a list whose first item is its kind. The other items:

* ``hello``: name and token of the process that sends it; first on each link, from
  both ends.
* ``record``: fields of a :class:`~figpick.directory.HostRecord`.
* ``table``: list of all records that a control process knows.
* ``revision``: revision of the newest configuration of a control process.
* ``fetch``: asks for that configuration.
* ``configuration``: its revision and its compressed document.
* ``crash``: start of an upstream that crashed, fingerprints of what it ran.
* ``identify``: asks another control process who it is.
* ``identity``: a dict; see :meth:`~figpick.consensus._formation.Formation.learn`.
* ``quorum``: kind and fields of a message of the replicated log.
* ``ask``: number, kind and value of a request to the leader.
* ``told``: number, error name or empty, and value of its answer.
"""

HELLO = "hello"
RECORD = "record"
TABLE = "table"
REVISION = "revision"
FETCH = "fetch"
CONFIGURATION = "configuration"
CRASH = "crash"
IDENTIFY = "identify"
IDENTITY = "identity"
QUORUM = "quorum"
ASK = "ask"
TOLD = "told"
