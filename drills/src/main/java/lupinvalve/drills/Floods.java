package lupinvalve.drills;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/** Floods among the faults of a drill: draws them, and runs the clients that flood. Safe for concurrent use. */
final class Floods implements Closeable {
    /** Kinds without valid requests, which the drill would have to judge. */
    static final List<FloodKind> KINDS = List.of(
            FloodKind.EMPTY,
            FloodKind.TLS,
            FloodKind.SYNC,
            FloodKind.SET,
            FloodKind.UNSOUND,
            FloodKind.FIELDS,
            FloodKind.LARGE,
            FloodKind.TRICKLE,
            FloodKind.CONNECT,
            FloodKind.MALFORMED,
            FloodKind.EXTENDED,
            FloodKind.CANCEL);

    private static final int CLIENTS = 4;
    private static final int INTERVAL_MILLIS = 4_000;
    private static final int MAX_WAIT_MILLIS = 2_000;
    private static final int MIN_LENGTH_MILLIS = 800;
    private static final int LENGTH_SPREAD_MILLIS = 1_200;
    /** Separates the random numbers of floods, so that the other faults of a seed don't depend on them. */
    private static final long SEED_MASK = 0x2545F4914F6CDD1DL;

    private final Map<Integer, List<FloodClient>> byPort = new HashMap<>();

    /** Draws the floods of a scenario of this length: one for each four seconds, on one pooler. */
    static List<Step> draw(int poolers, long millis, long seed) {
        Random random = new Random(seed ^ SEED_MASK);
        List<Step> steps = new ArrayList<>();
        for (long at = 0; at + INTERVAL_MILLIS <= millis; at += INTERVAL_MILLIS) {
            steps.add(new Step(
                    at + random.nextInt(MAX_WAIT_MILLIS),
                    Step.Kind.FLOOD,
                    "p" + random.nextInt(poolers),
                    "",
                    1 + random.nextInt(KINDS.size()),
                    MIN_LENGTH_MILLIS + random.nextInt(LENGTH_SPREAD_MILLIS)));
        }
        return steps;
    }

    /** Starts clients that flood a pooler with the kind of this number, from 1, or ends them. */
    synchronized void act(int port, int number, boolean start) throws IOException, InterruptedException {
        for (FloodClient client : byPort.getOrDefault(port, List.of())) {
            client.stop();
        }
        byPort.remove(port);
        if (start) {
            List<FloodClient> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new FloodClient(KINDS.get(number - 1), port, new AtomicLong(), new AtomicLong()));
            }
            byPort.put(port, clients);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        try {
            for (int port : List.copyOf(byPort.keySet())) {
                act(port, 0, false);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
