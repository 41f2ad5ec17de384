package lupinvalve.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** One accepted history, of which nothing is lost: each fault is planted once. */
class HistoryTest {
    private final History history = new History();

    @BeforeEach
    void twoChanges() {
        for (int revision = 1; revision <= 2; revision++) {
            history.proposed(revision, "d" + revision);
            history.acknowledged(revision * 10, revision * 10 + 5, revision, "d" + revision);
            history.adopted("h1", revision, "d" + revision);
        }
    }

    private void end(long revision) {
        history.read(100, 110, revision, "d" + revision);
    }

    @Test
    void oneHistoryIsWellAndCounted() {
        end(2);
        assertEquals(0, history.divergent().size());
        assertEquals(0, history.lost());
        assertEquals(2, history.count());
    }

    @Test
    void actingOnWhatNobodyPutIsDivergent() {
        history.proposed(3, "d3");
        history.adopted("h2", 3, "other");
        history.read(100, 110, 3, "other");
        assertEquals(1, history.divergent().size());
    }

    @Test
    void twoContentsOfARevisionAreDivergent() {
        history.proposed(2, "e2");
        history.adopted("h2", 2, "e2");
        end(2);
        assertEquals(1, history.divergent().size());
    }

    @Test
    void actingOnWhatNoMajorityAcceptedIsDivergent() {
        history.proposed(3, "d3");
        history.adopted("h2", 3, "d3");
        end(2);
        assertEquals(1, history.divergent().size());
    }

    @Test
    void anAcknowledgedChangeThatTheEndLacksIsLost() {
        end(1);
        assertEquals(1, history.lost());
    }
}
