package lupinvalve.scale;

/**
 * What poolers and members exchanged in a while, all poolers together.
 *
 * @param messages both ways
 * @param unproxied bytes that went past the proxies: members dial poolers that are members themselves, and these each
 *     other
 */
record Traffic(long bytes, long bytesIn, long bytesOut, long messages, long unproxied) {
    /**
     * Of counters at its beginning and end. Poolers that are members count at their own sockets; those that only dial
     * are counted by the proxies that they dial through.
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
