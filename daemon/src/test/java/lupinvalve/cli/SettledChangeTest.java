package lupinvalve.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.attribute.FileTime;
import java.util.List;
import lupinvalve.cli.SettledChange.FileStamp;
import org.junit.jupiter.api.Test;

/** Simulates polls at intervals of one second; reads no files. */
class SettledChangeTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final List<FileStamp> FIRST = List.of(stamp(1, 100, "a"), stamp(1, 20, "b"));
    private final SettledChange change = new SettledChange(FIRST);

    private static FileStamp stamp(long modified, long size, String key) {
        return new FileStamp(FileTime.fromMillis(modified), size, key);
    }

    private boolean settled(List<FileStamp> current, double seconds) {
        return change.settled(current, Math.round(seconds * SECOND_MICROS));
    }

    @Test
    void unchangedFilesAreNotReported() {
        for (int second = 1; second < 10; second++) {
            assertFalse(settled(FIRST, second));
        }
    }

    @Test
    void changeIsReportedOnceAfterOneStableSecond() {
        List<FileStamp> next = List.of(stamp(2, 100, "a"), stamp(1, 20, "b"));
        assertFalse(settled(next, 1));
        assertFalse(settled(next, 1.999_999));
        assertTrue(settled(next, 2));
        assertFalse(settled(next, 3));
        assertFalse(settled(next, 9));
    }

    @Test
    void fileThatIsStillBeingWrittenIsNotReported() {
        for (int second = 1; second < 10; second++) {
            assertFalse(settled(List.of(stamp(second, 100 + second, "a"), stamp(1, 20, "b")), second));
        }
        assertTrue(settled(List.of(stamp(9, 109, "a"), stamp(1, 20, "b")), 10));
    }

    @Test
    void timeSizeAndIdentityOfEitherFileAreCompared() {
        List<List<FileStamp>> others = List.of(
                List.of(stamp(2, 100, "a"), stamp(1, 20, "b")),
                List.of(stamp(1, 101, "a"), stamp(1, 20, "b")),
                List.of(stamp(1, 100, "c"), stamp(1, 20, "b")),
                List.of(stamp(1, 100, "a"), stamp(2, 20, "b")),
                List.of(stamp(1, 100, "a"), stamp(1, 21, "b")),
                List.of(stamp(1, 100, "a"), stamp(1, 20, "c")));
        double second = 0;
        for (List<FileStamp> other : others) {
            assertFalse(settled(other, ++second));
            assertTrue(settled(other, ++second), other.toString());
        }
    }

    @Test
    void changeRevertedBeforeItIsStableIsNotReported() {
        assertFalse(settled(List.of(stamp(2, 50, "a"), stamp(1, 20, "b")), 1));
        assertFalse(settled(FIRST, 2));
        assertFalse(settled(FIRST, 3));
    }

    @Test
    void removalAndReturnOfAFileAreBothReported() {
        List<FileStamp> gone = List.of(FileStamp.ABSENT, stamp(1, 20, "b"));
        assertFalse(settled(gone, 1));
        assertTrue(settled(gone, 2));
        assertFalse(settled(FIRST, 3));
        assertTrue(settled(FIRST, 4));
    }
}
