"""Places at runners that this host holds by the grants of coordinators."""

import collections.abc
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import subsets
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.hosts import placemessages
from apricotlandingd.gateway.hosts import placerequests

__all__ = ['HeldPlaces']


@ty.final
class HeldPlaces:
    """Held places, and the subsets whose coordinators are told of them."""

    def __init__(
        self,
        find_subset: collections.abc.Callable[
            [ids.RunnerStart], subsets.Subset | None
        ],
    ) -> None:
        """Start without places; ``find_subset`` returns that of a runner."""
        self._find_subset = find_subset
        self._grants: dict[int, queueing.Grant] = {}
        # Subsets by which they were granted.
        self._granted_by: dict[int, subsets.Subset] = {}

    def add(self, grant: queueing.Grant, subset: subsets.Subset) -> None:
        """Hold a place that was granted in a subset."""
        self._grants[grant.number] = grant
        self._granted_by[grant.number] = subset

    def pop(self, number: int) -> queueing.Grant | None:
        """Stop holding a place; None if it is not held."""
        self._granted_by.pop(number, None)
        return self._grants.pop(number, None)

    def list_subsets(self) -> set[subsets.Subset]:
        """Return the subsets of the runners at which places are held."""
        found = {
            self._find_subset(grant.runner) for grant in self._grants.values()
        }
        return {subset for subset in found if subset is not None}

    def fill(
        self,
        request: placemessages.PlaceRequest,
        has_details: bool,
        counts_memory: bool,
    ) -> None:
        """State the places of a request's subset.

        Where memory is counted, also those of runners that are in another
        subset since they were granted: until the former coordinator is no
        longer asked, it might grant their memory again.
        """
        subset = placerequests.read_subset(request)
        for number, grant in self._grants.items():
            if self._find_subset(grant.runner) != subset and not (
                counts_memory and self._granted_by[number] == subset
            ):
                continue
            request.held[number] = messages.digest_start(grant.runner)
            if has_details:
                detail = placerequests.make_held_detail(grant.load)
                request.details[number] = detail
