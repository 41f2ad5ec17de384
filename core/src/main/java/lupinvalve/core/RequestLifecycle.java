package lupinvalve.core;

import lupinvalve.log.Log;
import lupinvalve.maintenance.Metrics;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.RequestClass;
import lupinvalve.routing.RouterAction;
import lupinvalve.routing.RouterEvent;
import lupinvalve.routing.RouterSettings;
import lupinvalve.routing.ServerRole;

/** Takes each request from its submission to its one final answer, whoever ends it. Core thread only. */
final class RequestLifecycle {
    /** After a request's deadline, how long the router may take to end it before the core does. */
    private static final long DEADLINE_OVERRUN_MICROS = 10_000;

    private final EventLoop loop;
    private final RouterSettings settings;
    private final Metrics metrics;
    private final Fence fence;
    private final RequestLog log;
    private final RequestTable requests;
    private final AttemptTable attempts;
    private final StreamedAnswers streamedAnswers;
    private final RouterDriver router;
    private SessionTokenStore sessionTokens = SessionTokenStore.NONE;
    private long shutdownDeadlineMicros = Long.MAX_VALUE;

    RequestLifecycle(
            EventLoop loop,
            RouterSettings settings,
            Metrics metrics,
            Fence fence,
            RequestLog log,
            RequestTable requests,
            AttemptTable attempts,
            RouterDriver router) {
        this.loop = loop;
        this.settings = settings;
        this.metrics = metrics;
        this.fence = fence;
        this.log = log;
        this.requests = requests;
        this.attempts = attempts;
        this.router = router;
        streamedAnswers = new StreamedAnswers(loop, requests, attempts, router::feed);
    }

    void sessionTokens(SessionTokenStore tokens) {
        sessionTokens = tokens;
    }

    /** Requests that are submitted from now on have to be answered by then, in Unix microseconds. */
    void answerBy(long atMicros) {
        shutdownDeadlineMicros = atMicros;
    }

    /** Takes a request; gives its handle, or {@link HandleTable#NO_HANDLE} where it has been rejected. */
    long submit(Frontend frontend, long ticket, ClientRequest request) {
        if (requests.isFull() || fence.isClosed()) {
            metrics.requestEnded(request.classIndex(), Metrics.Result.REJECTED);
            frontend.rejected(ticket, settings.limits().maxRetryAfterMicros());
            return HandleTable.NO_HANDLE;
        }
        long deadlineMicros = Math.min(request.expiresAtMicros(), shutdownDeadlineMicros);
        RequestClass requestClass = settings.classes().get(request.classIndex());
        OpenRequest open = requests.open(frontend, ticket, request, requestClass, deadlineMicros);
        long now = loop.now();
        long leftMicros = deadlineMicros - now;
        long tokenMicros = sessionToken(open);
        // A commit is rounded up, so it may lie in the future: no age would mean no token.
        long sinceWriteMicros = tokenMicros > 0 ? Math.max(1, now - tokenMicros) : 0;
        open.guard = loop.after(leftMicros + DEADLINE_OVERRUN_MICROS, () -> failOverdue(open));
        router.feed(
                now,
                new RouterEvent.RequestArrived(
                        open.routerId,
                        request.classIndex(),
                        request.retry(),
                        request.session(),
                        sinceWriteMicros,
                        request.group(),
                        leftMicros,
                        request.timeoutMicros()));
        return open.handle;
    }

    /** The later one of the tokens that the client carries and that this pooler remembers; 0 for none. */
    private long sessionToken(OpenRequest open) {
        ClientRequest request = open.request;
        long remembered = request.session() == null ? 0 : sessionTokens.lastCommit(request.session());
        if (remembered <= request.tokenMicros() || open.requestClass.access() != RequestClass.Access.SESSION) {
            return request.tokenMicros();
        }
        open.rememberedTokenMicros = remembered;
        return remembered;
    }

