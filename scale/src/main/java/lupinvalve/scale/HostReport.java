package lupinvalve.scale;

/**
 * Counters of one host's process since its start; traffic is that of its poolers, stopped ones included.
 *
 * @param heapBytes in use after a collection
 */
record HostReport(
        long cpuNanos, long rssBytes, long heapBytes, int poolers, long bytesOut, long bytesIn, long messagesOut) {
    HostReport plus(HostReport other) {
        return new HostReport(
                cpuNanos + other.cpuNanos,
                rssBytes + other.rssBytes,
                heapBytes + other.heapBytes,
                poolers + other.poolers,
                bytesOut + other.bytesOut,
                bytesIn + other.bytesIn,
                messagesOut + other.messagesOut);
    }
}
