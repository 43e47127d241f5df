"""The operators' interface for explanations, over HTTP."""

import typing as ty

import anyio

from apricotlanding import asgi
from apricotlanding import clocks
from apricotlanding import errors
from apricotlandingd.gateway.explanations import explainer
from apricotlandingd.gateway.explanations import questions

__all__ = ['PATH', 'PlacementPage']

METHOD = 'POST'
PATH = '/v1/explain-placement'
# Time in which a question has to arrive.
READ_TIMEOUT_S = 5.0


@ty.final
class PlacementPage:
    """Answers operators' questions; an ASGI application."""

    def __init__(self, explains: explainer.PlacementExplainer) -> None:
        """Answer from an explainer."""
        self._explainer = explains

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one question."""
        try:
            value = await self._explain(scope, receive)
        except asgi.Disconnected:
            return
        except errors.Refused as error:
            await asgi.send_problem(send, error.problem)
            return
        await asgi.send_json(send, 200, value)

    async def _explain(
        self, scope: asgi.Scope, receive: asgi.Receive
    ) -> dict[str, ty.Any]:
        if scope['method'] != METHOD:
            detail = f'it came with {scope["method"]}, not {METHOD}'
            raise _refuse(errors.Kind.BAD_QUESTION, detail=detail)
        with anyio.move_on_after(READ_TIMEOUT_S) as limit:
            try:
                data = await asgi.read_body(receive, questions.MAX_BYTES)
            except asgi.BodyTooLarge:
                raise _refuse(
                    errors.Kind.BODY_TOO_LARGE, limit=questions.MAX_BYTES
                ) from None
        if limit.cancelled_caught:
            raise _refuse(errors.Kind.BAD_QUESTION, detail='it is incomplete')
        question = questions.read_question(data)
        return self._explainer.explain(question, clocks.read_monotonic())


def _refuse(kind: errors.Kind, **fields: object) -> errors.Refused:
    return errors.Refused(errors.make_problem(kind, None, **fields))
