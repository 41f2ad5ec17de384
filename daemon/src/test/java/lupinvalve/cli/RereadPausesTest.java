package lupinvalve.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A change counts as told 4 s after the signal, so the tries must be close to each other and over by then. */
class RereadPausesTest {
    @Test
    void triesComeQuicklyAtFirstThenSlowerAndEndAfterThreeSeconds() {
        RereadPauses pauses = new RereadPauses();
        List<Long> taken = new ArrayList<>();
        while (pauses.more() && taken.size() < 100) {
            taken.add(pauses.nextMillis());
        }
        assertEquals(List.of(50L, 100L, 200L, 400L, 400L, 400L, 400L, 400L, 400L, 250L), taken);
        assertEquals(3_000, taken.stream().mapToLong(Long::longValue).sum());
    }
}
