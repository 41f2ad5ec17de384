package lupinvalve.scale;

/**
 * Counters of a host's process since its start; traffic is the sum over its poolers, including stopped ones.
 *
 * @param heapBytes heap in use after a garbage collection
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
