"""Lets coroutines wait for results that a replica reports through a callback."""

import asyncio


async def wait_for_callback(function, *arguments):
    """Calls a function that reports its result through a callback, and waits for it.

    :param function: called with the arguments, then ``done(result, error)``.
    :return: the result.
    :raises FigpickError: the error, if one was reported.
    """
    future = asyncio.get_running_loop().create_future()

    def done(result, error):
        if future.done():
            return
        if error is None:
            future.set_result(result)
        else:
            future.set_exception(error)

    function(*arguments, done)
    return await future
