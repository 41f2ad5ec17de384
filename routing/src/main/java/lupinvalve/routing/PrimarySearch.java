package lupinvalve.routing;

/**
 * Searches for a group's primary while no usable one is known. Queued writes are tried at the members in the order of
 * their ids, as a replica rejects a write and states its role; members are also health-checked in round-robin order
 * while requests wait.
 */
final class PrimarySearch {
    /** Interval between two writes sent in search of the primary. */
    private static final long ATTEMPT_INTERVAL_MICROS = 40_000;

    /** Pause after the last member of a round, in attempt intervals. */
    private static final long ROUND_PAUSE_INTERVALS = 3;
    /**
     * The time in which each member of a group is health-checked once or, if the group has fewer queued requests than
     * members, in which as many members as there are queued requests are checked.
     */
    private static final long CHECK_ROUND_MICROS = 150_000;
    /** Up to the interval divided by this is added at random to it, as every router does these checks. */
    private static final long JITTER_DIVISOR = 4;

    /** Progress of the search in one group. */
    static final class State {
        private int nextMemberIndex;
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

    /** Starts a search: the first write and the first check are due at once. */
    void begin(ServerGroup group) {
        group.primarySearch.nextCheckMicros = context.nowMicros();
        group.primarySearch.nextAttemptMicros = context.nowMicros();
    }

    /** Whether the next write may be sent to a member. */
    boolean isAttemptDue(ServerGroup group) {
        return context.nowMicros() >= group.primarySearch.nextAttemptMicros;
    }

    /** The next member of this round that may be the primary, or null at the end of the round. */
    Server nextCandidate(ServerGroup group) {
        State state = group.primarySearch;
        while (state.nextMemberIndex < group.members.size()) {
            Server server = group.members.get(state.nextMemberIndex++);
            if (eligibility.isPrimaryCandidate(server)) {
                return server;
            }
        }
        return null;
    }

    /** Records that a write was sent to a candidate. */
    void attemptStarted(ServerGroup group) {
        group.primarySearch.nextAttemptMicros = context.nowMicros() + ATTEMPT_INTERVAL_MICROS;
    }

    /** Records that no candidate is left: the next round starts after a pause. */
    void roundEnded(ServerGroup group) {
        group.primarySearch.nextMemberIndex = 0;
        group.primarySearch.nextAttemptMicros = context.nowMicros() + ROUND_PAUSE_INTERVALS * ATTEMPT_INTERVAL_MICROS;
    }

    /**
     * Health-checks the next member if that is due, requests wait for a primary and none is usable. The interval, in
     * microseconds, is {@link #CHECK_ROUND_MICROS} divided by the number of queued requests or of members, whichever is
     * smaller: one member at a time, and slower where few requests wait, since every router does the same.
     */
    void tick(ServerGroup group) {
        State state = group.primarySearch;
        if (group.members.isEmpty()
                || !group.queues.hasRequestForPrimary()
                || eligibility.isEligible(group.primary(), true)
                || context.nowMicros() < state.nextCheckMicros) {
            return;
        }
        long intervalMicros = CHECK_ROUND_MICROS / Math.min(group.queues.size(), group.members.size());
        long jitterMicros = context.random().nextLong(intervalMicros / JITTER_DIVISOR + 1);
        state.nextCheckMicros = context.nowMicros() + intervalMicros + jitterMicros;
        healthChecker.checkNextMember(group);
    }
}
