package lupinvalve.routing;

import java.util.function.Predicate;

/**
 * Health checks: when a server is checked, and the budget of checks that nothing but missing reports calls for. A
 * failed check alone ejects nobody, but makes the server's next one rarer.
 */
final class HealthChecker {
    /** A replica that has reported nothing for so long is checked, as far as the budget goes. */
    static final long REPORT_INTERVAL_MICROS = 500_000;

    /** Checks earned with each request, and where routers are many. */
    private static final double BUDGET_PER_REQUEST_CHECKS = 0.4;

    private static final double SPARSE_BUDGET_PER_REQUEST_CHECKS = 0.03;
    private static final double INITIAL_BUDGET_CHECKS = 4;
    private static final double MAX_BUDGET_CHECKS = 20;
    /** Of the budget, so much is for waiting reads alone. */
    private static final double RESERVED_BUDGET_CHECKS = 10;
    /** How often a replica is checked while reads wait for one to catch up. */
    private static final long WAITING_READ_INTERVAL_MICROS = 60_000;
    /** After so many failed checks a request is the trial of an ejected server. */
    private static final int MAX_FAILURES = 2;

    /** The health checks of one server. */
    static final class State {
        private boolean running;
        private long startedMicros = Long.MIN_VALUE / 2;
        private int failures;

        /**
         * Checks that have failed since one succeeded; an answered attempt leaves {@link HealthChecker#MAX_FAILURES} at
         * most.
         */
        int failures() {
            return failures;
        }
    }

    /** Whose turn it is in a group, and whether it has requests at all. */
    static final class GroupState {
        private int turn;
        private long lastRequestMicros;

        GroupState(int firstTurn) {
            turn = firstTurn;
        }
    }

    private final RouterContext context;
    private final ReplicationLag lag;
    private final double budgetPerRequestChecks;
    private double budgetChecks = INITIAL_BUDGET_CHECKS;

    HealthChecker(RouterContext context, ReplicationLag lag, InFlightLimit limit) {
        this.context = context;
        this.lag = lag;
        budgetPerRequestChecks = limit.isTrafficSparse() && lag.isCheckedByServers()
                ? SPARSE_BUDGET_PER_REQUEST_CHECKS
                : BUDGET_PER_REQUEST_CHECKS;
    }

    /** A request for a group has arrived: it earns budget. */
    void requestArrived(ServerGroup group) {
        group.healthChecks.lastRequestMicros = context.nowMicros();
        budgetChecks = Math.min(MAX_BUDGET_CHECKS, budgetChecks + budgetPerRequestChecks);
    }

    /** Checks a server unless a check is running, its backoff is not over, or the site allows none. */
    void check(Server server) {
        State state = server.healthCheck;
        long pause = state.failures == 0 ? 0 : ServerBackoff.micros(state.failures);
        boolean due = !state.running && context.nowMicros() >= state.startedMicros + pause;
        if (isAllowed() && due && server.listing.state() != EndpointState.DEPARTED) {
            state.running = true;
            state.startedMicros = context.nowMicros();
            context.perform(new RouterAction.CheckHealth(server.id));
        }
    }

    /** Checks a server of a group in use that has reported nothing for long. */
    void checkWithoutReport(Server server) {
        long now = context.nowMicros();
        if (budgetChecks >= RESERVED_BUDGET_CHECKS
                && now - server.healthCheck.startedMicros > REPORT_INTERVAL_MICROS
                && now - server.group.healthChecks.lastRequestMicros < REPORT_INTERVAL_MICROS
                && lag.hasNoReportFor(server, REPORT_INTERVAL_MICROS)) {
            budgetChecks--;
            check(server);
        }
    }

    /** Checks one replica, in turn, while reads wait for one to catch up; they share its report. */
    void checkForWaitingRead(ServerGroup group, Predicate<Server> isReadable) {
        if (budgetChecks < 1) {
            return;
        }
        int size = group.members.size();
        GroupState state = group.healthChecks;
        for (int i = 0; i < size; i++) {
            Server server = group.members.get((state.turn + i) % size);
            if (isReadable.test(server)
                    && context.nowMicros() - server.healthCheck.startedMicros >= WAITING_READ_INTERVAL_MICROS
                    && lag.hasNoReportFor(server, WAITING_READ_INTERVAL_MICROS / 2)) {
                check(server);
                budgetChecks--;
                state.turn = (state.turn + i + 1) % size;
                return;
            }
        }
    }

    /** Checks the group's next member. */
    void checkNextMember(ServerGroup group) {
        GroupState state = group.healthChecks;
        state.turn = (state.turn + 1) % group.members.size();
        check(group.members.get(state.turn));
    }

    /** A check has ended. */
    void checkEnded(Server server, AttemptOutcome outcome) {
        server.healthCheck.running = false;
        server.healthCheck.failures = outcome == AttemptOutcome.SERVED ? 0 : server.healthCheck.failures + 1;
    }

    /** The server answered an attempt: the backoff that further failures have built up is off. */
    void serverAnswered(Server server) {
        server.healthCheck.failures = Math.min(server.healthCheck.failures, MAX_FAILURES);
    }

    /** The server failed attempts: checks begin anew, without backoff. */
    void resetFailures(Server server) {
        server.healthCheck.failures = 0;
    }

    /** Whether checks can't tell whether an ejected server is back: a request has to. */
    boolean isInconclusive(Server server) {
        return !isAllowed() || server.healthCheck.failures >= MAX_FAILURES;
    }

    private boolean isAllowed() {
        return context.settings().limits().probe();
    }
}
