package lupinvalve.capacity;

/**
 * Intervals and bounds of the program, and the sizes of messages from its own encoders in bytes of TCP payload without
 * TLS. {@code CodeFactsTest} compares each with the program.
 */
final class CodeFacts {
    /** {@code RaftReplica.HEARTBEAT_SECONDS} accelerated by {@code AcceleratedExecutor.FACTOR}. */
    static final double HEARTBEATS_PER_SECOND = 10;
    /**
     * {@code LeaseGrantor.CONFIRM_INTERVAL_MICROS}: with the audit enabled, the leader confirms its leadership with a
     * majority every 0.1 s.
     */
    static final double CONFIRMS_PER_SECOND = 10;
    /** {@code PeerConnections.HEARTBEAT_INTERVAL_MICROS}: heartbeats on each connection, per direction. */
    static final double CONNECTION_HEARTBEATS_PER_SECOND = 2;
    /** Each of two members connects to the other. */
    static final int CONNECTIONS_PER_PAIR = 2;
    /** {@code PeerConnections.MAX_ACCEPTED_CONNECTIONS}: connections that a member accepts. */
    static final int MAX_ACCEPTED_CONNECTIONS = 1088;
    /** {@code SubscriptionServer.SUBSCRIBERS_MAX_COUNT}: poolers that may subscribe to a member. */
    static final int MAX_SUBSCRIBERS = 1024;
    /** {@code Shared.REFRESH}: interval at which the leader's pooler publishes the list of db nodes. */
    static final double ENDPOINT_LIST_INTERVAL_SECONDS = 10;
    /** {@code MembershipChanges.STEP_INTERVAL_MICROS}: pause after each step of a membership change. */
    static final double MEMBERSHIP_STEP_SECONDS = 0.05;
    /**
     * Membership changes for one replacement: removal, addition as learner, promotion to voter, and the announcement of
     * its address.
     */
    static final int MEMBERSHIP_CHANGES_PER_REPLACEMENT = 4;
    /** Audit entries that a member records for each configuration: adopted, ceased others. */
    static final int AUDIT_ENTRIES_PER_CHANGE = 2;
    /** {@code SessionCommitBatcher.BATCH_DELAY_MICROS}: time for which commits are collected into a batch. */
    static final double BATCH_DELAY_SECONDS = 0.005;

    /** An {@code AppendEntriesRequest} without entries. */
    static final int HEARTBEAT_BYTES = 58;
    /** The response to an {@code AppendEntriesRequest} without entries. */
    static final int HEARTBEAT_RESPONSE_BYTES = 51;
    /** A request for a lease. */
    static final int LEASE_REQUEST_BYTES = 38;
    /** The response to a request for a lease. */
    static final int LEASE_RESPONSE_BYTES = 19;
    /** A subscriber's request. */
    static final int WATCH_REQUEST_BYTES = 66;
    /** The response to a subscriber's request with a lease and no change. */
    static final int WATCH_RESPONSE_BYTES = 32;
    /** One session's commit in a batch. */
    static final int SESSION_COMMIT_BYTES = 25;
    /** Two audit entries in one log entry. */
    static final int AUDIT_ENTRIES_BYTES = 222;
    /** A db node in the group's list. */
    static final int GROUP_LIST_ENTRY_BYTES = 53;
    /** A db node in discovery's list. */
    static final int DISCOVERY_LIST_ENTRY_BYTES = 167;
    /** A message that only shows that the connection is alive. */
    static final int CONNECTION_HEARTBEAT_BYTES = 5;

    /**
     * {@code InFlightLimit.INITIAL_ATTEMPTS}: initial limit of attempts in flight at a db node, for all poolers
     * together.
     */
    static final double INITIAL_ATTEMPTS = 16;
    /** {@code DecayingMean.DECAY_TIME_MICROS}: time constant with which samples decay. */
    static final double SAMPLE_DECAY_SECONDS = 3;
    /** {@code DecayingMean.MAX_SAMPLES}: number of samples for an estimate independent of the group's mean. */
    static final double MAX_SAMPLES = 12;
    /**
     * {@code SlowStart.NO_WARM_SERVER_EXPECTED_ADMISSIONS}: attempts admitted at a cold db node while none is warm, for
     * all poolers together.
     */
    static final double COLD_ATTEMPTS = 10;
    /** {@code HealthChecker.SPARSE_BUDGET_PER_REQUEST_CHECKS}: probes per request with many poolers. */
    static final double PROBES_PER_REQUEST = 0.03;
    /**
     * {@code PrimarySearch.CHECK_ROUND_MICROS}: duration of a round of probes to a group's members while its primary is
     * missing.
     */
    static final double PRIMARY_CHECK_ROUND_SECONDS = 0.15;
    /** {@code WatchSchedule.HEARTBEAT_MICROS}: heartbeat interval of a watch. */
    static final double WATCH_HEARTBEAT_SECONDS = 2;
    /** {@code WatchSchedule.SUSPECT_AFTER_SILENCE_MICROS}: silence after which a watch is suspect. */
    static final double WATCH_SUSPECT_SECONDS = 2.25;
    /** {@code WatchSchedule.SUSPECT_UNANSWERED_MICROS}: time limit for the first answer to a new watch. */
    static final double WATCH_RESPONSE_TIMEOUT_SECONDS = 1.2;
    /** {@code HttpEndpointDiscovery.MAX_ANSWER_BYTES}: largest list that a pooler accepts. */
    static final double MAX_LIST_BYTES = 4 << 20;
    /**
     * Minimum idle time of surplus connections: the one used last stays for 7/10 of the settings' idle time, others for
     * that divided by the number of poolers and at least this long.
     */
    static final double MIN_SURPLUS_IDLE_SECONDS = 0.5;

    private CodeFacts() {}
}
