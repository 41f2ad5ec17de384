package lupinvalve.scale;

/** Placement of poolers and control members: 7 zones in 3 regions, with one control member in each region. */
final class Topology {
    static final int REGIONS = 3;
    static final int ZONES = 7;
    static final int MEMBERS = 3;
    private static final int[] REGION_OF_ZONE = {0, 0, 0, 1, 1, 2, 2};
    /** Number of a zone's poolers in one rack. */
    static final int RACK_POOLERS = 20;
    /** One in this many of a zone's poolers belongs to the slow tenth. */
    private static final int POOLERS_PER_SLOW_POOLER = 10;

    private Topology() {}

    static int zone(int pooler) {
        return pooler % ZONES;
    }

    static int regionOfZone(int zone) {
        return REGION_OF_ZONE[zone];
    }

    static int region(int pooler) {
        return regionOfZone(zone(pooler));
    }

    /** Whether a pooler belongs to the tenth whose links can be slowed down. */
    static boolean slow(int pooler) {
        return pooler / ZONES % POOLERS_PER_SLOW_POOLER == 0;
    }

    static String pooler(int number) {
        return String.format("h%04d", number);
    }

    static String member(int number) {
        return "c" + number;
    }

    static String daemon(int number) {
        return "d" + number;
    }
}
