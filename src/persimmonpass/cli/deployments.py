"""The two example deployments that the demo can run."""

import typing


class Deployment(typing.NamedTuple):
    """An example deployment and the load that the demo sends to it.

    :ivar name: name of the deployment and of its folder of examples
    :ivar availability_zones: names of the availability zones
    :ivar model: name of the engine service and of its model
    :ivar version: version of the model
    :ivar engine_count: number of engines
    :ivar plain_service: name of the plain service
    :ivar call_path: path of a non-idempotent call to the plain service
    :ivar token: token of the client account
    :ivar request_count: number of completions
    :ivar item_count: number of items of the batch job
    :ivar call_count: number of calls to the plain service
    :ivar request_word: what the completions are called in the output
    :ivar item_word: what the items are called in the output
    :ivar call_word: what the calls are called in the output
    """

    name: str
    availability_zones: tuple[str, ...]
    model: str
    version: str
    engine_count: int
    plain_service: str
    call_path: str
    token: str
    request_count: int
    item_count: int
    call_count: int
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