    /** The client of a request has disconnected, or cancelled it. */
    void clientDisconnected(long handle) {
        OpenRequest open = requests.get(handle);
        if (open != null && open.streamed != null) {
            streamedAnswers.clientDisconnected(open);
        } else if (open != null && !open.closed) {
            closeDisconnected(open);
        }
    }

    /** Closes a request whose client has disconnected; an attempt that has not been sent is cancelled. */
    void closeDisconnected(OpenRequest open) {
        requests.close(open, RequestOutcome.DISCONNECTED);
        router.feed(new RouterEvent.ClientDisconnected(open.routerId));
        attempts.cancelUnsent(open);
    }

    /** Keeps the rule that each request is answered in time, should the router fail to end one. */
    private void failOverdue(OpenRequest open) {
        if (!open.closed) {
            Log.warn("request %s: deadline overrun, failed by the core", open.routerId);
            requests.close(open, RequestOutcome.OVERDUE);
            open.frontend.failed(open.ticket);
            router.feed(new RouterEvent.ClientDisconnected(open.routerId));
            attempts.cancelUnsent(open);
        }
    }

    /** An answer has started to come; says what the backend does with it. */
    StreamDecision answerStarted(long attempt, Object first, Backend.StreamSource source) {
        boolean retainsTokens = sessionTokens != SessionTokenStore.NONE
                || settings.replication().tokens() == RouterSettings.TokenSource.REMEMBERED;
        return streamedAnswers.start(attempt, first, source, retainsTokens);
    }

    void answerChunk(long attempt, byte[] chunk) {
        streamedAnswers.chunk(attempt, chunk);
    }

    /** An attempt has ended. The first served one is its request's final answer. */
    void attemptEnded(long handle, AttemptOutcome reported, Object answer, long position, ServerRole role) {
        Attempt attempt = attempts.remove(handle);
        if (attempt == null) {
            return;
        }
        OpenRequest open = attempt.request;
        if (open.streamed == attempt) {
            streamedAnswers.end(open, reported, answer, position, role);
            return;
        }
        long now = loop.now();
        // A token that the statement does not carry can't be checked by the db node: its answer's position is.
        boolean stale = reported == AttemptOutcome.SERVED
                && role != ServerRole.PRIMARY
                && position < open.rememberedTokenMicros;
        AttemptOutcome outcome = stale ? AttemptOutcome.MISDIRECTED : reported;
        log.attemptEnded(attempt, outcome, now);
        if (outcome == AttemptOutcome.SERVED) {
            serve(open, answer, position, role);
        }
        router.feed(
                now,
                new RouterEvent.AttemptEnded(
                        open.routerId,
                        attempt.number,
                        attempt.node,
                        outcome,
                        now - attempt.sentAtMicros,
                        open.closed || open.awaitsToken,
                        position,
                        role));
    }

    private void serve(OpenRequest open, Object answer, long position, ServerRole role) {
        Runnable finish = () -> {
            if (!open.closed) {
                requests.close(open, RequestOutcome.SERVED);
                open.frontend.served(open.ticket, answer, position, role);
            }
        };
        if (open.isWrite() && open.request.session() != null && position != LogPosition.UNKNOWN) {
            // The answer may wait until the token is durable; that wait has a bound of its own.
            open.awaitsToken = true;
            loop.cancel(open.guard);
            sessionTokens.committed(open.request.session(), position, finish);
        } else {
            finish.run();
        }
    }

    void reject(RouterAction.Reject reject) {
        OpenRequest open = requests.byRouterId(reject.id());
        if (open != null) {
            requests.close(open, RequestOutcome.REJECTED);
            open.frontend.rejected(open.ticket, reject.retryAfterMicros());
        }
    }

    void fail(RouterAction.Fail fail) {
        OpenRequest open = requests.byRouterId(fail.id());
        if (open != null) {
            requests.close(open, RequestOutcome.FAILED);
            open.frontend.failed(open.ticket);
        }
    }
}
