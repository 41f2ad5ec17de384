package lupinvalve.routing;

import static lupinvalve.routing.VirtualTime.MILLI;
import static lupinvalve.routing.VirtualTime.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** A deployment's settings, drawn from ranges that cover those of known deployments and exceed them. */
final class RulesWorldSettings {
    final int zones;
    final int routerCount;
    final int groups;
    final List<RequestClass> classes = new ArrayList<>();
    /** Mean work of a request on a core of speed 1, in microseconds. */
    final double work;

    final RouterSettings.Rules rules;
    final RouterSettings.DeploymentLimits limits;
    final RouterSettings.Replication replication;
    private final SplittableRandom random;

    RulesWorldSettings(long seed, SplittableRandom random) {
        this.random = random;
        zones = 1 + random.nextInt(5);
        // Each tenth seed has 30 to 100 routers, the others have 14 at most.
        routerCount = seed % 10 == 0 ? 30 + random.nextInt(71) : 1 + random.nextInt(seed % 3 == 0 ? 14 : 4);
        groups = 1 + random.nextInt(4);
        // Factor of the work and the latency objectives of all classes, log-uniform between 0.1 and 3.2.
        double timeScale = Math.pow(10, random.nextDouble() * 1.5 - 1);
        work = 100 * MILLI * timeScale;
        drawClasses(timeScale);
        rules = new RouterSettings.Rules(
                20 * MILLI,
                (250 + random.nextInt(2000)) * MILLI,
                10 * SECOND,
                0.1 + 0.4 * random.nextDouble(),
                (2 + random.nextInt(17)) * SECOND,
                2 + 3 * random.nextDouble(),
                (1000 + random.nextInt(2500)) * MILLI);
        limits = new RouterSettings.DeploymentLimits(
                1 + random.nextInt(8),
                random.nextBoolean(),
                true,
                random.nextInt(4) > 0,
                random.nextBoolean(),
                500 * MILLI,
                200 + random.nextInt(2000));
        replication = new RouterSettings.Replication(
                RouterSettings.FreshnessCheck.values()[random.nextInt(3)],
                random.nextInt(60) * MILLI,
                RouterSettings.TokenSource.CARRIED);
    }

    /** Draws two to five classes, the first of writes. */
    private void drawClasses(double timeScale) {
        int count = 2 + random.nextInt(4);
        for (int i = 0; i < count; i++) {
            RequestClass.Access access =
                    i == 0 ? RequestClass.Access.WRITE : RequestClass.Access.values()[1 + random.nextInt(4)];
            RequestClass.Effect effect = access == RequestClass.Access.WRITE
                    ? RequestClass.Effect.values()[1 + random.nextInt(2)]
                    : RequestClass.Effect.SAFE;
            int objectiveMultiple = access == RequestClass.Access.ANY ? 4 : 1;
            long objectiveMicros = (long) ((300 + random.nextInt(900)) * MILLI * timeScale * objectiveMultiple);
            classes.add(new RequestClass(
                    "c" + i,
                    access,
                    (long) (objectiveMicros * 2 * random.nextDouble()) + 50 * MILLI,
                    effect,
                    RequestClass.KeyScope.GROUP,
                    3 * SECOND,
                    objectiveMicros,
                    objectiveMicros * (2 + random.nextInt(4)),
                    1 + random.nextInt(4),
                    random.nextInt(3) * 0.35));
        }
    }

    /** The settings of one router, whose zone is drawn. */
    RouterSettings router(int index, double crossZonePrice) {
        return new RouterSettings(
                index, routerCount, random.nextInt(zones), true, classes, limits, rules, replication, crossZonePrice);
    }
}
