package lupinvalve.lab;

import java.io.IOException;
import java.io.PrintStream;
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
 * Three members in one process over loopback and real files: how many small changes they take, and how fast a restart
 * is.
 */
public final class StoreBench implements Lab.Command {
    private static final int SESSIONS = 50_000, CONNECTIONS = 4;

    @Option(name = "--seconds", usage = "how long changes are put in")
    private int seconds = 10;

    @Option(name = "--changes", usage = "at least so many before the restart")
    private int least = 100_000;

    @Option(name = "--outstanding", usage = "changes under way on each of four connections")
    private int outstanding = 250;

    private final Map<String, String> places = new TreeMap<>();
    private Path folder;

    private static final class Quiet implements ControlPlane.Listener {
        @Override
        public String validationError(byte[] document) {
            return null;
        }

        @Override
        public void configurationAccepted(ReplicatedState.Document document) {
            // Nobody acts here.
        }

        @Override
        public void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> holds) {
            // Likewise.
        }

        @Override
        public void commitsAccepted(Command.SessionCommits commits) {
            // Likewise.
        }
    }

    private OperatorConfig.Store config(String name) {
        return new OperatorConfig.Store("bench", name, folder.resolve(name), places.get(name), places, null, 0);
    }

    @Override
    public int run(PrintStream out) throws Exception {
        Log.setLevel(Log.Level.ERROR);
        folder = Files.createTempDirectory("store-bench");
        List<RaftMember> groups = new ArrayList<>();
        try {
            places.putAll(Scratch.places(List.of("a", "b", "c")));
            for (String name : places.keySet()) {
                RaftMember group = new RaftMember(config(name));
                groups.add(group);
                group.start(new Quiet());
            }
            String leader = leader(groups);
            Histogram latencies = new ConcurrentHistogram(TimeUnit.SECONDS.toMicros(60), 3);
            AtomicLong done = new AtomicLong();
            AtomicLong turnedDown = new AtomicLong();
            long start = System.nanoTime();
            List<Thread> senders = new ArrayList<>();
            for (int i = 0; i < CONNECTIONS; i++) {
                int number = i;
                Thread sender =
                        new Thread(() -> send(leader, number, start, done, turnedDown, latencies), "sender " + i);
                sender.start();
                senders.add(sender);
            }
            for (Thread sender : senders) {
                sender.join();
            }
            double took = (System.nanoTime() - start) / 1e9;
            System.gc();
            long heap =
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
            groups.forEach(RaftMember::stop);
            groups.clear();
            long disk = 0;
            try (Stream<Path> files = Files.list(folder.resolve(leader))) {
                for (Path file : files.toList()) {
                    disk += Files.size(file);
                }
            }
            long opened = System.nanoTime();
            RaftMember again = new RaftMember(config(leader));
            groups.add(again);
            double restart = (System.nanoTime() - opened) / 1e6;
            out.printf(
                    "{\"changes\":%d,\"changes_per_s\":%.0f,\"turned_down\":%d,\"p50_ms\":%.1f,\"p99_ms\":%.1f,"
                            + "\"sessions\":%d,\"heap_mb_of_three_members\":%.1f,\"disk_kb\":%d,\"restart_ms\":%.0f}%n",
                    done.get(),
                    done.get() / took,
                    turnedDown.get(),
                    latencies.getValueAtPercentile(50) / 1000.0,
                    latencies.getValueAtPercentile(99) / 1000.0,
                    again.initialReplicatedState().sessionCount(),
                    heap / 1048576.0,
                    disk / 1024,
                    restart);
            return 0;
        } finally {
            groups.forEach(RaftMember::stop);
            Scratch.delete(folder);
        }
    }

    private String leader(List<RaftMember> groups) throws IOException, InterruptedException {
        List<String> names = new ArrayList<>(places.keySet());
        for (int i = 0; i < 600; i++) {
            for (int g = 0; g < groups.size(); g++) {
                if (groups.get(g).isLeader()) {
                    return names.get(g);
                }
            }
            Thread.sleep(50);
        }
        throw new IOException("no leader in 30 s");
    }

    private void send(
            String leader, int number, long start, AtomicLong done, AtomicLong turnedDown, Histogram latencies) {
        Semaphore room = new Semaphore(outstanding);
        Map<Long, Long> sentAt = new ConcurrentHashMap<>();
        try (GroupClient.Session session =
                new GroupClient("bench", places, null).open(leader, places.get(leader), 20_000)) {
            Thread receiver = new Thread(
                    () -> {
                        try {
                            while (true) {
                                WireMessages.Response answer = session.receive();
                                Long sent = sentAt.remove(answer.id());
                                if (answer.status() == WireMessages.Status.OK) {
                                    done.incrementAndGet();
                                    latencies.recordValue((System.nanoTime() - sent) / 1000);
                                } else {
                                    turnedDown.incrementAndGet();
                                }
                                room.release();
                            }
                        } catch (IOException e) {
                            // The sender has closed the connection.
                        }
                    },
                    "receiver");
            receiver.setDaemon(true);
            receiver.start();
            long end = start + TimeUnit.SECONDS.toNanos(seconds);
            long calls = 0;
            for (long n = number; System.nanoTime() < end || done.get() < least; n += CONNECTIONS) {
                room.acquire();
                long now = System.currentTimeMillis() * 1000;
                byte[] change =
                        CommandCodec.encode(new Command.SessionCommits(now, Map.of("session-" + n % SESSIONS, now)));
                // Calls are numbered from 1 on; the answer may be here before the call returns.
                sentAt.put(++calls, System.nanoTime());
                session.send("propose", List.of(change));
            }
            room.acquire(outstanding);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
