package lupinvalve.drills;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Draws releases that overload discovery: in each, at least half of the poolers are killed and restarted together,
 * discovery has too many callers meanwhile, and db nodes drain during the overload and soon after. Does no I/O.
 */
final class Release {
    private static final int INTERVAL_MILLIS = 15_000;
    private static final int MIN_ROOM_MILLIS = 4_000;
    private static final int MIN_DOWN_MILLIS = 300;
    private static final int DOWN_SPREAD_MILLIS = 500;
    private static final int MIN_OVERLOAD_MILLIS = 5_000;
    private static final int OVERLOAD_SPREAD_MILLIS = 2_500;
    /** A drain longer than the time after which all poolers count as notified. */
    private static final int LONG_DRAIN_MILLIS = 9_000;
    /** Separates the random numbers of releases, so that the other faults of a seed don't depend on them. */
    private static final long SEED_MASK = 0x5DEECE66DL;

    private final List<Step> steps = new ArrayList<>();
    private final Random random;
    private final int poolers;
    private final List<String> nodes;
    private final long endMillis;

    private Release(int poolers, int groups, long millis, long seed) {
        this.poolers = poolers;
        random = new Random(seed ^ SEED_MASK);
        nodes = new ArrayList<>(IntStream.range(0, groups * Scenario.NODES_PER_GROUP)
                .mapToObj(i -> "n" + i)
                .toList());
        endMillis = millis;
    }

    /** Draws the steps of all releases of a scenario of this length; none where it is too short for one. */
    static List<Step> draw(int poolers, int groups, long millis, long seed) {
        Release release = new Release(poolers, groups, millis, seed);
        for (long at = 400; at + MIN_ROOM_MILLIS <= millis; at += INTERVAL_MILLIS) {
            release.addRelease(at + release.random.nextInt(1_500));
        }
        return release.steps;
    }

    private void addRelease(long at) {
        long overloadEnd = Math.min(endMillis, at + MIN_OVERLOAD_MILLIS + random.nextInt(OVERLOAD_SPREAD_MILLIS));
        steps.add(new Step(at, Step.Kind.OVERLOAD, Step.ALL, "", 0, overloadEnd - at));
        List<String> names = new ArrayList<>(
                IntStream.range(0, poolers).mapToObj(i -> "p" + i).toList());
        Collections.shuffle(names, random);
        int minKilled = (poolers + 1) / 2;
        int down = MIN_DOWN_MILLIS + random.nextInt(DOWN_SPREAD_MILLIS);
        for (String name : names.subList(0, minKilled + random.nextInt(poolers - minKilled + 1))) {
            steps.add(new Step(at, Step.Kind.KILL, name, "", 0, Math.min(down, endMillis - at)));
        }
        if (nodes.isEmpty()) {
            return;
        }
        Collections.shuffle(nodes, random);
        addDrain(nodes.get(0), at + random.nextInt(1_500), LONG_DRAIN_MILLIS);
        addDrain(nodes.get(1), at + 500 + random.nextInt(MIN_OVERLOAD_MILLIS), 2_000 + random.nextInt(5_000));
        addDrain(nodes.get(2), overloadEnd + random.nextInt(1_000), 1_000 + random.nextInt(2_000));
    }

    private void addDrain(String node, long at, long lastsMillis) {
        if (at < endMillis) {
            steps.add(new Step(at, Step.Kind.NODE_DRAIN, node, "", 0, Math.min(lastsMillis, endMillis - at)));
        }
    }
}
