package lupinvalve.routing;

import java.util.function.Predicate;

/**
 * Decides when servers are health-checked. Checks whose only reason is a missing report of a log position are bounded
 * by a budget, a token bucket that each request refills. A failed check does not eject a server, but delays its next
 * check.
 */
final class HealthChecker {
    /** A server that has stated no position for this long is checked if its group is in use and budget is left. */
    static final long REPORT_INTERVAL_MICROS = 500_000;

    /** Budget added by each request. */
    private static final double BUDGET_PER_REQUEST_CHECKS = 0.4;

    /**
     * Budget added by each request where there are many routers, whose checks add up, and servers reject reads that
     * they are too far behind for, so that reports matter less.
     */
    private static final double SPARSE_BUDGET_PER_REQUEST_CHECKS = 0.03;

    private static final double INITIAL_BUDGET_CHECKS = 4;
    private static final double MAX_BUDGET_CHECKS = 20;
    /** Part of the budget that only checks for waiting reads may use. */
    private static final double RESERVED_BUDGET_CHECKS = 10;
    /** Shortest interval between two checks of a replica while reads wait for one to catch up. */
    private static final long WAITING_READ_INTERVAL_MICROS = 60_000;
    /** From this many failed checks in a row on, an ejected server is tried with a request instead of a check. */
    private static final int INCONCLUSIVE_FAILURES = 2;

    /** State of the health checks of one server. */
    static final class State {
        private boolean running;
        private long startedMicros = Long.MIN_VALUE / 2;
        private int failures;

        /**
         * The number of failed checks since the last successful one. An answered attempt lowers it to
         * {@link HealthChecker#INCONCLUSIVE_FAILURES} if it is higher; {@link HealthChecker#resetFailures} sets it to
         * 0.
         */
        int failures() {
            return failures;
        }
    }

    /** Round-robin position of the checks in a group, and when the group last had a request. */
    static final class GroupState {
        private int roundRobinIndex;
        private long lastRequestMicros;

        GroupState(int roundRobinStart) {
            roundRobinIndex = roundRobinStart;
        }
    }

    private final RouterContext context;
    private final ReplicationLag lag;
    private final double budgetPerRequestChecks;
    private double budgetChecks = INITIAL_BUDGET_CHECKS;

    HealthChecker(RouterContext context, ReplicationLag lag, InFlightLimit limit) {
        this.context = context;
        this.lag = lag;
        budgetPerRequestChecks = limit.hasManyRouters() && lag.isCheckedByServers()
                ? SPARSE_BUDGET_PER_REQUEST_CHECKS
                : BUDGET_PER_REQUEST_CHECKS;
    }

    /** Records the arrival of a request for a group, and adds to the budget. */
    void requestArrived(ServerGroup group) {
        group.healthChecks.lastRequestMicros = context.nowMicros();
        budgetChecks = Math.min(MAX_BUDGET_CHECKS, budgetChecks + budgetPerRequestChecks);
    }

    /**
     * Starts a health check of a server unless one is running, the backoff after failed checks has not passed, the
     * server has departed, or the settings allow no health checks.
     */
    void check(Server server) {
        State state = server.healthCheck;
        long backoffMicros = state.failures == 0 ? 0 : ServerBackoff.micros(state.failures);
        boolean due = !state.running && context.nowMicros() >= state.startedMicros + backoffMicros;
        if (isAllowed() && due && server.listing.state() != EndpointState.DEPARTED) {
            state.running = true;
            state.startedMicros = context.nowMicros();
            context.perform(new RouterAction.CheckHealth(server.id));
        }
    }

    /** Checks a server that has stated no position for long, if its group is in use and the budget allows it. */
    void checkIfReportMissing(Server server) {
        long now = context.nowMicros();
        if (budgetChecks >= RESERVED_BUDGET_CHECKS
                && now - server.healthCheck.startedMicros > REPORT_INTERVAL_MICROS
                && now - server.group.healthChecks.lastRequestMicros < REPORT_INTERVAL_MICROS
                && lag.hasNoReportWithin(server, REPORT_INTERVAL_MICROS)) {
            budgetChecks--;
            check(server);
        }
    }

    /** Checks one replica, in round-robin order, while reads wait for one to catch up; all of them use its report. */
    void checkForWaitingRead(ServerGroup group, Predicate<Server> isReadable) {
        if (budgetChecks < 1) {
            return;
        }
        int size = group.members.size();
        GroupState state = group.healthChecks;
        for (int i = 0; i < size; i++) {
            Server server = group.members.get((state.roundRobinIndex + i) % size);
            if (isReadable.test(server)
                    && context.nowMicros() - server.healthCheck.startedMicros >= WAITING_READ_INTERVAL_MICROS
                    && lag.hasNoReportWithin(server, WAITING_READ_INTERVAL_MICROS / 2)) {
                check(server);
                budgetChecks--;
                state.roundRobinIndex = (state.roundRobinIndex + i + 1) % size;
                return;
            }
        }
    }

    /** Checks the group's next member in round-robin order, whatever the budget. */
    void checkNextMember(ServerGroup group) {
        GroupState state = group.healthChecks;
        state.roundRobinIndex = (state.roundRobinIndex + 1) % group.members.size();
        check(group.members.get(state.roundRobinIndex));
    }

    /** Records the end of a check. */
    void checkEnded(Server server, AttemptOutcome outcome) {
        server.healthCheck.running = false;
        server.healthCheck.failures = outcome == AttemptOutcome.SERVED ? 0 : server.healthCheck.failures + 1;
    }

    /** Shortens the backoff to that of {@link #INCONCLUSIVE_FAILURES}, as the server has answered an attempt. */
    void serverAnswered(Server server) {
        server.healthCheck.failures = Math.min(server.healthCheck.failures, INCONCLUSIVE_FAILURES);
    }

    /** Resets the backoff, so that a server that fails attempts is checked at once. */
    void resetFailures(Server server) {
        server.healthCheck.failures = 0;
    }

    /** Whether checks can't show that an ejected server serves again, so that a request has to be tried. */
    boolean isInconclusive(Server server) {
        return !isAllowed() || server.healthCheck.failures >= INCONCLUSIVE_FAILURES;
    }

    private boolean isAllowed() {
        return context.settings().limits().probe();
    }
}
