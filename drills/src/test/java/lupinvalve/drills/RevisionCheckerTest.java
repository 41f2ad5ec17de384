package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class RevisionCheckerTest {
    private final RevisionChecker checker = new RevisionChecker();

    @Test
    void aLinearizableHistoryHasNoFindings() {
        checker.put(0, 10, 1, "a");
        checker.read(5, 9, 0, "");
        checker.read(5, 20, 1, "a");
        checker.put(11, 30, 3, "c");
        checker.read(12, 40, 2, "b");
        checker.read(12, 35, 3, "c");
        checker.adopted("m1", 2, "b");
        assertEquals(List.of(), checker.divergent());
        assertEquals(0, checker.lost(3));
        assertEquals(2, checker.acknowledged());
    }

    @Test
    void staleReadsDivergentContentsAndLostPutsAreFound() {
        checker.put(0, 10, 1, "a");
        checker.read(11, 12, 0, "");
        checker.put(20, 30, 2, "b");
        checker.read(25, 26, 2, "b");
        checker.put(27, 29, 2, "x");
        checker.adopted("m1", 1, "z");
        assertEquals(
                List.of(
                        "revision 2 was acknowledged to two",
                        "revision 2 is b, and x to a client",
                        "revision 1 is a, and z to m1",
                        "a read saw 0 after 1",
                        "a put came to 2 after 2"),
                checker.divergent());
        assertEquals(1, checker.lost(1));
    }
}
