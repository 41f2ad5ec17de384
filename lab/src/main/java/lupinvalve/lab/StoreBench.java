package lupinvalve.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import lupinvalve.config.OperatorConfig;
import lupinvalve.drills.Scratch;
import lupinvalve.log.Log;
import lupinvalve.replication.ControlPlane;
import lupinvalve.replication.GroupClient;
import lupinvalve.replication.RaftMember;
import lupinvalve.replication.WireMessages;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.CommandCodec;
import lupinvalve.statemachine.ReplicatedState;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.Option;

/**
 * Measures the rate of small changes that three members in one process commit, over loopback and with real files, and
 * the duration of a restart.
 */
public final class StoreBench implements Lab.Command {
    private static final int SESSION_COUNT = 50_000;
    private static final int CONNECTION_COUNT = 4;
    private static final int MAX_LATENCY_SECONDS = 60;
    private static final int CALL_TIMEOUT_MILLIS = 20_000;
    private static final int MAX_LEADER_POLLS = 600;
    private static final int LEADER_POLL_MILLIS = 50;

    @Option(name = "--seconds", usage = "how long changes are proposed")
    private int seconds = 10;

    @Option(name = "--changes", usage = "minimum number of changes before the restart")
    private int minChanges = 100_000;

    @Option(name = "--outstanding", usage = "changes in flight on each of four connections")
    private int outstanding = 250;

    private final Map<String, String> addresses = new TreeMap<>();
    private Path folder;

    /** Ignores all notifications: no pooler runs here. */
    private static final class IgnoringListener implements ControlPlane.Listener {
        @Override
        public String validationError(byte[] document) {
            return null;
        }

        @Override
        public void configurationAccepted(ReplicatedState.Document document) {
            // Ignored.
        }

        @Override
        public void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> drains) {
            // Ignored.
        }

        @Override
        public void commitsAccepted(Command.SessionCommits commits) {
            // Ignored.
        }
    }

    private OperatorConfig.Store config(String name) {
        return new OperatorConfig.Store("bench", name, folder.resolve(name), addresses.get(name), addresses, null, 0);
    }

    @Override
    public int run(PrintStream out) throws Exception {
        Log.setLevel(Log.Level.ERROR);
        folder = Files.createTempDirectory("store-bench");
        List<RaftMember> members = new ArrayList<>();
        try {
            addresses.putAll(Scratch.places(List.of("a", "b", "c")));
            for (String name : addresses.keySet()) {
                RaftMember member = new RaftMember(config(name));
                members.add(member);
                member.start(new IgnoringListener());
            }
            String leader = leader(members);
            Histogram latencies = new ConcurrentHistogram(TimeUnit.SECONDS.toMicros(MAX_LATENCY_SECONDS), 3);
            AtomicLong committed = new AtomicLong();
            AtomicLong rejected = new AtomicLong();
            long startNanos = System.nanoTime();
            List<Thread> senders = new ArrayList<>();
            for (int i = 0; i < CONNECTION_COUNT; i++) {
                int number = i;
                Thread sender = new Thread(
                        () -> send(leader, number, startNanos, committed, rejected, latencies), "sender " + i);
                sender.start();
                senders.add(sender);
            }
            for (Thread sender : senders) {
                sender.join();
            }
            double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
            System.gc();
            long heapBytes =
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
            members.forEach(RaftMember::stop);
            members.clear();
            long diskBytes = 0;
            try (Stream<Path> files = Files.list(folder.resolve(leader))) {
                for (Path file : files.toList()) {
                    diskBytes += Files.size(file);
                }
            }
            long reopenStartNanos = System.nanoTime();
            RaftMember restarted = new RaftMember(config(leader));
            members.add(restarted);
            double restartMillis = (System.nanoTime() - reopenStartNanos) / 1e6;
            out.printf(
                    "{\"changes\":%d,\"changes_per_s\":%.0f,\"turned_down\":%d,\"p50_ms\":%.1f,\"p99_ms\":%.1f,"
                            + "\"sessions\":%d,\"heap_mb_of_three_members\":%.1f,\"disk_kb\":%d,\"restart_ms\":%.0f}%n",
                    committed.get(),
                    committed.get() / elapsedSeconds,
                    rejected.get(),
                    latencies.getValueAtPercentile(50) / 1000.0,
                    latencies.getValueAtPercentile(99) / 1000.0,
                    restarted.initialReplicatedState().sessionCount(),
                    heapBytes / 1048576.0,
                    diskBytes / 1024,
                    restartMillis);
            return 0;
        } finally {
            members.forEach(RaftMember::stop);
            Scratch.delete(folder);
        }
    }

    private String leader(List<RaftMember> members) throws IOException, InterruptedException {
        List<String> names = new ArrayList<>(addresses.keySet());
        for (int i = 0; i < MAX_LEADER_POLLS; i++) {
            for (int j = 0; j < members.size(); j++) {
                if (members.get(j).isLeader()) {
                    return names.get(j);
                }
            }
            Thread.sleep(LEADER_POLL_MILLIS);
        }
        throw new IOException("no member was elected leader within 30 s");
    }

    private void send(
            String leader,
            int senderNumber,
            long startNanos,
            AtomicLong committed,
            AtomicLong rejected,
            Histogram latencies) {
        Semaphore freeSlots = new Semaphore(outstanding);
        Map<Long, Long> sentNanosByCall = new ConcurrentHashMap<>();
        try (GroupClient.Session session =
                new GroupClient("bench", addresses, null).open(leader, addresses.get(leader), CALL_TIMEOUT_MILLIS)) {
            Thread receiver = new Thread(
                    () -> {
                        try {
                            while (true) {
                                WireMessages.Response response = session.receive();
                                Long sentNanos = sentNanosByCall.remove(response.id());
                                if (response.status() == WireMessages.Status.OK) {
                                    committed.incrementAndGet();
                                    latencies.recordValue((System.nanoTime() - sentNanos) / 1000);
                                } else {
                                    rejected.incrementAndGet();
                                }
                                freeSlots.release();
                            }
                        } catch (IOException e) {
                            // The sender has closed the connection.
                        }
                    },
                    "receiver");
            receiver.setDaemon(true);
            receiver.start();
            long endNanos = startNanos + TimeUnit.SECONDS.toNanos(seconds);
            long calls = 0;
            for (long n = senderNumber;
                    System.nanoTime() < endNanos || committed.get() < minChanges;
                    n += CONNECTION_COUNT) {
                freeSlots.acquire();
                long nowMicros = System.currentTimeMillis() * 1000;
                byte[] change = CommandCodec.encode(
                        new Command.SessionCommits(nowMicros, Map.of("session-" + n % SESSION_COUNT, nowMicros)));
                // Calls are numbered from 1 on; the response may arrive before send() returns.
                sentNanosByCall.put(++calls, System.nanoTime());
                session.send("propose", List.of(change));
            }
            freeSlots.acquire(outstanding);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
