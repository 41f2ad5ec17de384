package lupinvalve.capacity;

/**
 * The operators' planned size and load, and their limits.
 *
 * @param databases each counted as one db node, which agrees with the operators' 1.6 requests per second from a pooler
 *     to a db node
 * @param primaryChangeSeconds limit for the duration of a change of primary
 * @param inForceSeconds limit until a configuration change is in force everywhere
 * @param controlCore share of a core that a pooler may use for control
 * @param controlBytesPerSecond control traffic that a pooler may use; a KB is taken as 1,000 bytes, the stricter
 *     reading
 * @param restartsPerDay restarts and replacements of poolers
 * @param herd number of a zone's poolers that start at the same time
 * @param cutHours duration in hours for which a region is cut off
 */
public record Demand(
        int poolers,
        int databases,
        double connections,
        double statementsPerSecond,
        int regions,
        int zones,
        double primaryChangesPerDay,
        double primaryChangeSeconds,
        double changesPerDay,
        double inForceSeconds,
        double controlCore,
        double controlMegabytes,
        double controlBytesPerSecond,
        int controlMembers,
        double machineFailuresPerDay,
        double restartsPerDay,
        int herd,
        double cutHours) {
    /** The operators' plan for two years. */
    public static final Demand OPERATORS =
            new Demand(910, 1200, 2.2e6, 1.8e6, 3, 7, 2, 9, 3800, 6, 0.029, 128, 18_000, 3, 4, 340, 130, 1);

    private static final double SECONDS_PER_DAY = 86_400;

    /** Returns configuration changes per second, as the mean of a day. */
    public double changesPerSecond() {
        return changesPerDay / SECONDS_PER_DAY;
    }

    /** Returns statements per second at one pooler. */
    public double statementsPerPooler() {
        return statementsPerSecond / poolers;
    }

    /** Returns statements per second at one db node. */
    public double statementsPerDatabase() {
        return statementsPerSecond / databases;
    }

    /** Returns statements per second from one pooler to one db node. */
    public double statementsPerPair() {
        return statementsPerPooler() / databases;
    }

    /** Returns the number of poolers of a region. */
    public double poolersPerRegion() {
        return (double) poolers / regions;
    }

    /** Returns the number of db nodes of a zone. */
    public double databasesPerZone() {
        return (double) databases / zones;
    }
}
