package lupinvalve.capacity;

/**
 * What the program says of itself: its paces and bounds, and the sizes that its own encoders give real messages, in
 * bytes above TCP without TLS. {@code CodeFactsTest} compares each with the program.
 */
final class CodeFacts {
    /** {@code RaftReplica.HEARTBEAT_SECONDS} at the pace of {@code AcceleratedExecutor.FACTOR}. */
    static final double HEARTBEATS_PER_SECOND = 10;
    /**
     * {@code LeaseGrantor.CONFIRM_INTERVAL_MICROS}: with the audit on, the leader asks a majority each 0.1 s whether it
     * still leads.
     */
    static final double CONFIRMS_PER_SECOND = 10;
    /** {@code PeerConnections.HEARTBEAT_INTERVAL_MICROS}. */
    static final double BEATS_PER_SECOND = 2;
    /** Each of two members dials the other. */
    static final int CONNECTIONS_PER_PAIR = 2;
    /**
     * {@code PeerConnections.MAX_ACCEPTED_CONNECTIONS}: connections that a member takes.
     * {@code SubscriptionServer.SUBSCRIBERS_MAX_COUNT}: poolers that may follow it.
     */
    static final int TAKEN_MOST = 1088;

    static final int FOLLOWERS_MOST = 1024;
    /** {@code Shared.REFRESH}: how often the leader's pooler tells all of the db nodes. */
    static final double LISTING_SECONDS = 10;
    /** {@code MembershipChanges.STEP_INTERVAL_MICROS}, after each step of a change of members. */
    static final double MEMBERSHIP_STEP_SECONDS = 0.05;
    /** Out, learn, vote, and its place: what a replaced member takes. */
    static final int CHANGES_PER_REPLACED = 4;
    /** Entries that a member notes for each configuration: adopted, ceased others. */
    static final int ENTRIES_PER_CHANGE = 2;
    /** {@code SessionCommitBatcher.BATCH_DELAY_MICROS}. */
    static final double BUNDLE_SECONDS = 0.005;

    /** An {@code AppendEntriesRequest} without entries, and what it is answered. */
    static final int HEARTBEAT = 58;

    static final int HEARTBEAT_ANSWER = 51;
    /** A call for a lease, and its answer. */
    static final int LEASE_CALL = 38;

    static final int LEASE_ANSWER = 19;
    /** A subscriber's request and its answer with a lease and no news. */
    static final int FOLLOW = 66;

    static final int FOLLOW_ANSWER = 32;
    /** One session's commit in a bundle. */
    static final int COMMIT = 25;
    /** Two audit entries as one change. */
    static final int NOTED = 222;
    /** A db node in the group's list, and in discovery's. */
    static final int LISTED = 53;

    static final int LIST_ENTRY = 167;
    /** A word that only says that the connection stands. */
    static final int BEAT = 5;

    /** {@code InFlightLimit.INITIAL_ATTEMPTS}: attempts out at a db node, of all poolers together. */
    static final double LIMIT_START = 16;
    /**
     * {@code DecayingMean.DECAY_TIME_MICROS} and {@code MAX_SAMPLES}: how long an answer counts, and how many make a
     * picture of its own.
     */
    static final double MEMORY_SECONDS = 3;

    static final double ANSWERS_FOR_A_PICTURE = 12;
    /**
     * {@code SlowStart.NO_WARM_SERVER_EXPECTED_ADMISSIONS}: tries at a cold db node where none is warm, of all poolers
     * together.
     */
    static final double COLD_ALONE = 10;
    /** {@code HealthChecker.SPARSE_BUDGET_PER_REQUEST_CHECKS}: probes a request where poolers are many. */
    static final double PROBES_PER_REQUEST = 0.03;
    /** {@code PrimarySearch.CHECK_ROUND_MICROS}: a round of one group's members while its primary is missing. */
    static final double CHANGE_PROBE_SECONDS = 0.15;
    /** {@code WatchSchedule}: a watch beats so often, is doubted after, and a new one may take so long to answer. */
    static final double WATCH_BEAT_SECONDS = 2;

    static final double WATCH_DOUBTED_SECONDS = 2.25;
    static final double CALL_SECONDS = 1.2;
    /** {@code HttpEndpointDiscovery.MAX_ANSWER_BYTES}. */
    static final double LIST_MOST = 4 << 20;
    /** A connection rests for 7/10 of the settings' idle time, others for that over the poolers and at least this. */
    static final double SURPLUS_LEAST_SECONDS = 0.5;

    private CodeFacts() {}
}
