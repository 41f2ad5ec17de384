package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The rules of the users' pages, whatever the settings: each seed draws a deployment from ranges that cover those known
 * and go past them, plays the real module before a small model, and looks at every action.
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
        assertEquals(List.of(), world.broken().stream().limit(5).toList(), world.describe());
        assertTrue(world.arrived > 100, world.describe());
        assertTrue(world.served > world.arrived / 20, world.describe());
    }

    @Test
    void theSameSeedIsPlayedTheSame() {
        RulesWorld first = new RulesWorld(7);
        RulesWorld second = new RulesWorld(7);
        first.run();
        second.run();
        assertEquals(first.describe(), second.describe());
    }

    /** Each checker is seen to bite: a module that does what it must not is found out. */
    @ParameterizedTest
    @MethodSource("planted")
    void aPlantedFaultIsFound(PlantedFault fault) {
        boolean found = false;
        for (long seed = 1; seed <= 40 && !found; seed++) {
            RulesWorld world = new RulesWorld(seed);
            world.planted = fault;
            world.run();
            found = world.broken().stream().anyMatch(note -> note.startsWith(fault.rule));
        }
        assertTrue(found, fault + " was not found");
    }

    static List<PlantedFault> planted() {
        return List.of(PlantedFault.values());
    }
}
