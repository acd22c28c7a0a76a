"""The two deployments that the demo plays."""

import typing


class Deployment(typing.NamedTuple):
    """What a demo plays.

    :ivar zones: availability zones
    :ivar model: service, and name of its model
    :ivar engines: number of engines
    :ivar plain: name of the plain service
    :ivar call: path that may run only once
    :ivar token: token of the caller's account
    """

    name: str
    zones: tuple[str, ...]
    model: str
    version: str
    engines: int
    plain: str
    call: str
    token: str
    requests: int
    items: int
    calls: int
    request_word: str
    item_word: str
    call_word: str


DEPLOYMENTS = {
    'athi': Deployment(
        'athi',
        ('ruai', 'kasarani', 'embakasi'),
        'pumpread',
        '3',
        6,
        'crews',
        '/dispatch',
        'athi-desk-token',
        60,
        240,
        8,
        'alarm summaries',
        'shift digest entries',
        'crew dispatches',
    ),
    'lankaroot': Deployment(
        'lankaroot',
        ('col-a', 'col-b', 'neg-c'),
        'booking-assist',
        '7',
        5,
        'bookings',
        '/confirm',
        'lankaroot-token',
        50,
        300,
        10,
        'chat replies',
        'evening reminders',
        'booking confirmations',
    ),
}
