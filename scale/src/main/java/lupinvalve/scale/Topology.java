package lupinvalve.scale;

/** Where poolers and control members stand: 7 zones in 3 regions, a control member in each region. */
final class Topology {
    static final int REGIONS = 3;
    static final int ZONES = 7;
    static final int MEMBERS = 3;
    private static final int[] REGION_OF_ZONE = {0, 0, 0, 1, 1, 2, 2};
    /** A rack holds so many of a zone's poolers. */
    static final int RACK = 20;
    /** Each pooler whose number ends so is one of the slow tenth. */
    private static final int SLOW_EACH = 10;

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

    /** Whether a pooler is of the tenth whose links can be slowed. */
    static boolean slow(int pooler) {
        return pooler / ZONES % SLOW_EACH == 0;
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
