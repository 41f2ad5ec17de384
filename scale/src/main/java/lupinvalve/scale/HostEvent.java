package lupinvalve.scale;

/**
 * What a host tells, one JSON line each; fields that do not belong to the event are null.
 *
 * @param atNanos by the machine's monotonic clock, which all its processes share
 * @param holds how many holds the pooler knows of
 */
record HostEvent(
        What what,
        String pooler,
        long atNanos,
        Long revision,
        String digest,
        Integer holds,
        String why,
        HostReport report) {
    /** What happened. */
    enum What {
        STARTED,
        STOPPED,
        ADOPTED,
        MAY_ACT,
        MAY_NOT,
        HOLDS,
        FAILED,
        REPORT
    }

    static HostEvent of(What what, String pooler) {
        return new HostEvent(what, pooler, System.nanoTime(), null, null, null, null, null);
    }

    /** @param atNanos when it was so, if that was before now */
    static HostEvent may(String pooler, boolean now, long atNanos) {
        return new HostEvent(
                now ? What.MAY_ACT : What.MAY_NOT,
                pooler,
                Math.min(atNanos, System.nanoTime()),
                null,
                null,
                null,
                null,
                null);
    }

    static HostEvent adopted(String pooler, long revision, String digest) {
        return new HostEvent(What.ADOPTED, pooler, System.nanoTime(), revision, digest, null, null, null);
    }

    static HostEvent holds(String pooler, int count) {
        return new HostEvent(What.HOLDS, pooler, System.nanoTime(), null, null, count, null, null);
    }

    static HostEvent failed(String pooler, String why) {
        return new HostEvent(What.FAILED, pooler, System.nanoTime(), null, null, null, why, null);
    }

    static HostEvent report(HostReport report) {
        return new HostEvent(What.REPORT, null, System.nanoTime(), null, null, null, null, report);
    }
}
