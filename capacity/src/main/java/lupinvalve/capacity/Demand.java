package lupinvalve.capacity;

/**
 * What the operators plan for, in their own figures.
 *
 * @param databases each taken as one db node, as the operators' 1.6 requests a second of a pooler at a db node say
 * @param primaryChangeSeconds within how long a change of primary is to be over
 * @param inForceSeconds within how long a change of configuration is to be in force everywhere
 * @param controlCore part of a core that a pooler may spend for control
 * @param controlBytesPerSecond likewise; a KB is taken as 1,000 bytes, the stricter reading
 * @param restartsPerDay restarts and replacements of poolers
 * @param herd poolers of a zone's share that come at once
 * @param cutHours how long regions lose each other
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
    /** The plan for two years. */
    public static final Demand OPERATORS =
            new Demand(910, 1200, 2.2e6, 1.8e6, 3, 7, 2, 9, 3800, 6, 0.029, 128, 18_000, 3, 4, 340, 130, 1);

    private static final double DAY = 86_400;

    /** Changes of configuration a second, in the mean of a day. */
    public double changesPerSecond() {
        return changesPerDay / DAY;
    }

    /** Statements a second at one pooler. */
    public double statementsPerPooler() {
        return statementsPerSecond / poolers;
    }

    /** Statements a second at one db node. */
    public double statementsPerDatabase() {
        return statementsPerSecond / databases;
    }

    /** Statements a second of one pooler at one db node. */
    public double statementsPerPair() {
        return statementsPerPooler() / databases;
    }

    /** Poolers of one region. */
    public double poolersPerRegion() {
        return (double) poolers / regions;
    }

    /** Db nodes of one zone. */
    public double databasesPerZone() {
        return (double) databases / zones;
    }
}
