package lupinvalve.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A change must be in force 4 s after the signal, so the attempts must follow closely and end before that. */
class RereadPausesTest {
    @Test
    void pausesGrowToTheMaximumAndEndAfterThreeSeconds() {
        RereadPauses pauses = new RereadPauses();
        List<Long> taken = new ArrayList<>();
        while (pauses.hasNext() && taken.size() < 100) {
            taken.add(pauses.nextMillis());
        }
        assertEquals(List.of(50L, 100L, 200L, 400L, 400L, 400L, 400L, 400L, 400L, 250L), taken);
        assertEquals(3_000, taken.stream().mapToLong(Long::longValue).sum());
    }
}
