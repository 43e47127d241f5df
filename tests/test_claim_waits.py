"""Requests that are shed while their key is being claimed."""

import typing as ty

import anyio
from opentelemetry import context
import testtools

from apricotlanding import bundle
from apricotlanding import clocks
from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import metrics
from apricotlanding import tracing
from apricotlanding import wire
from apricotlandingd.ownership import shardview
from apricotlandingd.pools import poolclient
from apricotlandingd.requests import admission
from apricotlandingd.requests import answers
from apricotlandingd.requests import runs

OWNER: ty.Final = ids.Incarnation('owner/1')
EPOCH: ty.Final = ids.Epoch(7)
POOL: ty.Final = ids.Pool('planners')
DEADLINE_S: ty.Final = 20.0
# A shed caller is answered within this time, also on a busy machine; a tenth
# of its deadline.
IMMEDIATE_LIMIT_S: ty.Final = DEADLINE_S / 10


class SlowClaims:
    """A claim owner that answers after a while."""

    def __init__(self, delay_s: float, verdict: wire.ClaimVerdict) -> None:
        self.delay_s = delay_s
        self.verdict = verdict
        # Outcomes that were reported to the owner.
        self.ends: list[wire.ClaimState] = []

    async def claim(
        self, request: wire.ClaimRequest, deadline_at: float
    ) -> wire.ClaimReply:
        await anyio.sleep(self.delay_s)
        return wire.ClaimReply(self.verdict, EPOCH, OWNER, ticket='owner/1/9')

    def report_outcome(
        self, stored: answers.StoredRequest, state: wire.ClaimState
    ) -> None:
        self.ends.append(state)


class NoCrashes:
    """A guard that knows of no crash."""

    def find_problem(
        self, request: admission.Request, now: float
    ) -> errors.Problem | None:
        return None


class EarlierAnswers:
    """Attacher to a holder that has the answer of the key."""

    async def copy(
        self,
        stored: answers.StoredRequest,
        shard: ids.Shard,
        reply: wire.ClaimReply,
    ) -> errors.Problem | None:
        stored.answer.add(b'the answer of the first call')
        return None


def make_view() -> shardview.ShardView:
    """Return a view in which the pool has an owner."""
    now = clocks.read_monotonic()
    view = shardview.ShardView()
    view.entries[ids.Shard('pool/planners')] = shardview.ShardEntry(
        epoch=EPOCH,
        owner=OWNER,
        successor=None,
        lease_s=10.0,
        outage_limit_s=10.0,
        taken_at=now,
        successor_since=now,
        is_serving=True,
    )
    return view


def make_request() -> admission.Request:
    """Return a request that may not run twice."""
    route = bundle.RouteModel.model_validate(
        {
            'name': 'report',
            'pool': POOL,
            'tier': 'batch',
            'repeat': 'at-most-once',
            'deadline_ms': 20_000,
        }
    )
    head = admission.Head(
        organisation=ids.Organisation('festin'),
        route=route,
        tier=ids.Tier(4),
        tier_name='batch',
        weight=1.0,
        key=ids.Key('key-1'),
        deadline_s=DEADLINE_S,
        claim_shards=1,
        body_limit=1000,
    )
    return admission.Request(
        head=head,
        kind=bundle.RunnerKind.ENGINE,
        body=b'',
        digest=b'd',
        prompt='x',
        prompt_tokens=1,
        max_tokens=1,
        prefix=[],
    )


class TestShed(testtools.TestCase):
    """A full queue, and a claim owner that is slow to answer."""

    def shed(self, claimed: SlowClaims) -> tuple[answers.Answer, float]:
        """Return the answer of a request that is shed as it registers."""
        return anyio.run(self._shed, claimed)

    async def _shed(self, claimed: SlowClaims) -> tuple[answers.Answer, float]:
        clients: list[poolclient.PoolClient] = []

        def send(receiver: ids.Incarnation, message: object) -> None:
            if not isinstance(message, wire.Register):
                return
            for entry in message.entries:
                shed = wire.Shed(POOL, EPOCH, entry.ticket, 1.5, False)
                clients[0].handle_shed(shed, OWNER)

        async def call(receiver: ids.Incarnation, message: object) -> object:
            return wire.Ack()

        async def wait_for_change(limit_s: float) -> None:
            await anyio.sleep(limit_s)

        client = poolclient.PoolClient(
            ids.Incarnation('entry/1'),
            make_view(),
            send,
            call,
            wait_for_change,
        )
        clients.append(client)
        made, _ = tracing.make_tracer('entry-1', None)
        carried = runs.Runs(
            ids.Incarnation('entry/1'),
            answers.AnswerStore(1 << 20),
            ty.cast('ty.Any', claimed),
            client,
            ty.cast('ty.Any', EarlierAnswers()),
            ty.cast('ty.Any', None),
            ty.cast('ty.Any', NoCrashes()),
            metrics.Metrics(None),
            made,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(carried.run)
            group.start_soon(client.run, lambda: [POOL])
            # The daemon has registered with the scheduler.
            await anyio.sleep(0.05)
            began_at = clocks.read_monotonic()
            run = carried.start(
                make_request(), began_at + DEADLINE_S, context.Context()
            )
            await carried.wait_until_idle()
            took_s = clocks.read_monotonic() - began_at
            group.cancel_scope.cancel()
        return run.stored.answer, took_s

    def find_problem(self, answer: answers.Answer) -> errors.Problem:
        assert answer.end is not None
        assert answer.end.problem is not None
        return answer.end.problem

    def test_claim_that_is_granted_late_says_not_run(self) -> None:
        # Guards against "unknown" for a request that never ran, which its
        # caller cannot send under another key. The claim takes longer than a
        # tenth of a second, so the request waits in the queue and is shed
        # there. The claim must not be abandoned: its reply shows that no
        # earlier call had the key.
        claimed = SlowClaims(0.2, wire.ClaimVerdict.GRANTED)
        answer, took_s = self.shed(claimed)
        problem = self.find_problem(answer)
        self.assertEqual(errors.Outcome.NOT_RUN, problem.outcome)
        self.assertEqual('APL201', problem.code)
        self.assertEqual(1.5, problem.retry_after_s)
        self.assertLess(took_s, IMMEDIATE_LIMIT_S)
        # The key is free for a retry.
        self.assertEqual([wire.ClaimState.RELEASED], claimed.ends)

    def test_claim_of_a_key_that_ran_gives_its_answer(self) -> None:
        # As above, but the caller retries a request that has run: its answer
        # is kept, and costs the pool nothing.
        claimed = SlowClaims(0.2, wire.ClaimVerdict.FINISHED)
        answer, _ = self.shed(claimed)
        assert answer.end is not None
        self.assertEqual(None, answer.end.problem)
        self.assertEqual([b'the answer of the first call'], answer.chunks)

    def test_claim_owner_that_is_silent_is_not_waited_for(self) -> None:
        # A shed caller must be answered at once, also when it is unknown
        # whether an earlier call under its key ran.
        claimed = SlowClaims(DEADLINE_S, wire.ClaimVerdict.GRANTED)
        answer, took_s = self.shed(claimed)
        problem = self.find_problem(answer)
        self.assertEqual(errors.Outcome.UNKNOWN, problem.outcome)
        self.assertEqual('APL201', problem.code)
        self.assertLess(took_s, IMMEDIATE_LIMIT_S)
