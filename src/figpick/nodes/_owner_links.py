"""The links of an owner to calling nodes, and the results it keeps for them."""

import asyncio

from ..directory import DRAINING
from ._messages import (
    FAILED,
    LOAD,
    NOT_RUN,
    REASON_LINK_LOST,
    RESPONSE,
    RESPONSE_BODY,
    RESPONSE_CUT_OFF,
)

# A call keeps running for this long after its link closed, since its caller may
# attach it to a new link.
ATTACH_WINDOW_S = 2.0
# Results of this many finished calls are kept for callers that attach afterwards.
MAX_FINISHED_CALLS = 8192
# A link can be dead long before that is seen. The last responses to calls that must run
# once, and of all calls whose link is closed, are kept up to so many bytes.
MAX_KEPT_BYTES = 4 * 1024 * 1024
# Memory of a kept response beside its body.
KEPT_OVERHEAD_BYTES = 1024


class OwnerLinks:
    """Base class of the owner that attaches calls to the links of their callers."""

    def add_link(self, link):
        """Starts reporting load changes on a link."""
        self._links.add(link)
        link.send(self._load_report())

    def remove_link(self, link):
        """Removes a closed link; its caller may attach the calls to another link."""
        self._links.discard(link)
        detached = [
            execution
            for execution in self._executions.values()
            if execution.link is link
        ]
        if detached:
            loop = asyncio.get_running_loop()
            loop.call_later(ATTACH_WINDOW_S, self._abort_unattached, detached, link)

    def attach(self, link, peer, numbers):
        """Moves calls to a new link of their caller.

        The caller's earlier links must be closed first, so that no call sent on them
        can arrive afterwards.

        :param peer: name and token of the calling node.
        :param numbers: numbers of the calls whose results it still expects.
        """
        for number in numbers:
            key = (peer, number)
            execution = self._executions.get(key)
            if execution is None:
                link.send(self._result(key))
            elif execution.is_streaming:
                self._finish(execution)
                link.send((RESPONSE_CUT_OFF, number))
            else:
                execution.link = link
                execution.awaits_link = False
                self._resume(execution)
                if execution.remaining_body_bytes > 0:
                    self._end_incomplete(execution)

    def _end_incomplete(self, execution):
        """Ends a call whose link was lost while its body was sent."""
        if execution.sent_at is None:
            self._queue.withdraw(execution.ticket)
            self._finish_not_run(execution, REASON_LINK_LOST)
        else:
            self._fail(execution, REASON_LINK_LOST)

    def _result(self, key):
        peer, number = key
        # Calls with lower numbers may have run, although their results are not kept.
        is_forgotten = number <= self._last_forgotten.get(peer, 0)
        if key not in self._finished and not is_forgotten:
            return (NOT_RUN, number, REASON_LINK_LOST, 0, self.load(), 1.0)
        message = self._finished.get(key)
        return message or (FAILED, number, REASON_LINK_LOST, self.load())

    def _abort_unattached(self, executions, link):
        for execution in executions:
            if execution.is_done or execution.link is not link:
                continue
            if execution.call.is_idempotent or execution.ticket.is_queued:
                self._queue.withdraw(execution.ticket)
                self._finish(execution)

    def _keep_result(self, execution, message):
        """Keeps what a caller gets that attaches after the end of a call."""
        key = execution.peer, execution.number
        if execution.is_streaming:
            # Parts may be lost with the link.
            message = RESPONSE_CUT_OFF, execution.number
        elif execution.link.is_open and execution.call.is_idempotent:
            message = None
        else:
            self._bound_kept_bytes(key, message)
        self._remember_result(key, message)

    def _bound_kept_bytes(self, key, message):
        if message is None or message[0] != RESPONSE:
            return
        size = len(message[RESPONSE_BODY]) + KEPT_OVERHEAD_BYTES
        self._kept_responses.append((key, size))
        self._kept_bytes += size
        while self._kept_bytes > MAX_KEPT_BYTES:
            oldest, size = self._kept_responses.popleft()
            self._kept_bytes -= size
            if oldest in self._finished:
                self._finished[oldest] = None

    def _remember_result(self, key, message):
        self._finished[key] = message
        if len(self._finished) > MAX_FINISHED_CALLS:
            peer, number = oldest = next(iter(self._finished))
            del self._finished[oldest]
            known = self._last_forgotten.get(peer, 0)
            self._last_forgotten[peer] = max(known, number)

    def _load_report(self):
        view = self.view
        is_draining = view.state == DRAINING
        return LOAD, self.load(), view.incarnation_key, view.service, is_draining

    def _report_load(self):
        message = self._load_report()
        for link in list(self._links):
            link.send(message)
