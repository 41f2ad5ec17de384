package lupinvalve.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * What may be retried, how often and until when.
 *
 * <p>A request that can't have run is retried anywhere. One that may have run is retried if it is idempotent by itself,
 * or by its key within the key's time and scope; else never. Attempts are bounded by the site's settings, errors by
 * {@link #MAX_ERRORS}, and time by the client's deadline and, where late answers are worth little, by the objective.
 */
final class RetryPolicy {
    /** Answered errors of one request after which it is taken for one that fails anywhere. */
    private static final int MAX_ERRORS = 2;

    private static final long NEVER_MICROS = Long.MAX_VALUE;

    /** What came of one request's attempts so far. */
    static final class AttemptHistory {
        private int attempts;
        private int errors;
        private Server lastServer;
        private List<Server> erredServers = List.of();
        private boolean reachedServer;
        private long mayHaveRunSinceMicros = NEVER_MICROS;
        private Server mayHaveRunAt;

        /** Attempts started. */
        int attempts() {
            return attempts;
        }

        /** Where the last ended attempt went, or null. */
        Server lastServer() {
            return lastServer;
        }

        /** The servers that answered with an error, one entry for each. */
        List<Server> erredServers() {
            return erredServers;
        }

        /** Whether any attempt was handed to a server. */
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

    /** Records the start of an attempt and returns its number. */
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

    /** Whether a request whose attempt has ended may be retried at all. */
    boolean mayRetry(PendingRequest request) {
        long untilMicros = Math.min(request.answerDueMicros(), request.losesValueAtMicros());
        return hasAttemptsLeft(request)
                && request.history.errors <= MAX_ERRORS
                && context.nowMicros() < untilMicros
                && mayRunAt(request.history.lastServer, request);
    }

    boolean hasAttemptsLeft(PendingRequest request) {
        return request.history.attempts < context.settings().limits().maxAttempts();
    }

    /**
     * Whether it may go to a member only to find the primary: half of the attempts are reserved for the primary itself.
     */
    boolean maySearchPrimary(PendingRequest request) {
        return request.history.attempts <= context.settings().limits().maxAttempts() / 2;
    }

    /** Whether an attempt at this server can't make the request take effect twice. */
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

    /** Whether the final answer may be a rejection, which tells the client that a retry of its own does no harm. */
    boolean mayReject(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return !request.history.mayHaveRun()
                || requestClass.effect() == RequestClass.Effect.SAFE
                || requestClass.effect() == RequestClass.Effect.KEYED
                        && requestClass.keyScope() == RequestClass.KeyScope.ALL;
    }
}
