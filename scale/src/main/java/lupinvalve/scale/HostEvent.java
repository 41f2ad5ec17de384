package lupinvalve.scale;

/**
 * Event of a host of hollow poolers, one JSON object per line; fields that do not belong to the kind of event are null.
 *
 * @param atNanos in nanoseconds of the machine's monotonic clock, which all its processes share
 * @param holds number of holds that the pooler has received
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
    /** Kind of event. */
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

    /** @param atNanos time of the change; a time in the future is replaced by the current time */
    static HostEvent mayAct(String pooler, boolean now, long atNanos) {
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
