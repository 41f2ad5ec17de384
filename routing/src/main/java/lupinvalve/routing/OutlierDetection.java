package lupinvalve.routing;

/**
 * Outlier detection: which servers are left out for failing attempts, and how they come back.
 *
 * <p>A server is ejected for connections that fail, for more than one broken connection with no answer between, and for
 * more than one silent timeout. It comes back on trial (half-open): once its pause is over or it has answered anything,
 * a health check, or where none can tell the next request, decides. A served request ends the ejection; another failure
 * ejects it for longer. A server that errs at requests that others serve is paused for reads instead; writes have
 * nowhere else to go.
 */
final class OutlierDetection {
    /**
     * Part of errors among a server's requests, as a moving average, above which a served one does not end the pause.
     */
    private static final double PAUSED_ERROR_RATIO = 0.25;
    /** Weight of the newest request in that average. */
    private static final double NEWEST_WEIGHT_RATIO = 0.5;

    /** What one server has done lately. */
    static final class State {
        private long lastAnswerMicros = Long.MIN_VALUE / 2;
        /** Since the last answer. */
        private int silentTimeouts;

        private int brokenConnections;
        /** In a row; 0 while it is not ejected. */
        private int ejections;

        private long ejectedUntilMicros = Long.MIN_VALUE;
        private boolean onTrial;
        private double errorRatio;
        private int errorPauses;
        private long pausedUntilMicros;

        /** When the server last answered an attempt in any way. */
        long lastAnswerMicros() {
            return lastAnswerMicros;
        }

        /** Whether it has failed and served nothing since. */
        boolean isEjected() {
            return ejections > 0;
        }
    }

    private final RouterContext context;
    private final HealthChecker healthChecker;

    OutlierDetection(RouterContext context, HealthChecker healthChecker) {
        this.context = context;
        this.healthChecker = healthChecker;
    }

    /** Whether a server may be used: neither silent with overdue attempts nor ejected; on trial one at a time. */
    boolean isHealthy(Server server) {
        State state = server.outlier;
        return !isOverdue(server)
                && context.nowMicros() >= state.ejectedUntilMicros
                && (state.ejections == 0 || state.onTrial && server.inFlight.isEmpty());
    }

    /** Whether a server that errs is paused for reads; after the pause one read at a time tries it. */
    boolean isPausedForErrors(Server server) {
        State state = server.outlier;
        return state.errorPauses > 0 && (context.nowMicros() < state.pausedUntilMicros || !server.inFlight.isEmpty());
    }

    /** Whether it has been silent with an attempt in flight for longer than that one should take. */
    private boolean isOverdue(Server server) {
        Attempt oldest = server.inFlight.oldest();
        return oldest != null
                && context.nowMicros() > oldest.overdueMicros()
                && context.nowMicros() - server.outlier.lastAnswerMicros
                        > oldest.overdueMicros() - oldest.startedMicros();
    }

    /** Looks whether a trial of an ejected server is due, or a health check of one that reports nothing. */
    void tick(Server server) {
        State state = server.outlier;
        if (server.listing.state() != EndpointState.LIVE) {
            return;
        }
        boolean trialDue = state.ejections > 0 && !state.onTrial && context.nowMicros() >= state.ejectedUntilMicros;
        if (!trialDue) {
            healthChecker.checkWithoutReport(server);
            return;
        }
        state.onTrial = healthChecker.isInconclusive(server);
        if (!state.onTrial) {
            healthChecker.check(server);
        }
    }

    /** The server answered an attempt, be it with an error. */
    void recordAnswer(Server server) {
        State state = server.outlier;
        state.lastAnswerMicros = context.nowMicros();
        state.ejectedUntilMicros = context.nowMicros();
        state.silentTimeouts = 0;
        state.brokenConnections = 0;
        healthChecker.serverAnswered(server);
    }

    /** The server served a request. An error that the same request met elsewhere before counts from now on. */
    void recordServed(Server server, PendingRequest request) {
        State state = server.outlier;
        state.errorRatio *= 1 - NEWEST_WEIGHT_RATIO;
        state.ejections = 0;
        state.errorPauses = state.errorRatio > PAUSED_ERROR_RATIO ? state.errorPauses : 0;
        for (Server erred : request.history.erredServers()) {
            if (erred != server) {
                recordServedElsewhere(erred);
            }
        }
    }

    /** A request that fails anywhere tells nothing of a server, so an error counts once another served the request. */
    private void recordServedElsewhere(Server erred) {
        State state = erred.outlier;
        state.errorRatio += NEWEST_WEIGHT_RATIO * (1 - state.errorRatio);
        state.pausedUntilMicros = context.nowMicros() + ServerBackoff.micros(state.errorPauses++);
    }

    /**
     * A connection to the server broke. Returns whether that tells of the server: a dead process breaks all connections
     * and refuses new ones, while a single break may come from anywhere.
     */
    boolean recordBrokenConnection(Server server) {
        return server.outlier.brokenConnections++ > 0;
    }

    /** Connections to the server fail. */
    void recordFailedConnection(Server server) {
        healthChecker.resetFailures(server);
        eject(server);
    }

    /** An attempt timed out with no answer to any since it began. The first only asks for a health check. */
    void recordSilentTimeout(Server server) {
        if (server.outlier.silentTimeouts++ > 0) {
            healthChecker.resetFailures(server);
            eject(server);
        }
        healthChecker.check(server);
    }

    /** A health check has ended: a good one starts the trial, a failed one puts it off. */
    void recordHealthCheck(Server server, AttemptOutcome outcome) {
        State state = server.outlier;
        if (outcome == AttemptOutcome.SERVED) {
            state.onTrial = true;
        } else if (state.ejections > 0 && !state.onTrial) {
            eject(server);
        }
    }

    /** The first ejection has no pause, as it proves little: a trial is due at once. */
    private void eject(Server server) {
        State state = server.outlier;
        if (context.nowMicros() >= state.ejectedUntilMicros) {
            long pause = state.ejections == 0 ? 0 : ServerBackoff.micros(state.ejections - 1);
            state.ejectedUntilMicros = context.nowMicros() + pause;
            state.ejections++;
            state.onTrial = false;
            tick(server);
        }
    }
}
