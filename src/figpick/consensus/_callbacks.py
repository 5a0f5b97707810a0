"""Waits in a coroutine for what a replica answers through a function."""

import asyncio


async def wait_for(function, *arguments):
    """Calls a function that answers through ``done`` and waits for the answer.

    :param function: called with the arguments, then ``done(answer, error)``.
    :return: the answer.
    :raises FigpickError: the error.
    """
    future = asyncio.get_running_loop().create_future()

    def done(answer, error):
        if future.done():
            return
        if error is None:
            future.set_result(answer)
        else:
            future.set_exception(error)

    function(*arguments, done)
    return await future
