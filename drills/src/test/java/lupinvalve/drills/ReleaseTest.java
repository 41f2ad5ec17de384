package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Each scenario that is long enough has a release: at least half of the poolers are killed at once, with an overload of
 * discovery, and drains during and after it.
 */
class ReleaseTest {
    private static List<Step> ofKind(List<Step> steps, Step.Kind kind) {
        return steps.stream().filter(step -> step.kind() == kind).toList();
    }

    @Test
    void halfOfThePoolersOrMoreAreKilledTogetherAsTheOverloadBegins() {
        for (int seed = 0; seed < 200; seed++) {
            int poolers = 3 + seed % 7;
            List<Step> steps = Release.draw(poolers, 2, 12_000, seed);
            List<Step> overloads = ofKind(steps, Step.Kind.OVERLOAD);
            assertEquals(1, overloads.size());
            Step overload = overloads.get(0);
            assertTrue(overload.forMillis() >= 5_000, overload.toString());
            List<Step> kills = ofKind(steps, Step.Kind.KILL);
            assertTrue(2 * kills.size() >= poolers, kills.toString());
            assertEquals(kills.size(), kills.stream().map(Step::who).distinct().count());
            for (Step kill : kills) {
                assertEquals(overload.atMillis(), kill.atMillis());
                assertEquals(kills.get(0).forMillis(), kill.forMillis());
            }
        }
    }

    @Test
    void dbNodesDrainDuringTheOverloadAndSoonAfter() {
        for (int seed = 0; seed < 200; seed++) {
            List<Step> steps = Release.draw(4, 2, 12_000, seed);
            Step overload = ofKind(steps, Step.Kind.OVERLOAD).get(0);
            List<Step> drains = ofKind(steps, Step.Kind.NODE_DRAIN);
            assertEquals(3, drains.stream().map(Step::who).distinct().count());
            long overloadEnd = overload.atMillis() + overload.forMillis();
            assertTrue(
                    drains.get(0).atMillis() >= overload.atMillis()
                            && drains.get(0).atMillis() < overloadEnd,
                    steps.toString());
            assertTrue(drains.get(0).forMillis() > 6_300, steps.toString());
            assertTrue(
                    drains.get(2).atMillis() >= overloadEnd && drains.get(2).atMillis() < overloadEnd + 1_000,
                    steps.toString());
        }
    }

    @Test
    void allStepsEndInTime() {
        for (int seed = 0; seed < 200; seed++) {
            for (Step step : Release.draw(4, seed % 3, 6_000 + seed * 100L, seed)) {
                assertTrue(step.atMillis() + step.forMillis() <= 6_000 + seed * 100L, step.toString());
            }
        }
        assertEquals(List.of(), Release.draw(4, 2, 4_000, 7));
    }

    @Test
    void releasesDoNotChangeTheOtherFaultsOfASeed() {
        Scenario drawn = Scenario.draw(Scenario.Mix.CROSSING, 4, 2, 12_000, 15);
        assertEquals(
                new Step(741, Step.Kind.KILL, "p0", "", 0, 2_267),
                drawn.steps().stream()
                        .filter(step -> step.kind() == Step.Kind.KILL && step.atMillis() == 741)
                        .findFirst()
                        .orElseThrow());
    }
}
