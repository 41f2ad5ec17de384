package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Each violation is found, and nothing else. */
class RequestCheckerTest {
    private final RequestChecker checker = new RequestChecker();

    private void request(String id, boolean write, int runs, RequestChecker.Ending ending) {
        checker.sent(id, "p0", write, 1_000);
        for (int i = 0; i < runs; i++) {
            checker.ran(id, "n" + i);
        }
        if (ending != null) {
            checker.ended(id, ending, 1_050);
        }
    }

    @Test
    void correctRequestsHaveNoFindings() {
        request("served", true, 1, RequestChecker.Ending.SERVED);
        request("refused", true, 0, RequestChecker.Ending.REFUSED);
        request("may have run", true, 1, RequestChecker.Ending.FAILED);
        request("tried again", false, 2, RequestChecker.Ending.SERVED);
        request("read elsewhere meanwhile", false, 1, RequestChecker.Ending.REFUSED);
        request("left unread under a reset", false, 0, RequestChecker.Ending.RESET);
        request("nobody there", true, 0, RequestChecker.Ending.NOT_TAKEN);
        assertTrue(checker.verdict().good(), () -> checker.verdict().findings().toString());
        assertEquals(7, checker.verdict().requests());
    }

    @Test
    void aWriteThatRanTwiceIsFound() {
        request("w", true, 2, RequestChecker.Ending.SERVED);
        assertEquals(1, checker.verdict().doubled());
    }

    @Test
    void aRequestServedThatRanNowhereIsFound() {
        request("r", false, 0, RequestChecker.Ending.SERVED);
        assertEquals(1, checker.verdict().lost());
    }

    @Test
    void aWriteThatWasRefusedAndRanIsFound() {
        request("w", true, 1, RequestChecker.Ending.REFUSED);
        assertEquals(1, checker.verdict().refusedRan());
    }

    @Test
    void aRequestWithoutAnswerIsFoundUnlessItsPoolerWasDown() {
        request("silent", false, 0, RequestChecker.Ending.SILENT);
        request("open", false, 0, null);
        request("taken and dropped", false, 1, RequestChecker.Ending.RESET);
        request("taken, not forwarded, and its connection ended in order", false, 0, RequestChecker.Ending.ENDED);
        request("ended in order though a db node ran it", true, 1, RequestChecker.Ending.ENDED);
        request("nobody took it, and a db node ran it", false, 1, RequestChecker.Ending.NOT_TAKEN);
        assertEquals(6, checker.verdict().unanswered());
        assertEquals(2, checker.verdict().endedInOrder());
        checker.poolerDown("p1", 0, 5_000);
        assertEquals(6, checker.verdict().unanswered());
        checker.poolerDown("p0", 1_040, 5_000);
        // A request without an end has no time at which its pooler could have been down, so it still counts.
        assertEquals(1, checker.verdict().unanswered());
    }

    @Test
    void aValueThatDiffersFromTheDbNodesIsFound() {
        request("r", false, 1, RequestChecker.Ending.SERVED);
        checker.valueMismatch("r", 3);
        assertFalse(checker.verdict().good());
    }

    @Test
    void aStaleReadASecondEndAndAnUnknownRequestAreFound() {
        request("r", false, 1, RequestChecker.Ending.SERVED);
        checker.stale("r", 2_000, 1_990);
        assertEquals(1, checker.verdict().stale());
        checker.ended("r", RequestChecker.Ending.FAILED, 1_060);
        checker.ran("nobody's", "n0");
        assertEquals(3, checker.verdict().findings().size());
        assertFalse(checker.verdict().good());
    }
}
