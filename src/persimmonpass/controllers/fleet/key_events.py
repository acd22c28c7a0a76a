"""Logs what a new configuration changes about the keys of accounts."""

from persimmonpass import events
from persimmonpass.policy import key_checks
from persimmonpass import routes


def log_changes(
    host: str,
    before: routes.Configuration | None,
    after: routes.Configuration,
) -> None:
    """Log the changes of keys and the faults of the accounts.

    Neither keys nor their digests are logged.

    :param before: the configuration that was in force, ``None`` for none
    """
    table = after.client_accounts
    added, removed = key_checks.count_changes(
        before.client_accounts if before else None, table
    )
    if added or removed:
        events.log(
            events.KEYS_CHANGED,
            host=host,
            version=after.version,
            added=added,
            removed=removed,
        )
    if table is None:
        return
    for digest in table.shared:
        names = [
            row.name
            for row in table.by_name.values()
            if digest in row.key_digests
        ]
        events.log(
            events.KEY_SHARED, host=host, version=after.version, accounts=names
        )
    for row in table.by_name.values():
        if row.unreadable:
            events.log(
                events.LIMIT_UNREADABLE,
                host=host,
                version=after.version,
                account=row.name,
                limits=row.unreadable,
            )
