package lupinvalve.capacity;

/**
 * Values from the settings of two deployments, each with its minimum and maximum.
 *
 * @param writeShare ratio of statements that are writes, from the classes' mean shares
 * @param minRoamingRatio minimum ratio of the sessions that move between poolers
 * @param connectionSlots connections that a db node accepts: cores times {@code cap_per_core}
 * @param handshakeCoreSeconds processor time of a handshake at a db node
 * @param probeCoreSeconds processor time of a probe at a db node
 * @param members number of members of a db set
 * @param electSeconds the sum of {@code detect_s} and {@code elect_s}
 */
record Setting(
        String name,
        double writeShare,
        double minRoamingRatio,
        double maxRoamingRatio,
        Range connectionSlots,
        Range handshakeCoreSeconds,
        Range probeCoreSeconds,
        Range members,
        Range electSeconds) {
    /** Minimum and maximum of a setting. */
    record Range(double min, double max) {}

    /**
     * Bag-status, own-order-view and pickup-booking have mean shares of 0.61, 0.24 and 0.135; only the last class
     * writes.
     */
    static final Setting ALMATY = new Setting(
            "almaty-plant",
            0.135 / (0.61 + 0.24 + 0.135),
            0.18,
            0.8,
            new Range(550, 950),
            new Range(0.0017, 0.0075),
            new Range(0.00012, 0.00043),
            new Range(5, 7),
            new Range(1.2 + 1, 2.9 + 3.4));
    /**
     * Quadro-obra, conferir-ponto, relatorio-mes and registrar-ponto: 0.34, 0.32, 0.22 and 0.405; only the last class
     * writes.
     */
    static final Setting RECIFE = new Setting(
            "recife-ponto",
            0.405 / (0.34 + 0.32 + 0.22 + 0.405),
            0,
            0,
            new Range(264, 440),
            new Range(0.0017, 0.0073),
            new Range(0.0001, 0.00058),
            new Range(3, 4),
            new Range(1.1 + 1, 2.6 + 3.9));

    static java.util.List<Setting> all() {
        return java.util.List.of(ALMATY, RECIFE);
    }
}
