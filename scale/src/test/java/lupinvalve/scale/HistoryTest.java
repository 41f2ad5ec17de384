package lupinvalve.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks that one history was accepted and nothing of it was lost. Each test plants one violation. */
class HistoryTest {
    private final History history = new History();

    @BeforeEach
    void acceptTwoChanges() {
        for (int revision = 1; revision <= 2; revision++) {
            history.proposed(revision, "d" + revision);
            history.acknowledged(revision * 10, revision * 10 + 5, revision, "d" + revision);
            history.adopted("h1", revision, "d" + revision);
        }
    }

    private void readFinal(long revision) {
        history.read(100, 110, revision, "d" + revision);
    }

    @Test
    void singleHistoryPassesAndItsChangesAreCounted() {
        readFinal(2);
        assertEquals(0, history.divergent().size());
        assertEquals(0, history.lost());
        assertEquals(2, history.count());
    }

    @Test
    void actingOnContentThatWasNotProposedIsDivergent() {
        history.proposed(3, "d3");
        history.adopted("h2", 3, "other");
        history.read(100, 110, 3, "other");
        assertEquals(1, history.divergent().size());
    }

    @Test
    void twoContentsOfOneRevisionAreDivergent() {
        history.proposed(2, "e2");
        history.adopted("h2", 2, "e2");
        readFinal(2);
        assertEquals(1, history.divergent().size());
    }

    @Test
    void actingOnAnUnacceptedRevisionIsDivergent() {
        history.proposed(3, "d3");
        history.adopted("h2", 3, "d3");
        readFinal(2);
        assertEquals(1, history.divergent().size());
    }

    @Test
    void acknowledgedChangeMissingFromTheFinalStateIsLost() {
        readFinal(1);
        assertEquals(1, history.lost());
    }
}
