package lupinvalve.routing;

/**
 * How a group's primary is looked for while none is usable: writes go to its members in the order of their ids, and
 * members are checked in turn while requests wait.
 */
final class PrimarySearch {
    /** Pause between two members that get a write. */
    private static final long ATTEMPT_INTERVAL_MICROS = 40_000;

    /** After the last member the pause is so many times as long. */
    private static final long ROUND_PAUSE_INTERVALS = 3;
    /** In this time a group's members are checked, or as many as requests wait. */
    private static final long CHECK_ROUND_MICROS = 150_000;
    /** Part of the interval between checks that is drawn at random, as every router checks. */
    private static final long JITTER_DIVISOR = 4;

    /** How far the search in one group has come. */
    static final class State {
        private int nextMember;
        private long nextAttemptMicros;
        private long nextCheckMicros;
    }

    private final RouterContext context;
    private final ServerEligibility eligibility;
    private final HealthChecker healthChecker;

    PrimarySearch(RouterContext context, ServerEligibility eligibility, HealthChecker healthChecker) {
        this.context = context;
        this.eligibility = eligibility;
        this.healthChecker = healthChecker;
    }

    /** The group has lost its primary. */
    void begin(ServerGroup group) {
        group.primarySearch.nextCheckMicros = context.nowMicros();
        group.primarySearch.nextAttemptMicros = context.nowMicros();
    }

    /** Whether a member may get a write. */
    boolean isAttemptDue(ServerGroup group) {
        return context.nowMicros() >= group.primarySearch.nextAttemptMicros;
    }

    /** The next member that may turn out to be the primary, or null at the end of a round. */
    Server nextCandidate(ServerGroup group) {
        State state = group.primarySearch;
        while (state.nextMember < group.members.size()) {
            Server server = group.members.get(state.nextMember++);
            if (eligibility.mayBeFoundPrimary(server)) {
                return server;
            }
        }
        return null;
    }

    /** A write was started at a candidate. */
    void attemptStarted(ServerGroup group) {
        group.primarySearch.nextAttemptMicros = context.nowMicros() + ATTEMPT_INTERVAL_MICROS;
    }

    /** There was no candidate left. */
    void roundEnded(ServerGroup group) {
        group.primarySearch.nextMember = 0;
        group.primarySearch.nextAttemptMicros = context.nowMicros() + ROUND_PAUSE_INTERVALS * ATTEMPT_INTERVAL_MICROS;
    }

    /** Checks the next member if requests wait for a primary and none is usable. */
    void tick(ServerGroup group) {
        State state = group.primarySearch;
        if (group.members.isEmpty()
                || !group.queues.hasRequestForPrimary()
                || eligibility.isEligible(group.primary(), true)
                || context.nowMicros() < state.nextCheckMicros) {
            return;
        }
        // One member at a time, the faster the more requests wait, since every router does the same.
        long interval = CHECK_ROUND_MICROS / Math.min(group.queues.size(), group.members.size());
        long jitter = context.random().nextLong(interval / JITTER_DIVISOR + 1);
        state.nextCheckMicros = context.nowMicros() + interval + jitter;
        healthChecker.checkNextMember(group);
    }
}
