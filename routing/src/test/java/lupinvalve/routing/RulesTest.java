package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Property test of the platform's rules for routers. Each seed draws a deployment from ranges that cover those of known
 * deployments and exceed them, runs real routers against simulated servers and clients, and checks every action.
 */
class RulesTest {
    static LongStream seeds() {
        return LongStream.rangeClosed(1, 60);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyRuleHoldsUnderSettingsDrawnAtRandom(long seed) {
        RulesWorld world = new RulesWorld(seed);
        world.run();
        assertEquals(List.of(), world.violations().stream().limit(5).toList(), world.describe());
        assertTrue(world.arrived > 100, world.describe());
        assertTrue(world.served > world.arrived / 20, world.describe());
    }

    @Test
    void sameSeedGivesTheSameRun() {
        RulesWorld first = new RulesWorld(7);
        RulesWorld second = new RulesWorld(7);
        first.run();
        second.run();
        assertEquals(first.describe(), second.describe());
    }

    /** Shows that the checks work: with each planted fault, one of the seeds yields a violation of the fault's rule. */
    @ParameterizedTest
    @MethodSource("plantedFaults")
    void plantedFaultIsDetected(PlantedFault fault) {
        boolean detected = false;
        for (long seed = 1; seed <= 40 && !detected; seed++) {
            RulesWorld world = new RulesWorld(seed);
            world.plantedFault = fault;
            world.run();
            detected = world.violations().stream().anyMatch(violation -> violation.startsWith(fault.rule));
        }
        assertTrue(detected, "no violation reported for the planted fault " + fault);
    }

    static List<PlantedFault> plantedFaults() {
        return List.of(PlantedFault.values());
    }
}
