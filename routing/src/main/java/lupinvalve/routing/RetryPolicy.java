package lupinvalve.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which requests may be retried, how often and until when.
 *
 * <p>A request that can't have run may be retried at any server. One that may have run may be retried if it is
 * idempotent by itself, or by its key while the key is remembered and at servers that share it; otherwise never. The
 * number of attempts is bounded by the deployment's settings, the number of errors by {@link #MAX_ERRORS}, and the time
 * by the client's deadline and, where late answers are worth little, by the latency objective.
 */
final class RetryPolicy {
    /** A request that was answered with more errors than this is not retried, as it probably fails at any server. */
    private static final int MAX_ERRORS = 2;

    private static final long NEVER_MICROS = Long.MAX_VALUE;

    /** The results of one request's attempts so far. */
    static final class AttemptHistory {
        private int attempts;
        private int errors;
        private Server lastServer;
        private List<Server> erredServers = List.of();
        private boolean reachedServer;
        /** The start of the earliest attempt that the server may have run. */
        private long mayHaveRunSinceMicros = NEVER_MICROS;
        /** The server of that attempt, or null. */
        private Server mayHaveRunAt;

        /** Returns the number of attempts started. */
        int attempts() {
            return attempts;
        }

        /** Returns the server of the attempt that ended last, or null. */
        Server lastServer() {
            return lastServer;
        }

        /** Returns the servers that answered with an error, with one entry for each such answer. */
        List<Server> erredServers() {
            return erredServers;
        }

        /** Whether an attempt has ended of which some part may have reached a server. */
        boolean reachedServer() {
            return reachedServer;
        }

        private boolean mayHaveRun() {
            return mayHaveRunSinceMicros != NEVER_MICROS;
        }
    }

    private final RouterContext context;

    RetryPolicy(RouterContext context) {
        this.context = context;
    }

    /** Records the start of an attempt and returns its number, from 0. */
    int attemptStarted(PendingRequest request) {
        return request.history.attempts++;
    }

    /** Records how an attempt ended. */
    void attemptEnded(Attempt attempt, AttemptOutcome outcome) {
        AttemptHistory history = attempt.request().history;
        history.lastServer = attempt.server();
        history.reachedServer |= outcome != AttemptOutcome.NOT_CONNECTED && outcome != AttemptOutcome.NOT_SENT;
        if (!outcome.neverRan && attempt.startedMicros() < history.mayHaveRunSinceMicros) {
            history.mayHaveRunSinceMicros = attempt.startedMicros();
            history.mayHaveRunAt = attempt.server();
        }
        if (outcome == AttemptOutcome.ERROR) {
            history.errors++;
            if (history.erredServers.isEmpty()) {
                history.erredServers = new ArrayList<>(1);
            }
            history.erredServers.add(attempt.server());
        }
    }

    /**
     * Whether a request whose attempt has ended may be retried now, if only at the same server. If not, it gets a final
     * answer.
     */
    boolean mayRetry(PendingRequest request) {
        long retryEndsMicros = Math.min(request.answerDueMicros(), request.losesValueAtMicros());
        return hasAttemptsLeft(request)
                && request.history.errors <= MAX_ERRORS
                && context.nowMicros() < retryEndsMicros
                && mayRunAt(request.history.lastServer, request);
    }

    /** Whether the number of attempts that the deployment allows is not used up. */
    boolean hasAttemptsLeft(PendingRequest request) {
        return request.history.attempts < context.settings().limits().maxAttempts();
    }

    /**
     * Whether a write may go to a member that is not known to be the primary, in order to find the primary. Half of the
     * allowed attempts are reserved for the primary once it is known.
     */
    boolean maySearchPrimary(PendingRequest request) {
        return request.history.attempts <= context.settings().limits().maxAttempts() / 2;
    }

    /** Whether an attempt at this server is safe: it can't make the request take effect twice. */
    boolean mayRunAt(Server server, PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        AttemptHistory history = request.history;
        if (!history.mayHaveRun() || requestClass.effect() == RequestClass.Effect.SAFE) {
            return true;
        }
        if (requestClass.effect() == RequestClass.Effect.UNSAFE
                || context.nowMicros() >= history.mayHaveRunSinceMicros + requestClass.keyTtlMicros()) {
            return false;
        }
        return requestClass.keyScope() != RequestClass.KeyScope.ZONE
                || server.listing.zone() == history.mayHaveRunAt.listing.zone();
    }

    /** The latest time of an attempt that {@link #mayRunAt} allows now; {@link Long#MAX_VALUE} for no limit. */
    long mayRunUntilMicros(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return !request.history.mayHaveRun() || requestClass.effect() == RequestClass.Effect.SAFE
                ? Long.MAX_VALUE
                : request.history.mayHaveRunSinceMicros + requestClass.keyTtlMicros();
    }

    /**
     * Whether the final answer may be a rejection. A rejection states that a retry by the client does no harm, so it is
     * given only if the request can't have run or may run again at any server.
     */
    boolean mayReject(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return !request.history.mayHaveRun()
                || requestClass.effect() == RequestClass.Effect.SAFE
                || requestClass.effect() == RequestClass.Effect.KEYED
                        && requestClass.keyScope() == RequestClass.KeyScope.ALL;
    }
}
