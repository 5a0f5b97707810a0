"""Metrics of a control process."""

from ..base._exposition import Exposition


def control_metrics(name, process):
    """Returns the metrics of a control process.

    :param name: name of the process.
    :param process: :class:`~figpick.control.ControlProcess`.
    :return: :class:`~figpick.base._exposition.Exposition`.
    """
    metrics = Exposition(name)
    metrics.add_gauge("figpick_control", ("what",), lambda: _values(process))
    return metrics


def _values(process):
    member = process.member
    replica = member.replica
    health = process.quorum_health()
    values = {
        ("is_leader",): int(member.is_leader),
        ("log_index",): replica.applied_index if replica else 0,
        ("log_term",): replica.raft.term if replica else 0,
        ("revision",): member.registry.revision,
        ("hosts",): process.host_count,
        ("voters",): len(health.voters),
    }
    if member.is_leader:
        # Followers hear only from the leader and cannot tell who else answers.
        values["absent_voters",] = len(health.absent)
        values["bearable_losses",] = health.bearable_losses
    return values
