"""Metrics of a node and of a control process in the exposition format."""

from .fleet import Client, Fleet, async_test


@async_test
async def test_metrics_count_calls_by_route_and_outcome(tmp_path):
    async with Fleet(tmp_path) as fleet:
        async with Client(fleet.hosts[0].settings.call_address) as client:
            for number in range(3):
                await client.call(b"/parts/1", b"m%d" % number)
        text = fleet.hosts[0].node.metrics_text().decode()
        line = next(
            line
            for line in text.splitlines()
            if line.startswith("figpick_calls_total") and "parts-get" in line
        )
        assert line.endswith(" 3.0")
        assert 'le="+Inf"' in text
        assert "figpick_configuration_revision" in text
        # Guards against fields of the load that are reported to nodes only.
        for name in fleet.hosts[0].node.owner.load()._fields:
            assert f'what="{name}"' in text
        control = fleet.controls[0].metrics_text().decode()
        assert 'what="is_leader"' in control
