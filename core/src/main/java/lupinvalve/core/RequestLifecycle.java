package lupinvalve.core;

import lupinvalve.log.RepeatedWarnings;
import lupinvalve.maintenance.Metrics;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.RequestClass;
import lupinvalve.routing.RouterAction;
import lupinvalve.routing.RouterEvent;
import lupinvalve.routing.RouterSettings;
import lupinvalve.routing.ServerRole;

/** Carries each request from its submission to its one final answer, whichever component ends it. Core thread only. */
final class RequestLifecycle {
    /** How long after a request's deadline the router may still end it before the core fails it. */
    private static final long DEADLINE_OVERRUN_MICROS = 10_000;

    private final EventLoop loop;
    private final RouterSettings settings;
    private final Metrics metrics;
    private final Fence fence;
    private final RequestLog log;
    private final RequestTable requests;
    private final AttemptTable attempts;
    private final StreamedAnswers streamedAnswers;
    private final RepeatedWarnings warnings = new RepeatedWarnings();
    private final RouterDriver router;
    private final TokenWaits tokenWaits;
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
        tokenWaits = new TokenWaits(loop, requests);
        streamedAnswers = new StreamedAnswers(loop, requests, attempts, router::feed);
    }

    void sessionTokens(SessionTokenStore tokens) {
        sessionTokens = tokens;
        tokenWaits.store(tokens);
    }

    /**
     * Limits the deadline of requests that are submitted from now on, and the waits of answers that are held back, in
     * Unix microseconds, because of a shutdown.
     */
    void answerBy(long deadlineMicros) {
        shutdownDeadlineMicros = deadlineMicros;
        tokenWaits.answerBy(deadlineMicros);
    }

    /** Whether answers to writes may be held back until their session tokens are durable. */
    boolean holdsAnswers() {
        return sessionTokens.waitMicros() > 0;
    }

    /** Reports that an answer which must follow that of a request on its connection is due at a time. */
    void answerNeededBy(long handle, long deadlineMicros) {
        OpenRequest open = requests.get(handle);
        if (open != null) {
            tokenWaits.answerNeededBy(open, deadlineMicros);
        }
    }

    /** Answers a request that has been served and whose answer is held back; false if there is no such answer. */
    boolean endTokenWait(long handle) {
        return tokenWaits.endCancelled(requests.get(handle));
    }

    /** Accepts a request and returns its handle, or rejects it and returns {@link HandleTable#NO_HANDLE}. */
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
        open.submittedAtMicros = now;
        long remainingMicros = deadlineMicros - now;
        long tokenMicros = sessionToken(open);
        // A commit's position is rounded up and may lie in the future; an age of 0 would mean that there is no token.
        long sinceWriteMicros = tokenMicros > 0 ? Math.max(1, now - tokenMicros) : 0;
        open.watchdog = loop.after(remainingMicros + DEADLINE_OVERRUN_MICROS, () -> failOverdue(open));
        router.feed(
                now,
                new RouterEvent.RequestArrived(
                        open.routerId,
                        request.classIndex(),
                        request.retry(),
                        request.session(),
                        sinceWriteMicros,
                        request.group(),
                        remainingMicros,
                        request.timeoutMicros()));
        return open.handle;
    }

    /** The later of the token that the client sent and the token that this pooler remembers; 0 for none. */
    private long sessionToken(OpenRequest open) {
        ClientRequest request = open.request;
        long remembered = request.session() == null ? 0 : sessionTokens.lastCommit(request.session());
        if (remembered <= request.tokenMicros() || open.requestClass.access() != RequestClass.Access.SESSION) {
            return request.tokenMicros();
        }
        open.rememberedTokenMicros = remembered;
        return remembered;
    }

    /** Reports that the client of a request has disconnected or cancelled the request. */
    void clientDisconnected(long handle) {
        OpenRequest open = requests.get(handle);
        if (open != null && open.streamingAttempt != null) {
            streamedAnswers.clientDisconnected(open);
        } else if (open != null && !open.closed) {
            closeDisconnected(open);
        }
    }

    /** Closes a request whose client has disconnected, and cancels its attempt if that has not been sent. */
    void closeDisconnected(OpenRequest open) {
        requests.close(open, RequestOutcome.DISCONNECTED);
        router.feed(new RouterEvent.ClientDisconnected(open.routerId));
        attempts.cancelUnsent(open);
    }

    /**
     * Answers a request whose attempt must not start: its client may have left, or its id has been sent before.
     *
     * @param attempts attempts that were started earlier and may have run
     */
    void endUnstarted(OpenRequest open, int attempts, boolean mayHaveLeft) {
        if (mayHaveLeft && attempts == 0) {
            log.refused(RefusalReason.INPUT_UNREAD);
            requests.close(open, RequestOutcome.REJECTED);
            open.frontend.rejected(open.ticket, settings.limits().maxRetryAfterMicros());
        } else {
            requests.close(open, RequestOutcome.FAILED);
            open.frontend.failed(open.ticket);
        }
    }

    /** Fails a request that the router has left open past its deadline, so that each request is answered in time. */
    private void failOverdue(OpenRequest open) {
        if (!open.closed) {
            warnings.warn(
                    "left open",
                    "request " + open.routerId + ": router left it open " + DEADLINE_OVERRUN_MICROS
                            + " us past its deadline, answering it as failed");
            requests.close(open, RequestOutcome.OVERDUE);
            open.frontend.failed(open.ticket);
            router.feed(new RouterEvent.ClientDisconnected(open.routerId));
            attempts.cancelUnsent(open);
        }
    }

    /** Reports that the first part of an answer has arrived; returns what the backend is to do with the answer. */
    StreamDecision answerStarted(long attempt, Object first, Backend.StreamSource source) {
        boolean retainsTokens = sessionTokens != SessionTokenStore.NONE
                || settings.replication().tokens() == RouterSettings.TokenSource.REMEMBERED;
        return streamedAnswers.start(attempt, first, source, retainsTokens);
    }

    void answerChunk(long attempt, byte[] chunk) {
        streamedAnswers.chunk(attempt, chunk);
    }

    /** Reports the end of an attempt. The answer of the first served attempt is the request's final answer. */
    void attemptEnded(long handle, AttemptOutcome reported, Object answer, long position, ServerRole role) {
        Attempt attempt = attempts.remove(handle);
        if (attempt == null) {
            return;
        }
        OpenRequest open = attempt.request;
        if (open.streamingAttempt == attempt) {
            streamedAnswers.end(open, reported, answer, position, role);
            return;
        }
        long now = loop.now();
        // The db node cannot check a token that the statement does not carry, so the answer's position is checked here.
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
                        now - attempt.startedAtMicros,
                        open.closed || open.tokenWait != null,
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
            tokenWaits.start(open, position, finish);
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
