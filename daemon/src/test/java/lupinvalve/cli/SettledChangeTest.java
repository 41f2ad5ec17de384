package lupinvalve.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.attribute.FileTime;
import java.util.List;
import lupinvalve.cli.SettledChange.Look;
import org.junit.jupiter.api.Test;

/** Looks one second apart, by numbers alone. */
class SettledChangeTest {
    private static final long SECOND = 1_000_000;
    private static final List<Look> FIRST = List.of(look(1, 100, "a"), look(1, 20, "b"));
    private final SettledChange change = new SettledChange(FIRST);

    private static Look look(long modified, long size, String key) {
        return new Look(FileTime.fromMillis(modified), size, key);
    }

    private boolean settled(List<Look> now, double seconds) {
        return change.settled(now, Math.round(seconds * SECOND));
    }

    @Test
    void filesThatStayAsTheyWereAreNoChange() {
        for (int second = 1; second < 10; second++) {
            assertFalse(settled(FIRST, second));
        }
    }

    @Test
    void aChangeIsTakenOnceItHasStoodForASecondAndOnlyOnce() {
        List<Look> next = List.of(look(2, 100, "a"), look(1, 20, "b"));
        assertFalse(settled(next, 1));
        assertFalse(settled(next, 1.999_999));
        assertTrue(settled(next, 2));
        assertFalse(settled(next, 3));
        assertFalse(settled(next, 9));
    }

    @Test
    void aFileThatIsStillBeingWrittenIsNotTaken() {
        for (int second = 1; second < 10; second++) {
            assertFalse(settled(List.of(look(second, 100 + second, "a"), look(1, 20, "b")), second));
        }
        assertTrue(settled(List.of(look(9, 109, "a"), look(1, 20, "b")), 10));
    }

    @Test
    void timeSizeAndAFilePutInPlaceOfAnotherCountEachInBothFiles() {
        List<List<Look>> others = List.of(
                List.of(look(2, 100, "a"), look(1, 20, "b")),
                List.of(look(1, 101, "a"), look(1, 20, "b")),
                List.of(look(1, 100, "c"), look(1, 20, "b")),
                List.of(look(1, 100, "a"), look(2, 20, "b")),
                List.of(look(1, 100, "a"), look(1, 21, "b")),
                List.of(look(1, 100, "a"), look(1, 20, "c")));
        double second = 0;
        for (List<Look> other : others) {
            assertFalse(settled(other, ++second));
            assertTrue(settled(other, ++second), other.toString());
        }
    }

    @Test
    void aChangeThatIsUndoneBeforeItStoodIsNone() {
        assertFalse(settled(List.of(look(2, 50, "a"), look(1, 20, "b")), 1));
        assertFalse(settled(FIRST, 2));
        assertFalse(settled(FIRST, 3));
    }

    @Test
    void aFileThatGoesAndComesBackIsTakenBothTimes() {
        List<Look> gone = List.of(Look.ABSENT, look(1, 20, "b"));
        assertFalse(settled(gone, 1));
        assertTrue(settled(gone, 2));
        assertFalse(settled(FIRST, 3));
        assertTrue(settled(FIRST, 4));
    }
}
