"""Bundles the platform's functions in the form that a gateway uses."""

from persimmonpass import gateway_ports
from persimmonpass.platform import app
from persimmonpass.platform import objects
from persimmonpass.platform import store
from persimmonpass.platform import wire

PORTS = gateway_ports.PlatformPorts(
    store.connect,
    wire.WIRE,
    objects.CONFIG_KIND,
    objects.CONFIG_NAME,
    objects.TARGETS_KIND,
    objects.read_configuration,
    objects.read_target,
    app.make_caller_app,
    app.make_ready_app,
    app.make_entry_app,
    objects.clean_record,
)
