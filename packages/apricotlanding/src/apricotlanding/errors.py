"""All errors that are reported to callers and operators.

The messages of the whole system are defined here, each with a code whose
meaning never changes, so that they can be reviewed, documented and translated
in one place. A ``Problem`` is a value: functions return it inside
``expression.Result`` or raise it in a ``Refused`` exception.

``Outcome`` is the guarantee that an error gives. *not-run* means that no
runner has worked on the request and that none will; *unknown* means that a
runner may have.
"""

import dataclasses
import enum
import typing as ty

__all__ = [
    'Kind',
    'Outcome',
    'Problem',
    'Refused',
    'make_problem',
    'mark_outcome_unknown',
]


class Outcome(enum.Enum):
    """Outcome of a request, as reported to its caller."""

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Template:
    """Constant part of an error."""

    # Stable code, shown to callers and operators.
    code: str
    # HTTP status of a response that reports this error.
    status: int
    outcome: Outcome
    # What happened; may contain format fields.
    text: str
    # What the reader can do about it.
    remedy: str


class Kind(enum.Enum):
    """Kinds of error; the value is the message template."""

    BAD_CREDENTIALS = Template(
        'APL101',
        401,
        Outcome.NOT_RUN,
        'the credentials were not accepted',
        'send "Authorization: Bearer TOKEN" with a token in force',
    )
    UNKNOWN_ROUTE = Template(
        'APL102',
        404,
        Outcome.NOT_RUN,
        'there is no service route {route!r} for this organisation',
        'use one of the routes that the operators set up for you',
    )
    BODY_TOO_LARGE = Template(
        'APL103',
        413,
        Outcome.NOT_RUN,
        'the body is larger than {limit} bytes',
        'split the request or ask the operators for a higher limit',
    )
    HEADERS_TOO_LARGE = Template(
        'APL104',
        431,
        Outcome.NOT_RUN,
        'the request has more than {limit} headers',
        'send only the headers that the interface names',
    )
    BAD_KEY = Template(
        'APL105',
        400,
        Outcome.NOT_RUN,
        'the Idempotency-Key is missing or is not a UUID',
        'send a fresh UUIDv7 for each new request and the same one again'
        ' for each retry',
    )
    KEY_REUSED = Template(
        'APL106',
        422,
        Outcome.NOT_RUN,
        'this Idempotency-Key was used before with another body or route',
        'send a fresh UUIDv7; this request was not run',
    )
    KEY_FROM_FUTURE = Template(
        'APL107',
        400,
        Outcome.NOT_RUN,
        'the Idempotency-Key was issued {ahead_s:.1f} s in the future',
        'set the clock of the host that issues the keys',
    )
    KEY_EXPIRED = Template(
        'APL108',
        400,
        Outcome.UNKNOWN,
        'the Idempotency-Key is older than the claim window of'
        ' {window_s:.0f} s',
        'find out what became of the first request before you issue a new key',
    )
    BAD_DEADLINE = Template(
        'APL109',
        400,
        Outcome.NOT_RUN,
        'Apricot-Deadline-Ms must be a whole number from 1 to {limit}',
        'send the number of milliseconds that the answer is still useful',
    )
    BAD_BODY = Template(
        'APL110',
        400,
        Outcome.NOT_RUN,
        'the body is not what this route takes: {detail}',
        'send the JSON object that docs/CALLERS.md describes',
    )
    INCOMPLETE_BODY = Template(
        'APL111',
        400,
        Outcome.NOT_RUN,
        'the connection closed before the whole body had arrived',
        'send the request again with the same key',
    )
    BAD_METHOD = Template(
        'APL112',
        405,
        Outcome.NOT_RUN,
        'a service route takes POST only',
        'send the request with POST',
    )
    SHED = Template(
        'APL201',
        429,
        Outcome.NOT_RUN,
        'the pool is overloaded and this was the lowest tier that waited',
        'send the request again with the same key after Retry-After',
    )
    DEADLINE_PASSED = Template(
        'APL202',
        504,
        Outcome.NOT_RUN,
        'no runner became free before the deadline',
        'send the request again with a later deadline',
    )
    NO_RUNNER = Template(
        'APL203',
        503,
        Outcome.NOT_RUN,
        'no runner of the pool took the request',
        'send the request again with the same key after Retry-After',
    )
    NO_OWNER = Template(
        'APL204',
        503,
        Outcome.NOT_RUN,
        'the owner of this shard is changing',
        'send the request again with the same key after Retry-After',
    )
    STOPPING = Template(
        'APL205',
        503,
        Outcome.NOT_RUN,
        'this daemon is stopping',
        'send the request again with the same key; the balancer picks'
        ' another daemon',
    )
    NO_BUNDLE = Template(
        'APL206',
        503,
        Outcome.NOT_RUN,
        'this daemon has no configuration bundle yet',
        'wait for /readyz, or submit a bundle with apricotctl',
    )
    CLOCK_OFF = Template(
        'APL207',
        503,
        Outcome.NOT_RUN,
        'the wall clock of the claim owner is off by more than the allowance',
        'operators: set the clock of {host}; callers: retry with the same'
        ' key after Retry-After',
    )
    MEMORY_FULL = Template(
        'APL208',
        503,
        Outcome.NOT_RUN,
        'this daemon holds as many requests as its settings allow',
        'send the request again with the same key after Retry-After',
    )
    CALLER_GONE = Template(
        'APL209',
        499,
        Outcome.NOT_RUN,
        'the caller went away while the request waited',
        'send the request again',
    )
    OUTCOME_UNKNOWN = Template(
        'APL301',
        409,
        Outcome.UNKNOWN,
        'this request may have run: {detail}',
        'do not send it again under a new key before you have checked what'
        ' it did',
    )
    RUNNER_LOST = Template(
        'APL302',
        502,
        Outcome.UNKNOWN,
        'the runner was lost while it worked on the request: {detail}',
        'the request may have run; check what it did before you issue a'
        ' new key',
    )
    HOLDER_UNREACHABLE = Template(
        'APL303',
        409,
        Outcome.UNKNOWN,
        'another daemon holds this request and cannot be reached now',
        'ask again with the same key after Retry-After',
    )
    ANSWER_GONE = Template(
        'APL304',
        409,
        Outcome.UNKNOWN,
        'the request ran to its end and its answer is no longer kept',
        'the work is done; do not issue a new key for it',
    )
    STOPPED_RUNNING = Template(
        'APL306',
        503,
        Outcome.UNKNOWN,
        'this daemon was stopped while the request ran',
        'ask again with the same key; check what it did before you issue a'
        ' new one',
    )
    DEADLINE_RUNNING = Template(
        'APL307',
        504,
        Outcome.UNKNOWN,
        'the deadline passed while the request ran',
        'the request may have run; check what it did before you issue a'
        ' new key',
    )
    BUNDLE_REFUSED = Template(
        'APL401',
        400,
        Outcome.NOT_RUN,
        'the bundle was refused: {detail}',
        'mend it, run "apricotctl bundle check" and submit it again',
    )
    BUNDLE_LOST = Template(
        'APL402',
        409,
        Outcome.NOT_RUN,
        'version {version} by {author} came first on base {base}',
        'base your change on version {version} and submit it again',
    )
    BUNDLE_DOUBTFUL = Template(
        'APL403',
        503,
        Outcome.UNKNOWN,
        "the platform's log did not answer; the bundle may still be accepted",
        'run "apricotctl bundle status" before you submit it again',
    )
    NOT_AN_OPERATOR = Template(
        'APL404',
        401,
        Outcome.NOT_RUN,
        'the operator token was not accepted',
        'set APRICOT_OPERATOR_TOKEN to a token in the daemon settings',
    )
    NOT_FOUND = Template(
        'APL405',
        404,
        Outcome.NOT_RUN,
        'there is nothing at {path!r}',
        'see docs/OPERATORS.md for the paths',
    )
    BAD_QUESTION = Template(
        'APL406',
        400,
        Outcome.NOT_RUN,
        'the request to explain cannot be read: {detail}',
        'correct the field; "apricotctl explain-placement --help" lists them',
    )
    EXPLAINED_JUST_NOW = Template(
        'APL407',
        429,
        Outcome.NOT_RUN,
        'this host explains one placement each {interval_s} s',
        'ask again after Retry-After, or ask another host',
    )
    NOT_EXPLAINED = Template(
        'APL408',
        500,
        Outcome.NOT_RUN,
        'the placement cannot be explained: {detail}',
        'report the detail to the developers; requests are served as usual',
    )
    BAD_FRAME = Template(
        'APL502',
        400,
        Outcome.NOT_RUN,
        'a peer sent a frame that cannot be read: {detail}',
        'check that both daemons run versions that fit together',
    )
    BAD_PEER = Template(
        'APL503',
        401,
        Outcome.NOT_RUN,
        'a peer did not prove that it has the shared key: {detail}',
        'set the same peer_key in the settings of every daemon',
    )
    PEER_LOST = Template(
        'APL504',
        503,
        Outcome.UNKNOWN,
        'the connection to peer {host} is lost',
        'nothing to do; the daemon dials it again',
    )
    PEER_UNREACHABLE = Template(
        'APL505',
        503,
        Outcome.NOT_RUN,
        'no connection to host {host} could be made',
        'check the name against the host list, or ask that host itself',
    )

    NO_ATTEMPT = Template(
        'APL601',
        400,
        Outcome.NOT_RUN,
        'the request does not name its attempt',
        'send the header that names each attempt with a fresh value',
    )
    UNKNOWN_KEY = Template(
        'APL602',
        401,
        Outcome.NOT_RUN,
        'the key is not one of an organisation in force',
        'send a key that the operators gave out and have not taken back',
    )
    NO_ROUTE = Template(
        'APL603',
        404,
        Outcome.NOT_RUN,
        'no route takes {path!r} on host {hostname!r}',
        'use a host name and a path prefix that the operators set up',
    )
    NO_CONFIGURATION = Template(
        'APL604',
        503,
        Outcome.NOT_RUN,
        'this daemon knows no configuration yet',
        'come back after Retry-After',
    )
    OVER_ALLOWANCE = Template(
        'APL605',
        429,
        Outcome.NOT_RUN,
        'the allowance of {organisation!r} is used up',
        'come back after Retry-After, or ask the operators for more',
    )
    NO_PLACE = Template(
        'APL606',
        503,
        Outcome.NOT_RUN,
        'no runner has a place in useful time',
        'come back after Retry-After',
    )
    NOT_TAKEN = Template(
        'APL607',
        503,
        Outcome.NOT_RUN,
        'the runner did not take the request: {detail}',
        'come back after Retry-After',
    )
    RUNNER_FAILED = Template(
        'APL608',
        502,
        Outcome.UNKNOWN,
        'the runner failed while it worked on the request: {detail}',
        'it may have run; check what it did before you send it again',
    )
    TIMED_OUT = Template(
        'APL609',
        504,
        Outcome.UNKNOWN,
        'the time of the route or of the caller ended while a runner worked',
        'it may have run; check what it did before you send it again',
    )
    HOST_STOPPED = Template(
        'APL610',
        502,
        Outcome.UNKNOWN,
        'this host stopped while a runner worked on the request',
        'it may have run; check what it did before you send it again',
    )
    BAD_HEAD = Template(
        'APL611',
        400,
        Outcome.NOT_RUN,
        'the headers cannot be passed on: {detail}',
        'send a head that a server of HTTP/1.1 must accept',
    )
    IN_QUARANTINE = Template(
        'APL613',
        503,
        Outcome.NOT_RUN,
        'requests with this content crashed {crashes} runners',
        'send another request; this one is not sent to runners until '
        'Retry-After',
    )
    NO_LINKS = Template(
        'APL614',
        503,
        Outcome.NOT_RUN,
        'no host reaches a runner of the service',
        'come back after Retry-After',
    )
    NO_RELEASE = Template(
        'APL615',
        503,
        Outcome.NOT_RUN,
        'no runner of version {release!r}, which began the stream',
        'start the stream again, or come back after Retry-After',
    )
    UNKNOWN_STREAM = Template(
        'APL616',
        503,
        Outcome.NOT_RUN,
        'no host knows which version began the stream',
        'come back after Retry-After, or start the stream again',
    )
    BAD_PART = Template(
        'APL617',
        503,
        Outcome.NOT_RUN,
        'a part of the prompt crashed the runners that answered it',
        'send prompts without this part; others with it are not sent to '
        'runners until Retry-After',
    )
    EXCEEDS_RUNNER_MEMORY = Template(
        'APL618',
        503,
        Outcome.NOT_RUN,
        'prompt and answer need {tokens} tokens; a runner of {service!r} has'
        ' memory for {memory}',
        'send a shorter prompt, or state a lower limit of output tokens',
    )
    HOST_MEMORY_FULL = Template(
        'APL619',
        503,
        Outcome.NOT_RUN,
        'this host holds as many requests and answers as its memory allows',
        'come back after Retry-After, and read answers as they arrive',
    )
    BODY_LATE = Template(
        'APL620',
        408,
        Outcome.NOT_RUN,
        'the body did not arrive before the deadline of the request',
        'send the body faster, or state a later deadline',
    )
    NO_HOSTS = Template(
        'APL612',
        503,
        Outcome.NOT_RUN,
        'this daemon does not know the other daemons yet',
        'come back after Retry-After',
    )


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One error with its message."""

    kind: Kind
    # ``text`` of the template with its fields filled in.
    text: str
    remedy: str
    # The outcome of the template, or UNKNOWN; see ``mark_outcome_unknown``.
    outcome: Outcome
    # Seconds after which a retry makes sense; None if never.
    retry_after_s: float | None = None

    @property
    def code(self) -> str:
        """Return the stable code, such as APL201."""
        return self.kind.value.code

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.kind.value.status

    def __str__(self) -> str:
        """Return one human-readable line."""
        return f'{self.code}: {self.text}; {self.remedy}'


@ty.final
class Refused(Exception):
    """Raised to report a problem."""

    def __init__(self, problem: Problem) -> None:
        """Wrap a problem."""
        super().__init__(str(problem))
        self.problem = problem


def make_problem(
    kind: Kind,
    retry_after_s: float | None = None,
    **fields: object,
) -> Problem:
    """Create a problem from the template of its kind.

    Raises KeyError if a format field of the template is missing.
    """
    template = kind.value
    return Problem(
        kind=kind,
        text=template.text.format(**fields),
        remedy=template.remedy.format(**fields),
        outcome=template.outcome,
        retry_after_s=retry_after_s,
    )


def mark_outcome_unknown(problem: Problem) -> Problem:
    """Return the problem with the outcome UNKNOWN.

    Used when an at-most-once request is rejected before its claim owner has
    answered: this call has run nothing, but an earlier call with the same
    key may have, through another daemon. If told "not run", a caller would
    send the request again with a new key.
    """
    return dataclasses.replace(problem, outcome=Outcome.UNKNOWN)
