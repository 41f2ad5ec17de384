package lupinvalve.routing;

/**
 * Outlier detection: which servers are ejected because attempts at them fail, and how they return to service.
 *
 * <p>A server is ejected for failed connections, for more than one broken connection without an answer in between, and
 * for more than one timeout while it answers nothing. It returns on trial (half-open): when its ejection time has
 * passed or it has answered anything, it is tried with a health check, or with the next request where health checks are
 * inconclusive. A served request ends the ejection; another failure ejects the server for longer. A server that answers
 * with errors to requests that other servers serve is paused for reads only, since writes have no other server to go
 * to.
 */
final class OutlierDetection {
    /** The pause for errors ends with a served request unless the server's error ratio is above this. */
    private static final double PAUSED_ERROR_RATIO = 0.25;
    /**
     * Weight of the newest request in the error ratio, an exponential moving average over the server's requests of 1
     * for an error and 0 for a served request. After one error the ratio is 0.5, so one served request ends the pause;
     * after several errors in a row it takes two.
     */
    private static final double NEWEST_WEIGHT_RATIO = 0.5;

    /** Recent failures of one server. */
    static final class State {
        private long lastAnswerMicros = Long.MIN_VALUE / 2;
        /** Timeouts without an answer since the server's last answer. */
        private int silentTimeouts;

        /** Broken connections since the server's last answer. */
        private int brokenConnections;
        /** Consecutive ejections without a served request; 0 while the server is not ejected. */
        private int ejections;

        private long ejectedUntilMicros = Long.MIN_VALUE;
        private boolean onTrial;
        private double errorRatio;
        /** Consecutive pauses for errors; 0 while the server is not paused. */
        private int errorPauses;

        private long pausedUntilMicros;

        /** When the server last answered an attempt, be it with an error or a rejection. */
        long lastAnswerMicros() {
            return lastAnswerMicros;
        }

        /** Whether the server has been ejected and has served no request since. */
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

    /**
     * Whether a server may get an attempt: it is not overdue with an answer, and it is either not ejected or on trial
     * without an attempt in flight, as a server on trial gets one attempt at a time.
     */
    boolean isHealthy(Server server) {
        State state = server.outlier;
        return !isOverdue(server)
                && context.nowMicros() >= state.ejectedUntilMicros
                && (state.ejections == 0 || state.onTrial && server.inFlight.isEmpty());
    }

    /** Whether a server is paused for reads because of errors; after the pause it gets one read at a time. */
    boolean isPausedForErrors(Server server) {
        State state = server.outlier;
        return state.errorPauses > 0 && (context.nowMicros() < state.pausedUntilMicros || !server.inFlight.isEmpty());
    }

    /**
     * Whether the oldest attempt in flight is overdue and the server has answered nothing for longer than an attempt
     * takes to become overdue. While it answers other attempts, the one answer may be lost or slow.
     */
    private boolean isOverdue(Server server) {
        Attempt oldest = server.inFlight.oldest();
        return oldest != null
                && context.nowMicros() > oldest.overdueAtMicros()
                && context.nowMicros() - server.outlier.lastAnswerMicros
                        > oldest.overdueAtMicros() - oldest.startedMicros();
    }

    /** Starts the trial of an ejected server if it is due; health-checks other servers whose reports are missing. */
    void tick(Server server) {
        State state = server.outlier;
        if (server.listing.state() != EndpointState.LIVE) {
            return;
        }
        boolean trialDue = state.ejections > 0 && !state.onTrial && context.nowMicros() >= state.ejectedUntilMicros;
        if (!trialDue) {
            healthChecker.checkIfReportMissing(server);
            return;
        }
        state.onTrial = healthChecker.isInconclusive(server);
        if (!state.onTrial) {
            healthChecker.check(server);
        }
    }

    /** Records that the server answered an attempt, be it with an error: it is alive, so its ejection time is over. */
    void recordAnswer(Server server) {
        State state = server.outlier;
        state.lastAnswerMicros = context.nowMicros();
        state.ejectedUntilMicros = context.nowMicros();
        state.silentTimeouts = 0;
        state.brokenConnections = 0;
        healthChecker.serverAnswered(server);
    }

    /**
     * Records a served request. If other servers answered the same request with an error before, that error counts
     * against them from now on.
     */
    void recordServed(Server server, PendingRequest request) {
        State state = server.outlier;
        state.errorRatio *= 1 - NEWEST_WEIGHT_RATIO;
        state.ejections = 0;
        state.errorPauses = state.errorRatio > PAUSED_ERROR_RATIO ? state.errorPauses : 0;
        for (Server erredServer : request.history.erredServers()) {
            if (erredServer != server) {
                recordServedElsewhere(erredServer);
            }
        }
    }

    /** Some requests fail at any server, so an error counts only once another server has served the request. */
    private void recordServedElsewhere(Server erredServer) {
        State state = erredServer.outlier;
        state.errorRatio += NEWEST_WEIGHT_RATIO * (1 - state.errorRatio);
        state.pausedUntilMicros = context.nowMicros() + ServerBackoff.micros(state.errorPauses++);
    }

    /**
     * Records a broken connection. Returns whether it counts as a failure of the server, as each one after the first
     * does until the next answer: a dead process breaks all its connections and refuses new ones, while a single broken
     * connection may have other causes.
     */
    boolean recordBrokenConnection(Server server) {
        return server.outlier.brokenConnections++ > 0;
    }

    /** Records a connection that failed: ejects the server. */
    void recordFailedConnection(Server server) {
        healthChecker.resetFailures(server);
        eject(server);
    }

    /**
     * Records that an attempt timed out and that the server has answered nothing since the attempt's start. The first
     * such timeout since the last answer only starts a health check, further ones eject the server.
     */
    void recordSilentTimeout(Server server) {
        if (server.outlier.silentTimeouts++ > 0) {
            healthChecker.resetFailures(server);
            eject(server);
        }
        healthChecker.check(server);
    }

    /** Records a health check: a successful one starts the trial, a failed one prolongs the ejection. */
    void recordHealthCheck(Server server, AttemptOutcome outcome) {
        State state = server.outlier;
        if (outcome == AttemptOutcome.SERVED) {
            state.onTrial = true;
        } else if (state.ejections > 0 && !state.onTrial) {
            eject(server);
        }
    }

    /**
     * Ejects a server whose ejection time, if any, has passed. The first of consecutive ejections is weak evidence of a
     * failed server and has no ejection time, so a trial is due at once; further ones follow {@link ServerBackoff}.
     */
    private void eject(Server server) {
        State state = server.outlier;
        if (context.nowMicros() >= state.ejectedUntilMicros) {
            long ejectionMicros = state.ejections == 0 ? 0 : ServerBackoff.micros(state.ejections - 1);
            state.ejectedUntilMicros = context.nowMicros() + ejectionMicros;
            state.ejections++;
            state.onTrial = false;
            tick(server);
        }
    }
}
