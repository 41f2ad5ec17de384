package lupinvalve.core;

import lupinvalve.log.RepeatedWarnings;

/**
 * Holds back answers to writes until their session tokens are durable. A wait lasts as long as the store asks for, but
 * never past the time of a client that waits for the answer, nor past a shutdown: the write has run, so its answer is
 * then sent as it is. Core thread only.
 */
final class TokenWaits {
    /** An answer is sent this long before its client stops waiting, so that it arrives in time. */
    static final long ANSWER_MARGIN_MICROS = 50_000;

    private static final long MICROS_PER_MILLI = 1000;

    private final EventLoop loop;
    private final RequestTable requests;
    private final RepeatedWarnings warnings = new RepeatedWarnings();
    private SessionTokenStore store = SessionTokenStore.NONE;
    private long shutdownDeadlineMicros = Long.MAX_VALUE;

    TokenWaits(EventLoop loop, RequestTable requests) {
        this.loop = loop;
        this.requests = requests;
    }

    void store(SessionTokenStore tokens) {
        store = tokens;
    }

    /** Records the commit of a write, and sends its answer as soon as the token is durable or the wait must end. */
    void start(OpenRequest open, long position, Runnable sendAnswer) {
        String session = open.request.session();
        boolean isAnswered = open.closed || open.tokenWait != null;
        if (isAnswered || store.waitMicros() == 0) {
            store.committed(session, position);
            if (!isAnswered) {
                sendAnswer.run();
            }
            return;
        }
        long now = loop.now();
        open.tokenWait = new TokenWait(now, now + store.waitMicros(), sendAnswer);
        // The handle stands for the request, which may be answered long before the store runs the callback.
        long handle = open.handle;
        store.committed(session, position, () -> end(requests.get(handle), TokenWait.End.DURABLE));
        if (endMicros(open, firstEnd(open)) <= now) {
            end(open, firstEnd(open));
        } else {
            schedule(open);
        }
    }

    /** Ends the wait of a request by a deadline, in Unix microseconds, as an answer behind its own is due then. */
    void answerNeededBy(OpenRequest open, long deadlineMicros) {
        if (deadlineMicros < open.answerNeededByMicros) {
            open.answerNeededByMicros = deadlineMicros;
            schedule(open);
        }
    }

    /** Ends all waits, also those that begin later, by a deadline in Unix microseconds, because of a shutdown. */
    void answerBy(long deadlineMicros) {
        shutdownDeadlineMicros = deadlineMicros;
        requests.forEach(this::schedule);
    }

    /** Sends the answer of a request whose client cancels it; false if the request has none that waits. */
    boolean endCancelled(OpenRequest open) {
        if (!isWaiting(open)) {
            return false;
        }
        end(open, TokenWait.End.CANCELLED);
        return true;
    }

    private static boolean isWaiting(OpenRequest open) {
        return open != null && !open.closed && open.tokenWait != null;
    }

    /** Sets the timer of a wait anew. The answer is never sent from here, as a frontend may be the caller. */
    private void schedule(OpenRequest open) {
        if (isWaiting(open)) {
            loop.cancel(open.watchdog);
            TokenWait.End reason = firstEnd(open);
            open.watchdog = loop.after(endMicros(open, reason) - loop.now(), () -> end(open, reason));
        }
    }

    /** Which of the bounds of a wait comes first. */
    private TokenWait.End firstEnd(OpenRequest open) {
        TokenWait.End first = TokenWait.End.LIMIT_REACHED;
        for (TokenWait.End bound : new TokenWait.End[] {TokenWait.End.CLIENT_DEADLINE, TokenWait.End.SHUTDOWN}) {
            first = endMicros(open, bound) < endMicros(open, first) ? bound : first;
        }
        return first;
    }

    private long endMicros(OpenRequest open, TokenWait.End bound) {
        return switch (bound) {
            case CLIENT_DEADLINE -> Math.min(open.deadlineMicros, open.answerNeededByMicros) - ANSWER_MARGIN_MICROS;
            case SHUTDOWN -> shutdownDeadlineMicros;
            default -> open.tokenWait.limitAtMicros;
        };
    }

    private void end(OpenRequest open, TokenWait.End reason) {
        if (!isWaiting(open)) {
            return;
        }
        long waitedMicros = loop.now() - open.tokenWait.startedAtMicros;
        if (reason != TokenWait.End.DURABLE) {
            warnings.warn(
                    reason.text,
                    "request " + open.request.id() + " of " + open.frontend.clientLabel(open.ticket)
                            + ": its write is answered before a majority of poolers has the session's commit, after "
                            + waitedMicros / MICROS_PER_MILLI + " ms of " + store.waitMicros() / MICROS_PER_MILLI
                            + " ms, " + reason.text);
        }
        open.tokenWait.sendAnswer.run();
    }
}
