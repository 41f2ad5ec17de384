package lupinvalve.scale;

/**
 * Traffic between poolers and members in an interval, summed over all poolers.
 *
 * @param messages both directions
 * @param unproxied bytes that did not pass through the proxies: members connect to poolers that are members themselves,
 *     and those poolers to each other
 */
record Traffic(long bytes, long bytesIn, long bytesOut, long messages, long unproxied) {
    /**
     * Computes the traffic from counters at the beginning and end. Poolers that are members count at their own sockets;
     * poolers that only connect are counted by the proxies that they connect through.
     */
    static Traffic between(
            RunSpec spec, HostReport from, HostReport to, FrameMeter.Sums proxiedFrom, FrameMeter.Sums proxiedTo) {
        long in = to.bytesIn() - from.bytesIn();
        long out = to.bytesOut() - from.bytesOut();
        FrameMeter.Sums proxied = proxiedTo.minus(proxiedFrom);
        if (spec.design() == Design.MEMBERS) {
            long messages = 2 * (to.messagesOut() - from.messagesOut());
            return new Traffic(in + out, in, out, messages, Math.max(0, in + out - proxied.bytes()));
        }
        return new Traffic(proxied.bytes(), in, out, proxied.messages(), 0);
    }
}
