"""Requests that go to a runner through another host.

A host that has lost its links to runners goes on scheduling its requests, and
has another host, the relay host, make the calls: only bytes pass through it.
So a request's deadline, sends, retry budget, places and limits are counted
once, by the host that its caller sent it to.

    dialer                                  relay host
      reserve  runner                   ──►   takes a connection to the runner
                                        ◄──   reserved, or declined
      call     headers, body            ──►   sends it on
      (release, if there is no call)
                                        ◄──   head, parts, end

Until the dialer sends the call, the relay host sends nothing to the runner. A
dialer that gets no reservation may say that the request has not run.

A connection carries one call at a time. Closing it ends the call at the
runner, and a reader that is slow fills the windows of both connections, so a
relay host holds a few parts of an answer at most.
"""
