package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ScenarioTest {
    private static String errorMessage(String text) {
        return assertThrows(IOException.class, () -> Scenario.read("faults.json", text))
                .getMessage();
    }

    @Test
    void errorsNameFileFieldAndValue() {
        assertEquals(
                "scenario faults.json: poolers is 2; possible: 3 to 9", errorMessage("{\"poolers\":2,\"groups\":1}"));
        assertEquals(
                "scenario faults.json: steps[1].for_ms is -1; possible: 0 to 3600000",
                errorMessage("{\"poolers\":3,\"groups\":1,\"steps\":[{\"at_ms\":1,\"fault\":\"kill\",\"who\":\"p0\"},"
                        + "{\"at_ms\":2,\"fault\":\"kill\",\"who\":\"p0\",\"for_ms\":-1}]}"));
        assertTrue(
                errorMessage("{\"poolers\":3,\"groups\":1,\"steps\":[{\"at_ms\":1,\"fault\":\"melt\",\"who\":\"p0\"}]}")
                        .startsWith("scenario faults.json: steps[0].fault is melt; possible: kill, power, "));
        assertEquals(
                "scenario faults.json: steps[0].who is n3; possible: a db node",
                errorMessage(
                        "{\"poolers\":3,\"groups\":1,\"steps\":[{\"at_ms\":1,\"fault\":\"node_kill\",\"who\":\"n3\"}]}"));
        assertEquals(
                "scenario faults.json: steps[0].to is p1; possible: another pooler, a db node, or *",
                errorMessage(
                        "{\"poolers\":3,\"groups\":1,\"steps\":[{\"at_ms\":1,\"fault\":\"cut\",\"who\":\"p1\",\"to\":\"p1\"}]}"));
        assertEquals(
                "scenario faults.json: steps[0].amount is 1.5; possible: a part, at most 1",
                errorMessage(
                        "{\"poolers\":3,\"groups\":1,\"steps\":[{\"at_ms\":1,\"fault\":\"lossy\",\"who\":\"p1\",\"to\":\"n0\","
                                + "\"amount\":1.5}]}"));
        assertEquals("scenario faults.json: step is unknown", errorMessage("{\"step\":1}"));
        assertTrue(errorMessage("{\"poolers\":3,").startsWith("scenario faults.json: "));
    }

    @Test
    void drawsAreDeterministicAndReadBackAsWritten() throws IOException {
        Set<Step.Kind> kinds = EnumSet.noneOf(Step.Kind.class);
        for (int seed = 0; seed < 200; seed++) {
            for (Scenario.Mix mix : Scenario.Mix.values()) {
                int poolers = 3 + seed % 7;
                Scenario drawn = Scenario.draw(mix, poolers, seed % 3, 20_000, seed);
                assertEquals(drawn, Scenario.draw(mix, poolers, seed % 3, 20_000, seed));
                assertEquals(drawn, Scenario.read("drawn", drawn.write()));
                drawn.steps().forEach(step -> {
                    kinds.add(step.kind());
                    assertTrue(step.atMillis() + step.forMillis() <= 20_000, step.toString());
                });
                assertTrue(mix != Scenario.Mix.ONE_WAY
                        || drawn.steps().stream().allMatch(step -> step.kind() == Step.Kind.CUT_THERE));
                assertTrue(mix != Scenario.Mix.FLAPPING
                        || drawn.steps().stream().allMatch(step -> step.kind() == Step.Kind.FLAP));
            }
        }
        assertEquals(EnumSet.allOf(Step.Kind.class), kinds);
    }

    @Test
    void aMajorityOfPoolersRunsAtAnyTimeExceptInAPowerLoss() {
        for (int seed = 0; seed < 300; seed++) {
            Scenario drawn = Scenario.draw(Scenario.Mix.STORE, 5, 0, 30_000, seed);
            for (Step now : drawn.steps()) {
                long down = drawn.steps().stream()
                        .filter(step -> step.kind().stopsProcess()
                                && step.atMillis() <= now.atMillis()
                                && now.atMillis() < step.atMillis() + step.forMillis())
                        .count();
                assertTrue(down <= 2, seed + " at " + now);
            }
        }
    }
}
