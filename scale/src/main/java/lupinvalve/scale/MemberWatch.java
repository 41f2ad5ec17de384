package lupinvalve.scale;

import java.io.Closeable;

/** Adds up what the control members spend, apart for the one that leads and those that follow. */
final class MemberWatch implements Closeable {
    private static final long EACH_MILLIS = 500;
    private static final double MEGABYTE = 1 << 20;
    private final Daemons daemons;
    private final Links links;
    private final long[] cpu = new long[Topology.MEMBERS];
    private final long[] pids = new long[Topology.MEMBERS];
    private final FrameMeter.Sums[] traffic = new FrameMeter.Sums[Topology.MEMBERS];
    private final Thread thread;
    private volatile boolean over;
    private long at = System.nanoTime();
    private Spent leading = new Spent(0, 0, 0, 0);
    private Spent following = new Spent(0, 0, 0, 0);
    private long leaderRss;

    /** Sums: time watched, processor time, bytes and messages. */
    record Spent(long nanos, long cpuNanos, long bytes, long messages) {
        double cpuCore() {
            return nanos == 0 ? 0 : (double) cpuNanos / nanos;
        }

        double bytesPerSecond() {
            return nanos == 0 ? 0 : bytes * 1e9 / nanos;
        }

        double messagesPerSecond() {
            return nanos == 0 ? 0 : messages * 1e9 / nanos;
        }

        private Spent plus(long more, long cpu, FrameMeter.Sums passed) {
            return new Spent(nanos + more, cpuNanos + cpu, bytes + passed.bytes(), messages + passed.messages());
        }
    }

    MemberWatch(Daemons daemons, Links links) {
        this.daemons = daemons;
        this.links = links;
        look();
        reset();
        thread = new Thread(this::run, "member watch");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (!over) {
                Thread.sleep(EACH_MILLIS);
                look();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void look() {
        long now = System.nanoTime();
        long passed = now - at;
        at = now;
        int leader = daemons.leader();
        for (int i = 0; i < Topology.MEMBERS; i++) {
            long pid = daemons.member(i).pid();
            long total = ProcessCounters.cpuNanos(pid);
            FrameMeter.Sums sums = links.ofMember(i);
            boolean same = pid == pids[i] && total >= 0;
            if (same) {
                FrameMeter.Sums more = sums.minus(traffic[i]);
                if (i == leader) {
                    leading = leading.plus(passed, total - cpu[i], more);
                    leaderRss = ProcessCounters.residentBytes(pid);
                } else {
                    following = following.plus(passed, total - cpu[i], more);
                }
            }
            pids[i] = pid;
            cpu[i] = Math.max(0, total);
            traffic[i] = sums;
        }
    }

    /** Begins to add up anew. */
    synchronized void reset() {
        look();
        leading = new Spent(0, 0, 0, 0);
        following = new Spent(0, 0, 0, 0);
    }

    /** The member that leads, whoever that was. */
    synchronized Spent leading() {
        look();
        return leading;
    }

    /** A member that follows, on average. */
    synchronized Spent following() {
        return following;
    }

    synchronized double leaderMegabytes() {
        return leaderRss / MEGABYTE;
    }

    @Override
    public void close() {
        over = true;
        thread.interrupt();
    }
}
