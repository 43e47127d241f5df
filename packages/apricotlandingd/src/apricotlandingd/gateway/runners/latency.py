"""Latency of runners, learned from their answers.

Runners of one service differ in speed by a factor of four. The time to the
first event is modelled as a base time plus a time for each prompt token, the
rest of the answer as a time for each event. All are learned for each runner
as exponential moving averages. A runner that has not answered yet is given
the median of its service. One of which no answer has ended yet is taken to
generate events as much slower than the others as its first event came.
"""

import dataclasses
import statistics
import typing as ty

from apricotlanding import ids

__all__ = ['LatencyEstimate', 'LatencyEstimates']

# Weight of the newest answer: a runner that becomes slow shows after three.
NEWEST_WEIGHT = 0.3
# Estimates before any answer: seconds to the first event of an empty prompt,
# for each prompt token, and for each event. They are what a model engine of
# the present generation takes. Only the order of magnitude matters, because
# two answers replace them.
DEFAULT_BASE_S = 0.05
DEFAULT_PROMPT_TOKEN_S = 1.5e-5
DEFAULT_EVENT_S = 0.02
# Answers with fewer events say little about the time between two events.
MIN_EVENTS = 5
# Seconds that a request of a plain service takes, before any answer.
DEFAULT_REQUEST_S = 0.1
# Prompt for which the times to the first event of two runners are compared.
COMPARED_PROMPT_TOKENS = 1000
# Limits of the ratio that is taken from it: a single first event may have
# waited for other prompts.
MIN_SPEED_RATIO = 0.5
MAX_SPEED_RATIO = 4.0


@ty.final
@dataclasses.dataclass(slots=True)
class LatencyEstimate:
    """Latency of one runner."""

    # Seconds to the answer or the first event, apart from the prompt's tokens.
    base_s: float = DEFAULT_BASE_S
    # Seconds for each prompt token.
    prompt_token_s: float = DEFAULT_PROMPT_TOKEN_S
    # Seconds for each event of the answer.
    event_s: float = DEFAULT_EVENT_S
    answers: int = 0
    # Answers of which the time of events was measured.
    ended_answers: int = 0

    def predict_first_event(self, prompt_tokens: int) -> float:
        """Return the predicted seconds to the first event."""
        return self.base_s + self.prompt_token_s * prompt_tokens

    def predict_answer(self, prompt_tokens: int, events: float) -> float:
        """Return the predicted seconds to the end of the answer."""
        return self.predict_first_event(prompt_tokens) + self.event_s * events


@ty.final
class LatencyEstimates:
    """Latencies of all runners."""

    def __init__(self) -> None:
        """Start without any answers."""
        self._latencies: dict[ids.RunnerStart, LatencyEstimate] = {}
        self._services: dict[ids.Pool, set[ids.RunnerStart]] = {}

    def note_first_event(
        self,
        service: ids.Pool,
        runner: ids.RunnerStart,
        prompt_tokens: int,
        seconds: float,
    ) -> None:
        """Learn from the time to a first event."""
        latency = self._open(service, runner)
        latency.answers += 1
        if prompt_tokens < 500:
            latency.base_s = _update_average(latency.base_s, seconds)
            return
        rest = max(0.0, seconds - latency.base_s)
        latency.prompt_token_s = _update_average(
            latency.prompt_token_s, rest / prompt_tokens
        )

    def note_later_events(
        self,
        service: ids.Pool,
        runner: ids.RunnerStart,
        events: int,
        seconds: float,
    ) -> None:
        """Learn from the time from the first event to the last."""
        if events < MIN_EVENTS:
            return
        latency = self._open(service, runner)
        latency.ended_answers += 1
        latency.event_s = _update_average(
            latency.event_s, seconds / (events - 1)
        )

    def find(
        self, service: ids.Pool, runner: ids.RunnerStart
    ) -> LatencyEstimate:
        """Return a runner's latency, or the median of its service."""
        latency = self._latencies.get(runner)
        if latency is None or latency.answers == 0:
            return self.find_median(service)
        if latency.ended_answers == 0:
            return self._estimate_events(service, latency)
        return latency

    def find_median(self, service: ids.Pool) -> LatencyEstimate:
        """Return the median latency of a service's runners.

        The pools of one service share it: a new release has no answers yet.
        """
        service = ids.parse_service(service)
        known = [
            self._latencies[runner]
            for runner in self._services.get(service, ())
            if self._latencies[runner].answers > 0
        ]
        if not known:
            return LatencyEstimate()
        return LatencyEstimate(
            base_s=statistics.median(latency.base_s for latency in known),
            prompt_token_s=statistics.median(
                latency.prompt_token_s for latency in known
            ),
            event_s=statistics.median(latency.event_s for latency in known),
        )

    def _estimate_events(
        self, service: ids.Pool, latency: LatencyEstimate
    ) -> LatencyEstimate:
        median = self.find_median(service)
        ratio = latency.predict_first_event(
            COMPARED_PROMPT_TOKENS
        ) / median.predict_first_event(COMPARED_PROMPT_TOKENS)
        ratio = max(MIN_SPEED_RATIO, min(MAX_SPEED_RATIO, ratio))
        return dataclasses.replace(latency, event_s=median.event_s * ratio)

    def retain_only(self, runners: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        for runner in set(self._latencies) - runners:
            del self._latencies[runner]
        for members in self._services.values():
            members &= runners

    def _open(
        self, service: ids.Pool, runner: ids.RunnerStart
    ) -> LatencyEstimate:
        service = ids.parse_service(service)
        self._services.setdefault(service, set()).add(runner)
        return self._latencies.setdefault(runner, LatencyEstimate())


def _update_average(old: float, newest: float) -> float:
    return old + (newest - old) * NEWEST_WEIGHT
