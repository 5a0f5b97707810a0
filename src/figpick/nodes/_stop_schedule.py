"""Decides what a stopping node still takes, and how long upstreams may work on it.

A request is taken only if its upstream can respond before the process ends. This holds
for requests of clients, nested calls and further attempts alike: whatever is sent in a
stop has a deadline within the stop, at which the upstream responds itself.
"""

from typing import NamedTuple

# The upstream receives calls of other nodes until this long after the stop began.
OWNER_STOP_DELAY_S = 1.8
# Clients stop using a node after two failed readiness checks, one second apart. Those
# that stay can go to another node later, so a request of theirs is not begun anew in
# the time left.
CLIENT_LEAVE_DELAY_S = 2.6
# Calls that are still running this long before the process is killed are ended.
EXIT_MARGIN_S = 0.8
# Upstreams stop working this long before, so that their responses arrive.
RESPONSE_MARGIN_S = 0.2
# Calls that wait for a slot are withdrawn this long before, so that owners can confirm
# that they were not run.
WITHDRAW_TIME_S = 0.3
# Clients and links are cut this long before the process is killed, whatever they still
# carry. The interpreter needs a few tenths of a second to exit on a busy host.
FLUSH_MARGIN_S = 0.6


class StopSchedule(NamedTuple):
    """Times of one stop, in monotonic seconds.

    :param owner_until: until then the upstream receives calls of other nodes.
    :param clients_until: until then requests of clients are taken.
    :param withdraw_at: calls that no upstream has are withdrawn.
    :param work_until: deadline of what is sent to upstreams during the stop.
    :param end_at: calls that are still running are ended.
    :param exit_at: connections are cut.
    """

    owner_until: float
    clients_until: float
    withdraw_at: float
    work_until: float
    end_at: float
    exit_at: float

    def takes(self, is_awaited, now):
        """Returns whether a request that arrives now is taken.

        :param is_awaited: whether a request that runs at the upstream on this host is
            known to wait for it, so that no other node can take it.
        :param now: monotonic seconds.
        """
        return now < (self.work_until if is_awaited else self.clients_until)

    def leaves_time(self, work_s, now):
        """Returns whether an upstream that begins now can finish in time.

        :param work_s: typical seconds that the upstream works on such a call.
        :param now: monotonic seconds.
        """
        return now + work_s < self.work_until


def make_stop_schedule(started_at, grace_s):
    """Returns the :class:`StopSchedule` of a stop.

    :param started_at: monotonic seconds of the signal.
    :param grace_s: seconds from the signal until the process is killed.
    """
    end_at = started_at + grace_s - EXIT_MARGIN_S
    work_until = end_at - RESPONSE_MARGIN_S
    return StopSchedule(
        owner_until=min(work_until, started_at + OWNER_STOP_DELAY_S),
        clients_until=min(work_until, started_at + CLIENT_LEAVE_DELAY_S),
        withdraw_at=end_at - WITHDRAW_TIME_S,
        work_until=work_until,
        end_at=end_at,
        exit_at=started_at + grace_s - FLUSH_MARGIN_S,
    )
