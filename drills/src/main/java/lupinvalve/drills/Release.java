package lupinvalve.drills;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Draws a release that overloads discovery: at least half of the poolers are killed and started again together,
 * discovery has too many callers meanwhile, and db nodes drain during that and soon after. Without I/O.
 */
final class Release {
    private static final int EVERY = 15_000, SHORTEST = 4_000;
    private static final int DOWN_LEAST = 300, DOWN_SPREAD = 500;
    private static final int OVERLOAD_LEAST = 5_000, OVERLOAD_SPREAD = 2_500;
    /** A drain that outlasts the time by which all count as told. */
    private static final int LONG_DRAIN = 9_000;
    /** The draws of releases are their own, so that a seed's other faults stay what they were. */
    private static final long OWN = 0x5DEECE66DL;

    private final List<Step> steps = new ArrayList<>();
    private final Random random;
    private final int poolers;
    private final List<String> nodes;
    private final long end;

    private Release(int poolers, int groups, long millis, long seed) {
        this.poolers = poolers;
        random = new Random(seed ^ OWN);
        nodes = new ArrayList<>(IntStream.range(0, groups * Scenario.MEMBERS)
                .mapToObj(i -> "n" + i)
                .toList());
        end = millis;
    }

    /** Releases for so long, all over before it is; none where there is no room for one. */
    static List<Step> draw(int poolers, int groups, long millis, long seed) {
        Release release = new Release(poolers, groups, millis, seed);
        for (long at = 400; at + SHORTEST <= millis; at += EVERY) {
            release.one(at + release.random.nextInt(1_500));
        }
        return release.steps;
    }

    private void one(long at) {
        long over = Math.min(end, at + OVERLOAD_LEAST + random.nextInt(OVERLOAD_SPREAD));
        steps.add(new Step(at, Step.Kind.OVERLOAD, Step.ALL, "", 0, over - at));
        List<String> names = new ArrayList<>(
                IntStream.range(0, poolers).mapToObj(i -> "p" + i).toList());
        Collections.shuffle(names, random);
        int least = (poolers + 1) / 2;
        int down = DOWN_LEAST + random.nextInt(DOWN_SPREAD);
        for (String name : names.subList(0, least + random.nextInt(poolers - least + 1))) {
            steps.add(new Step(at, Step.Kind.KILL, name, "", 0, Math.min(down, end - at)));
        }
        if (nodes.isEmpty()) {
            return;
        }
        Collections.shuffle(nodes, random);
        drain(nodes.get(0), at + random.nextInt(1_500), LONG_DRAIN);
        drain(nodes.get(1), at + 500 + random.nextInt(OVERLOAD_LEAST), 2_000 + random.nextInt(5_000));
        drain(nodes.get(2), over + random.nextInt(1_000), 1_000 + random.nextInt(2_000));
    }

    private void drain(String node, long at, long lasts) {
        if (at < end) {
            steps.add(new Step(at, Step.Kind.NODE_DRAIN, node, "", 0, Math.min(lasts, end - at)));
        }
    }
}
