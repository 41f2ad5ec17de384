package lupinvalve.scale;

import java.io.Closeable;

/**
 * Samples the control members' processor time and traffic every 500 ms, and sums them separately for the leader and for
 * the followers.
 */
final class MemberWatch implements Closeable {
    private static final long SAMPLE_INTERVAL_MILLIS = 500;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;
    private final Daemons daemons;
    private final Links links;
    private final long[] cpuNanosByMember = new long[Topology.MEMBERS];
    private final long[] pids = new long[Topology.MEMBERS];
    private final FrameMeter.Sums[] traffic = new FrameMeter.Sums[Topology.MEMBERS];
    private final Thread thread;
    private volatile boolean stopped;
    private long lastSampleNanos = System.nanoTime();
    private Usage leading = new Usage(0, 0, 0, 0);
    private Usage following = new Usage(0, 0, 0, 0);
    private long leaderResidentBytes;

    /** Sums over the samples: time observed, processor time, bytes and messages. */
    record Usage(long nanos, long cpuNanos, long bytes, long messages) {
        double cpuCore() {
            return nanos == 0 ? 0 : (double) cpuNanos / nanos;
        }

        double bytesPerSecond() {
            return nanos == 0 ? 0 : bytes * 1e9 / nanos;
        }

        double messagesPerSecond() {
            return nanos == 0 ? 0 : messages * 1e9 / nanos;
        }

        private Usage plus(long moreNanos, long moreCpuNanos, FrameMeter.Sums moreTraffic) {
            return new Usage(
                    nanos + moreNanos,
                    cpuNanos + moreCpuNanos,
                    bytes + moreTraffic.bytes(),
                    messages + moreTraffic.messages());
        }
    }

    MemberWatch(Daemons daemons, Links links) {
        this.daemons = daemons;
        this.links = links;
        sample();
        reset();
        thread = new Thread(this::run, "member watch");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (!stopped) {
                Thread.sleep(SAMPLE_INTERVAL_MILLIS);
                sample();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void sample() {
        long now = System.nanoTime();
        long elapsedNanos = now - lastSampleNanos;
        lastSampleNanos = now;
        int leader = daemons.leader();
        for (int i = 0; i < Topology.MEMBERS; i++) {
            long pid = daemons.member(i).pid();
            long total = ProcessCounters.cpuNanos(pid);
            FrameMeter.Sums sums = links.ofMember(i);
            boolean sameProcess = pid == pids[i] && total >= 0;
            if (sameProcess) {
                FrameMeter.Sums delta = sums.minus(traffic[i]);
                if (i == leader) {
                    leading = leading.plus(elapsedNanos, total - cpuNanosByMember[i], delta);
                    leaderResidentBytes = ProcessCounters.residentBytes(pid);
                } else {
                    following = following.plus(elapsedNanos, total - cpuNanosByMember[i], delta);
                }
            }
            pids[i] = pid;
            cpuNanosByMember[i] = Math.max(0, total);
            traffic[i] = sums;
        }
    }

    /** Resets the sums to zero. */
    synchronized void reset() {
        sample();
        leading = new Usage(0, 0, 0, 0);
        following = new Usage(0, 0, 0, 0);
    }

    /** Returns the leader's sums, across changes of leader. */
    synchronized Usage leading() {
        sample();
        return leading;
    }

    /**
     * Returns the followers' sums; the time is summed over followers too, so the rates are those of an average
     * follower.
     */
    synchronized Usage following() {
        return following;
    }

    synchronized double leaderMegabytes() {
        return leaderResidentBytes / BYTES_PER_MEGABYTE;
    }

    @Override
    public void close() {
        stopped = true;
        thread.interrupt();
    }
}
